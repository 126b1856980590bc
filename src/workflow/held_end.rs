//! A run end that follows one that can't be decoded, in a worker's report.

use serde::Deserialize;
use serde::Serialize;

use crate::workflow::TaskEnd;
use crate::workflow::TaskName;

/// A run end that can't be decoded, or one that is listed after it. An acknowledgement covers all ends
/// before it, so such ends are acknowledged only once it is known that nothing is lost with the former.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum HeldEnd {
    /// An end that was decoded.
    Readable(TaskEnd),
    /// An end of which it isn't known how the run ended.
    Unreadable {
        /// The sequence number; if it can't be decoded, the lowest that it may be.
        number: u64,
        /// The task and the number of the run, if they can be decoded.
        run: Option<(TaskName, u64)>,
    },
}

impl HeldEnd {
    /// Returns the sequence number among the worker's ends.
    pub fn number(&self) -> u64 {
        match self {
            Self::Readable(end) => end.number,
            Self::Unreadable { number, .. } => *number,
        }
    }

    /// Returns the task whose end can't be decoded, if it is known.
    pub fn unreadable_task(&self) -> Option<&TaskName> {
        match self {
            Self::Unreadable { run, .. } => run.as_ref().map(|(task, _)| task),
            Self::Readable(_) => None,
        }
    }
}
