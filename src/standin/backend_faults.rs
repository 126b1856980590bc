//! Faults of the backend server stand-in.

use serde::Deserialize;
use serde::Serialize;

/// The faults that are switched on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Every request fails at once with 500.
    pub fail_all: bool,
    /// Every answer comes this much later, in milliseconds.
    pub delay_ms: u64,
    /// So many next answers stop after half of their body.
    pub half_answers: u32,
    /// So many next answers carry another request's id and body.
    pub crossed_answers: u32,
    /// So many next answers are sent twice.
    pub doubled_answers: u32,
    /// Connections that are open now carry nothing any more; new ones work.
    pub silence_open: bool,
    /// Connections that are open now end at their next request; new ones work.
    pub close_open: bool,
    /// So many next answers are larger than any caller accepts.
    pub oversized_answers: u32,
}
