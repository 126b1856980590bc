//! Tells which jobs keep tasks back because their durable rows have no room for them.
//!
//! Such tasks wait beside idle workers, and look as if they waited for capacity.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::workflow::JobEngine;

/// Min time between log lines, in ms, of all jobs together.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The jobs whose rows had no room in the last placement pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct FullRows {
    /// The number of ready tasks that were kept back, by job.
    kept_back: BTreeMap<JobId, usize>,
    /// When they were last logged, in ms.
    logged_ms: u64,
}

impl FullRows {
    /// Forgets the last pass.
    pub(crate) fn clear(&mut self) {
        self.kept_back.clear();
    }

    /// Records that a job's row has no room for so many ready tasks.
    pub(crate) fn record(&mut self, id: &JobId, tasks: usize) {
        if tasks > 0 {
            *self.kept_back.entry(id.clone()).or_default() += tasks;
        }
    }
}

impl JobEngine {
    /// Returns the number of jobs whose rows had no room for ready tasks in the last placement pass, and
    /// logs the one with the most such tasks.
    pub fn check_full_rows(&mut self, now_ms: u64) -> usize {
        let jobs = self.full_rows.kept_back.len();
        let most = self
            .full_rows
            .kept_back
            .iter()
            .max_by_key(|(_, tasks)| **tasks);
        let Some((job, tasks)) = most else {
            return 0;
        };
        if now_ms >= self.full_rows.logged_ms + LOG_INTERVAL_MS {
            let limit = self.row_limit;
            log::warn!(
                "event=row_full job={job} tasks={tasks} jobs={jobs} limit_bytes={}",
                limit.get()
            );
            self.full_rows.logged_ms = now_ms;
        }
        jobs
    }
}
