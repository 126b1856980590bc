//! The record of a cancellation that was answered while no job with its id was stored.
//!
//! A submission may still be under way then: the table may carry out a call seconds after it left it
//! unanswered. The record takes the key of an ended job, which each submission requires to be free, so
//! that such a submission is not stored. A second row beside the submissions tells the lease holder of
//! the record, which deletes both after some time.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::JobId;
use crate::id::OrganisationId;
use crate::id::Revision;
use crate::provider::Transaction;
use crate::workflow::cancel_key;
use crate::workflow::ended_key;
use crate::workflow::CallerScope;
use crate::workflow::JobPhase;

/// The age from which a record is written anew for another cancellation, in ms. Its retention period
/// then leaves enough time for any submission under way.
const MAX_FRESH_MS: u64 = 30_000;

/// Who has cancelled an id before a job with it was stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EarlyCancel {
    /// The phase, by which earlier versions show the job to callers.
    phase: String,
    /// The callers' scopes, each once.
    cancelled_by: Vec<CallerScope>,
    /// The time of the record on the table's clock, in ms, if it was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    recorded_ms: Option<u64>,
    /// The job was submitted again after its cancellation, and accepted as a cancelled one.
    #[serde(default, skip_serializing_if = "is_false")]
    submitted: bool,
    /// The owner of a job that was submitted again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    organisation: Option<OrganisationId>,
}

impl EarlyCancel {
    /// Creates a record without callers. `now_ms` is the time on the table's clock.
    pub fn new(now_ms: Option<u64>) -> Self {
        Self {
            phase: JobPhase::Cancelled.as_str().to_owned(),
            cancelled_by: Vec::new(),
            recorded_ms: now_ms,
            submitted: false,
            organisation: None,
        }
    }

    /// Adds the cancellation of a caller with `scope`, at `now_ms` on the table's clock.
    #[must_use]
    pub fn with_caller(mut self, scope: &CallerScope, now_ms: Option<u64>) -> Self {
        if !self.cancelled_by.contains(scope) {
            self.cancelled_by.push(scope.clone());
        }
        self.recorded_ms = now_ms;
        self
    }

    /// Makes the record that of a cancelled job of `owner`, which was submitted at `now_ms` on the table's
    /// clock.
    #[must_use]
    pub fn with_submission(mut self, owner: Option<&OrganisationId>, now_ms: Option<u64>) -> Self {
        self.submitted = true;
        self.organisation = owner.cloned();
        self.recorded_ms = now_ms;
        self
    }

    /// Decodes the row of a record. Returns `None` for that of an archived job or of the cancellation of a
    /// stored job.
    pub fn from_row(value: &Value) -> Option<Self> {
        value.get("cancelled_by")?;
        Self::deserialize(value).ok()
    }

    /// Returns whether the job was submitted again, which makes the record that of an ended job.
    pub fn is_submitted(&self) -> bool {
        self.submitted
    }

    /// Returns whether a job of `owner` must not start: one of the callers would have cancelled it, had it
    /// been stored.
    pub fn covers(&self, owner: Option<&OrganisationId>) -> bool {
        self.cancelled_by.iter().any(|scope| scope.includes(owner))
    }

    /// Returns whether another cancellation with `scope` at `now_ms` on the table's clock needs no write.
    pub fn is_fresh(&self, scope: &CallerScope, now_ms: Option<u64>) -> bool {
        let age_ms = self.age_ms(now_ms);
        self.cancelled_by.contains(scope) && age_ms.is_some_and(|age_ms| age_ms <= MAX_FRESH_MS)
    }

    /// Returns the age in ms at `now_ms` on the table's clock; `None` if it is unknown.
    pub fn age_ms(&self, now_ms: Option<u64>) -> Option<u64> {
        Some(now_ms?.saturating_sub(self.recorded_ms?))
    }

    /// Adds the writes of the record of job `id`, over one with `revision`; 0 means that there is none.
    pub(crate) fn write(&self, rows: Transaction, id: &JobId, revision: Revision) -> Transaction {
        let value = serde_json::to_value(self).unwrap_or_default();
        rows.with_check(ended_key(id), revision)
            .with_write(ended_key(id), value.clone())
            .with_write(cancel_key(id), value)
    }

    /// Adds the deletions of the record of job `id`.
    pub(crate) fn delete(rows: Transaction, id: &JobId) -> Transaction {
        rows.with_delete(ended_key(id)).with_delete(cancel_key(id))
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}
