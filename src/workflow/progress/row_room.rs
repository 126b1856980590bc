//! The bytes that a job's durable row has left.

use crate::workflow::progress::row_bytes::RowBytes;
use crate::workflow::progress::task_state::RUN_ROW_BYTES;
use crate::workflow::RowLimit;

/// Bytes that checkpoints leave to further runs where bytes are counted as they are: a hundred runs.
/// Without them, a row full of checkpoints would have no room for any run.
const RUN_RESERVE_BYTES: usize = 100 * RUN_ROW_BYTES;

/// What a job's durable row has left for further runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RowRoom {
    /// The bytes left.
    pub(crate) bytes: usize,
    /// Bytes are counted as they are: more tasks have run than could reserve those of a usual run, in a
    /// row from an earlier build or with a lower limit.
    pub(crate) is_exact: bool,
}

impl RowRoom {
    /// Creates the room of a row that holds `tasks` and `overhead` bytes besides.
    pub(crate) fn new(limit: RowLimit, overhead: usize, tasks: RowBytes) -> Self {
        let is_exact = overhead + tasks.reserved > limit.get();
        let used = overhead
            + match is_exact {
                true => tasks.taken,
                false => tasks.reserved,
            };
        Self {
            bytes: limit.get().saturating_sub(used),
            is_exact,
        }
    }

    /// Returns the bytes left for longer checkpoints.
    pub(crate) fn checkpoint_bytes(self) -> usize {
        match self.is_exact {
            true => self.bytes.saturating_sub(RUN_RESERVE_BYTES),
            false => self.bytes,
        }
    }
}
