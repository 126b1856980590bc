//! The row by which a job's id is taken.

use crate::provider::TableRow;
use crate::workflow::intake::job_status::is_row_visible;
use crate::workflow::CallerScope;
use crate::workflow::EarlyCancel;
use crate::workflow::SubmitOutcome;

/// The row that states a stored job's owner, or that its id was cancelled before.
pub(crate) enum StoredJob {
    /// The submission.
    Submitted(TableRow),
    /// The row of an archived job.
    Ended(TableRow),
    /// The record of a cancellation before the job was stored.
    Cancelled(TableRow, EarlyCancel),
}

impl StoredJob {
    /// Returns what a submission that conflicts with the row comes to.
    pub(crate) fn submit_outcome(&self, scope: &CallerScope) -> SubmitOutcome {
        let (Self::Submitted(row) | Self::Ended(row) | Self::Cancelled(row, _)) = self;
        match is_row_visible(&row.value, scope) {
            Some(true) => SubmitOutcome::Known,
            Some(false) => SubmitOutcome::Taken,
            None => SubmitOutcome::Unknown,
        }
    }
}
