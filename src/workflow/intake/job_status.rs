//! The phase and the owner of a job, as its durable rows state them.

use serde_json::json;
use serde_json::Value;

use crate::id::OrganisationId;
use crate::workflow::CallerScope;
use crate::workflow::JobPhase;

/// The field with the owner. Rows of jobs without an owner don't have it.
pub(crate) const OWNER_FIELD: &str = "organisation";

const PHASE_FIELD: &str = "phase";

/// What a job's submission, its progress row or the row of an ended job says about it. Each of them
/// states the owner, so that no other row has to be read to decide who may see the job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobStatus {
    /// The phase.
    pub phase: JobPhase,
    /// The organisation that submitted the job; `None` without organisations or from a public queue.
    pub owner: Option<OrganisationId>,
}

impl JobStatus {
    /// Decodes a submission, whose job is queued. Returns `None` if the owner is unreadable.
    pub fn from_submission(value: &Value) -> Option<Self> {
        Some(Self {
            phase: JobPhase::Queued,
            owner: decode_owner(value)?,
        })
    }

    /// Decodes a progress row. Returns `None` if phase or owner is unreadable.
    pub fn from_progress(value: &Value) -> Option<Self> {
        Some(Self {
            phase: JobPhase::from_name(value.get(PHASE_FIELD)?.as_str()?)?,
            owner: decode_owner(value)?,
        })
    }

    /// Decodes the row of an ended job: the phase's name, or an object with phase and owner. Returns
    /// `None` if phase or owner is unreadable.
    pub fn from_ended(value: &Value) -> Option<Self> {
        let Some(name) = value.as_str() else {
            return Self::from_progress(value);
        };
        Some(Self {
            phase: JobPhase::from_name(name)?,
            owner: None,
        })
    }

    /// Returns the row of an ended job. Without an owner it is the phase's name, which earlier
    /// versions read too.
    pub fn to_ended(&self) -> Value {
        match &self.owner {
            None => json!(self.phase.as_str()),
            Some(owner) => json!({ PHASE_FIELD: self.phase.as_str(), OWNER_FIELD: owner }),
        }
    }
}

/// Returns whether a caller may see the job of a submission or of an ended job's row, or `None` if the
/// owner is unreadable. Without organisations no owner of a readable row is read.
pub(crate) fn is_row_visible(value: &Value, scope: &CallerScope) -> Option<bool> {
    if *scope == CallerScope::Everything && !value.is_null() {
        return Some(true);
    }
    Some(scope.includes(decode_owner(value)?.as_ref()))
}

/// Returns the owner in a row, `Some(None)` without one, or `None` if it is unreadable. The value of
/// an unreadable row is null.
fn decode_owner(value: &Value) -> Option<Option<OrganisationId>> {
    match value.get(OWNER_FIELD) {
        None if value.is_null() => None,
        None => Some(None),
        Some(owner) => Some(Some(owner.as_str()?.parse().ok()?)),
    }
}
