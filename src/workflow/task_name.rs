//! Task names, written as `<job>.<occurrence>.<step>.<index>`.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;
use crate::id::NameError;

/// Identifies a task by its job, occurrence, step and index within the step.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskName {
    /// The id of the job that the task belongs to.
    pub job: JobId,
    /// The occurrence of a scheduled job, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step's index in the job, from 0.
    pub step: u32,
    /// The task's index within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let (index, step, occurrence) = (number(), number(), number());
        let job = parts.next().unwrap_or_default().parse()?;
        match (occurrence, step, index) {
            (Some(occurrence), Some(step), Some(index)) => Ok(Self {
                job,
                occurrence,
                step,
                index,
            }),
            _ => Err(NameError::new(text)),
        }
    }
}
