//! Injectable faults of the simulated backend server.

use serde::Deserialize;
use serde::Serialize;

/// The injected faults; the default injects none.
///
/// The counts apply to successful responses only; calls to the control endpoints are not affected.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Every request is answered with 500 immediately.
    pub fail_all: bool,
    /// The extra delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// How many of the following responses are truncated to half of their body.
    pub half_answers: u32,
    /// How many of the following responses carry the id and body of a response to another
    /// request.
    pub crossed_answers: u32,
    /// How many of the following responses are sent twice.
    pub doubled_answers: u32,
    /// Connections that are open when this is set become unresponsive; later ones work.
    pub silence_open: bool,
    /// Connections that are open when this is set are closed at their next request; later ones
    /// work.
    pub close_open: bool,
    /// How many of the following responses exceed every caller's size limit.
    pub oversized_answers: u32,
}
