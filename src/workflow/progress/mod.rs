//! The progress of jobs and their tasks, its durable rows, and the bounds of these.

pub(crate) mod due_steps;
pub(crate) mod engine_failures;
pub(crate) mod engine_rows;
pub(crate) mod failed_runs;
pub(crate) mod full_rows;
pub(crate) mod job_memory;
pub(crate) mod job_row;
pub(crate) mod job_row_room;
pub(crate) mod job_state;
pub(crate) mod occurrence_set;
pub(crate) mod row_budget;
pub(crate) mod row_bytes;
pub(crate) mod row_limit;
pub(crate) mod row_room;
pub(crate) mod row_totals;
pub(crate) mod step_progress;
pub(crate) mod step_tasks;
pub(crate) mod task_state;
