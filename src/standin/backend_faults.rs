//! Injectable faults of the simulated backend server.

use serde::Deserialize;
use serde::Serialize;

/// The injected faults; the default injects none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Every request is answered with 500 at once.
    pub fail_all: bool,
    /// The extra delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// The number of next responses that are truncated to half of their body.
    pub half_answers: u32,
    /// The number of next responses that carry the id and body of another request.
    pub crossed_answers: u32,
    /// The number of next responses that are sent twice.
    pub doubled_answers: u32,
    /// Connections that are open now become unresponsive; new ones work.
    pub silence_open: bool,
    /// Connections that are open now are closed at their next request; new ones work.
    pub close_open: bool,
    /// The number of next responses that exceed every caller's size limit.
    pub oversized_answers: u32,
}
