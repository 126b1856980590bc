//! The durable row of a job's progress.
//!
//! It lists all tasks by occurrence, step and index, so that earlier builds read it too. One that has not run or is
//! done takes a digit.

use serde_json::json;
use serde_json::Value;

use crate::workflow::crash::crash_rows::encode_crashes;
use crate::workflow::crash::crash_rows::restore_crashes;
use crate::workflow::crash::crash_rows::CRASHES_FIELD;
use crate::workflow::intake::job_status::OWNER_FIELD;
use crate::workflow::progress::failed_runs::encode_failed_runs;
use crate::workflow::progress::failed_runs::merge_member_failures;
use crate::workflow::progress::failed_runs::restore_failed_runs;
use crate::workflow::progress::failed_runs::FAILED_RUNS_FIELD;
use crate::workflow::progress::step_progress::StepProgress;
use crate::workflow::JobPhase;
use crate::workflow::JobState;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;

impl JobState {
    /// Restores the state from a durable row; `None` if the row is unreadable.
    pub fn restore(&mut self, value: &Value, now_ms: u64) -> Option<()> {
        let phase = JobPhase::from_name(value.get("phase")?.as_str()?)?;
        let task_values = value.get("tasks")?.as_array()?;
        if task_values.len() != self.task_count() && !task_values.is_empty() {
            return None;
        }
        let per_occurrence = self.tasks_per_occurrence().max(1);
        for (occurrence, values) in task_values.chunks(per_occurrence).enumerate() {
            self.restore_occurrence(occurrence as u32, values, now_ms)?;
        }
        self.phase = phase;
        if phase.has_ended() {
            self.ended_ms = now_ms;
        }
        restore_crashes(self, value.get(CRASHES_FIELD));
        restore_failed_runs(self, value.get(FAILED_RUNS_FIELD));
        self.merge_gang_failures();
        let has_ended_run = |task: &TaskState| {
            task.phase == TaskPhase::Done || task.failures > 0 || task.crashes > 0
        };
        let mut steps = self.begun.values().flatten();
        self.has_begun = self.done.len() > 0
            || steps.any(|step| matches!(step, StepProgress::Done))
            || self.begun_tasks().any(|(_, task)| has_ended_run(task));
        Some(())
    }

    /// Restores the tasks of one occurrence.
    fn restore_occurrence(
        &mut self,
        occurrence: u32,
        mut values: &[Value],
        now_ms: u64,
    ) -> Option<()> {
        let mut steps = Vec::with_capacity(self.spec.steps.len());
        for spec in &self.spec.steps {
            let (here, rest) = values.split_at_checked(spec.tasks as usize)?;
            values = rest;
            let tasks = here
                .iter()
                .map(|value| TaskState::from_value(value, now_ms));
            let tasks: Option<Vec<_>> = tasks.collect();
            steps.push(StepProgress::from_tasks(tasks?));
        }
        if steps.iter().all(|step| matches!(step, StepProgress::Done)) {
            self.done.insert(occurrence);
        } else if !steps.iter().all(|step| matches!(step, StepProgress::Idle)) {
            let totals = self.row_totals.get_mut();
            let numbers = 0..steps.len() as u32;
            numbers.for_each(|number| totals.record_change((occurrence, number)));
            self.begun.insert(occurrence, steps);
        }
        Some(())
    }

    /// Returns the durable row. It omits the tasks of an ended job without placed tasks, whose
    /// states are no longer needed.
    pub fn to_value(&self) -> Value {
        let finished = self.phase.has_ended() && self.placed_tasks().next().is_none();
        let omits_tasks = finished || self.omits_tasks;
        let tasks = match omits_tasks {
            true => Vec::new(),
            false => self.task_values(),
        };
        let mut row = json!({ "phase": self.phase.as_str(), "tasks": tasks });
        if let Some(crashes) = encode_crashes(self).filter(|_| !omits_tasks) {
            row[CRASHES_FIELD] = crashes;
        }
        if let Some(runs) = encode_failed_runs(self).filter(|_| !omits_tasks) {
            row[FAILED_RUNS_FIELD] = runs;
        }
        if let Some(owner) = &self.spec.organisation {
            row[OWNER_FIELD] = json!(owner);
        }
        row
    }

    fn task_values(&self) -> Vec<Value> {
        let mut values = Vec::with_capacity(self.task_count());
        let per_occurrence = self.tasks_per_occurrence();
        for occurrence in 0..self.spec.occurrences() {
            if self.begun.contains_key(&occurrence) {
                for step in 0..self.spec.steps.len() as u32 {
                    let tasks = self.step_tasks(occurrence, step);
                    values.extend(tasks.iter().map(TaskState::to_value));
                }
                continue;
            }
            let value = json!(u8::from(self.done.contains(occurrence)));
            let len = values.len() + per_occurrence;
            values.resize(len, value);
        }
        values
    }

    /// Returns the position of a task among those of all occurrences.
    pub(crate) fn position(&self, name: &TaskName) -> usize {
        let before = name.occurrence as usize * self.tasks_per_occurrence();
        let offset = self.step_offsets.get(name.step as usize);
        before + offset.copied().unwrap_or(0) + name.index as usize
    }

    /// Returns the task at a position among those of all occurrences.
    pub(crate) fn name_at(&self, position: u64) -> Option<TaskName> {
        let position = usize::try_from(position).ok()?;
        let occurrence = position.checked_div(self.tasks_per_occurrence())?;
        let offset = position % self.tasks_per_occurrence();
        let step = self.step_offsets.partition_point(|first| *first <= offset);
        let step = step.checked_sub(1)?;
        let name = TaskName {
            job: self.id.clone(),
            occurrence: u32::try_from(occurrence).ok()?,
            step: step as u32,
            index: (offset - self.step_offsets[step]) as u32,
        };
        self.task(&name).map(|_| name)
    }

    fn merge_gang_failures(&mut self) {
        for steps in self.begun.values_mut() {
            for (spec, step) in self.spec.steps.iter().zip(steps) {
                if let (true, StepProgress::Begun(begun)) = (spec.gang, step) {
                    merge_member_failures(&mut begun.tasks);
                }
            }
        }
    }
}
