//! Identifier of one run of a job.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;
use crate::id::NameError;

/// Identifies one run of a job, displayed as `JOB.RUN`; the platform never starts a run twice.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskId {
    /// The job that is run.
    pub job: JobId,
    /// The number of the run, counted from 1.
    pub run: u32,
}

impl TaskId {
    /// Creates the id of a job's run; `run` counts from 1.
    pub fn new(job: JobId, run: u32) -> Self {
        Self { job, run }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.job, self.run)
    }
}

impl FromStr for TaskId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The id of the job may contain dots, so the run starts after the last one.
        let (job, run) = text.rsplit_once('.').unwrap_or((text, ""));
        let job = job.parse()?;
        let run = run.parse().map_err(|_| NameError::new(text))?;
        Ok(Self { job, run })
    }
}

impl From<TaskId> for String {
    fn from(task: TaskId) -> Self {
        task.to_string()
    }
}

impl TryFrom<String> for TaskId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
