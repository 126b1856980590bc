//! The stored record of a maintenance wave.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::WaveId;
use crate::wave::WaveScope;

/// Key prefix of wave rows.
pub const WAVE_PREFIX: &str = "wave/";

/// Returns the key of a wave's row.
pub fn wave_key(wave: &WaveId) -> String {
    format!("{WAVE_PREFIX}{wave}")
}

/// The life-cycle state of a wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// The controller stops pending hosts, group by group.
    Running,
    /// No further host is stopped, for this reason, until an operator resumes the wave.
    Held(String),
    /// Every listed host has been maintained.
    Finished,
    /// Ended by an operator.
    Aborted,
}

impl WaveState {
    /// Returns whether the state is final.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Aborted | Self::Finished)
    }
}

impl fmt::Display for WaveState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running => formatter.pad("running"),
            Self::Held(reason) => write!(formatter, "held: {reason}"),
            Self::Finished => formatter.pad("finished"),
            Self::Aborted => formatter.pad("aborted"),
        }
    }
}

/// The row of a wave; its fields are stored under their own names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Unique id, also part of the row's key.
    pub id: WaveId,
    /// The part of the fleet that the operator selected.
    pub scope: WaveScope,
    /// `Running` at the start; changed by the controller and by operators.
    pub state: WaveState,
    /// Hosts yet to be stopped.
    pub pending: BTreeSet<HostId>,
    /// Hosts closed or restarting now.
    pub stopped: BTreeSet<HostId>,
    /// Hosts that have returned.
    pub done: BTreeSet<HostId>,
    /// Maximum number of hosts in the next group.
    pub group_limit: usize,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the final state, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// What the wave waits for; empty if nothing.
    pub waiting_for: String,
}

impl WaveRecord {
    /// Creates a running wave whose first group is a single host.
    pub fn new(id: WaveId, scope: WaveScope, hosts: BTreeSet<HostId>, started_ms: u64) -> Self {
        Self {
            id,
            scope,
            state: WaveState::Running,
            pending: hosts,
            stopped: BTreeSet::new(),
            done: BTreeSet::new(),
            group_limit: 1,
            started_ms,
            ended_ms: None,
            waiting_for: String::new(),
        }
    }

    /// Returns the state and the number of hosts at each stage, for the audit trail.
    pub fn summary(&self) -> String {
        format!(
            "{}, {} pending, {} stopped, {} done",
            self.state,
            self.pending.len(),
            self.stopped.len(),
            self.done.len()
        )
    }
}
