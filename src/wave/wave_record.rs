//! The row of a maintenance wave.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::WaveId;
use crate::wave::WaveScope;

/// The prefix of the keys of waves.
pub const WAVE_PREFIX: &str = "wave/";

/// Returns the key of a wave's row.
pub fn wave_key(wave: &WaveId) -> String {
    format!("{WAVE_PREFIX}{wave}")
}

/// Whether a wave goes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// Hosts are stopped as the planner allows.
    Running,
    /// No further host is stopped, for this reason.
    Held(String),
    /// Every host has been maintained.
    Finished,
    /// It was given up.
    Aborted,
}

impl WaveState {
    /// Tells whether the wave will stop no further host, ever.
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

/// A maintenance wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Its name.
    pub id: WaveId,
    /// The hosts that it maintains.
    pub scope: WaveScope,
    /// Whether it goes on.
    pub state: WaveState,
    /// The hosts that are yet to be stopped.
    pub pending: BTreeSet<HostId>,
    /// The hosts that are stopped now.
    pub stopped: BTreeSet<HostId>,
    /// The hosts that have come back.
    pub done: BTreeSet<HostId>,
    /// The greatest number of hosts that the next group may have.
    pub group_limit: usize,
    /// When it was started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// What it waits for.
    pub waiting_for: String,
}

impl WaveRecord {
    /// Creates a wave over hosts that starts with a single one.
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
    /// Returns the state and the number of hosts at each stage.
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
