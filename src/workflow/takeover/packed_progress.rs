//! The progress of a job while a new holder loads the state.

use serde_json::Value;

/// The field with the states of a job's tasks, of which most are alike in a job with many.
const TASKS_FIELD: &str = "tasks";

/// A job's progress row until its submission arrives. The rows of all jobs are held at the same time, so equal tasks in
/// turn are kept once.
#[derive(Clone, Debug, PartialEq)]
pub struct PackedProgress {
    /// The row without its tasks.
    row: Value,
    /// The tasks, each with the number of equal ones in turn.
    tasks: Vec<(Value, u32)>,
}

impl PackedProgress {
    /// Packs a progress row, whatever it holds.
    pub fn new(mut row: Value) -> Self {
        let tasks = row.get_mut(TASKS_FIELD).and_then(Value::as_array_mut);
        let mut packed: Vec<(Value, u32)> = Vec::new();
        for task in tasks.map(std::mem::take).into_iter().flatten() {
            match packed.last_mut() {
                Some((last, count)) if *last == task => *count += 1,
                _ => packed.push((task, 1)),
            }
        }
        packed.shrink_to_fit();
        Self { row, tasks: packed }
    }

    /// Returns the row.
    pub fn into_row(mut self) -> Value {
        if !self.tasks.is_empty() {
            let tasks = self.tasks.into_iter();
            let tasks = tasks.flat_map(|(task, count)| (0..count).map(move |_| task.clone()));
            self.row[TASKS_FIELD] = Value::Array(tasks.collect());
        }
        self.row
    }
}
