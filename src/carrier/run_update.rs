//! A run in a report, as a difference from the worker's last report.

use serde::Deserialize;
use serde::Serialize;

use crate::workflow::RunningTask;

/// A run in a report. Most runs of a report were listed by the last one as well, and names and
/// checkpoints are most of their bytes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RunUpdate {
    /// The run at this index of the last report, unchanged.
    Same(u32),
    /// The run at this index of the last report, with other figures.
    Figures {
        /// Index in the last report.
        index: u32,
        /// See [`RunningTask::percent`].
        percent: u32,
        /// See [`RunningTask::load`].
        load: u64,
        /// The new checkpoint; `None` if it is unchanged.
        checkpoint: Option<String>,
    },
    /// A run that the last report did not list.
    New(RunningTask),
}

impl RunUpdate {
    /// Returns `run` as a difference from the runs of the last report.
    pub fn between(last: &[RunningTask], run: RunningTask) -> Self {
        let same_run = |old: &RunningTask| old.task == run.task && old.run == run.run;
        let Some(index) = last.iter().position(same_run) else {
            return Self::New(run);
        };
        let old = &last[index];
        if *old == run {
            return Self::Same(index as u32);
        }
        Self::Figures {
            index: index as u32,
            percent: run.percent,
            load: run.load,
            checkpoint: (old.checkpoint != run.checkpoint).then_some(run.checkpoint),
        }
    }

    /// Returns the run, or `None` if the last report has no run at the index.
    pub fn apply(self, last: &[RunningTask]) -> Option<RunningTask> {
        match self {
            Self::New(run) => Some(run),
            Self::Same(index) => last.get(index as usize).cloned(),
            Self::Figures {
                index,
                percent,
                load,
                checkpoint,
            } => {
                let old = last.get(index as usize)?;
                Some(RunningTask {
                    task: old.task.clone(),
                    run: old.run,
                    checkpoint: checkpoint.unwrap_or_else(|| old.checkpoint.clone()),
                    percent,
                    load,
                })
            }
        }
    }
}
