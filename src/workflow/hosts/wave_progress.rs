//! The progress of a maintenance wave, as stored in the platform's table.

use std::collections::BTreeSet;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::HostId;
use crate::id::WaveId;
use crate::provider::RowWrite;
use crate::provider::TableRow;
use crate::workflow::HostList;
use crate::workflow::WaveRequest;

/// Key prefix of the rows with waves' progress.
const WAVE_PREFIX: &str = "waves/";

/// Progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Hosts whose upkeep was decided; stored before the command is sent.
    #[serde(rename = "begun")]
    pub started: BTreeSet<HostId>,
    /// Hosts whose upkeep the platform accepted or rejected for good.
    pub accepted: BTreeSet<HostId>,
    /// Set once all listed hosts of the wave are in `accepted`.
    pub complete: bool,
    /// The time at which a controller first read the wave, on the table's clock, in ms; `None` if it
    /// was never known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_ms: Option<u64>,
    /// Earlier progress was unreadable, so that hosts may have had their upkeep already.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_forgotten: bool,
}

impl WaveProgress {
    /// Returns the key of a wave's row.
    pub fn row_key(wave: &WaveId) -> String {
        format!("{WAVE_PREFIX}{wave}")
    }

    /// Decodes the first of the rows read; without a readable row, nothing is known to be done.
    pub fn from_rows(wave: &WaveId, rows: &[TableRow]) -> Self {
        let Some(row) = rows.first() else {
            return Self::default();
        };
        match serde_json::from_value::<Self>(row.value.clone()) {
            Ok(mut progress) => {
                progress.started.extend(progress.accepted.iter().cloned());
                progress
            }
            Err(error) => {
                log::error!("event=wave_progress_unreadable wave={wave} reason=\"{error}\"");
                Self {
                    is_forgotten: true,
                    ..Self::default()
                }
            }
        }
    }

    /// Returns whether the upkeep of each of the wave's hosts has begun. Hosts that are gone need none,
    /// but a list with gaps doesn't show which are gone.
    pub fn includes_all(&self, request: &WaveRequest, list: &HostList) -> bool {
        let listed: HashSet<_> = list.hosts.iter().map(|entry| &entry.host).collect();
        let is_gone = |host: &HostId| !list.has_gaps && !listed.contains(host);
        let mut hosts = request.hosts.iter();
        request.unreadable_hosts == 0
            && hosts.all(|host| self.accepted.contains(host) || is_gone(host))
    }

    /// Iterates over the hosts whose upkeep was decided and not accepted yet.
    pub fn unaccepted(&self) -> impl Iterator<Item = HostId> + '_ {
        self.started.difference(&self.accepted).cloned()
    }

    /// Returns the write that stores the progress of `wave`. The row names each host once, so that it
    /// fits wherever the operator's request for the wave does.
    pub fn to_write(&self, wave: &WaveId) -> RowWrite {
        let row = Self {
            started: self.unaccepted().collect(),
            ..self.clone()
        };
        RowWrite {
            key: Self::row_key(wave),
            value: Some(serde_json::to_value(row).unwrap_or(Value::Null)),
        }
    }

    /// Returns the time since the wave was first read by any controller, in ms. This controller read
    /// it `known_ms` ago. `table_ms` is the table's time, if known.
    pub fn age_ms(&self, known_ms: u64, table_ms: Option<u64>) -> u64 {
        let stored_ms = table_ms.zip(self.read_ms);
        let stored_age_ms = stored_ms.map(|(table_ms, read_ms)| table_ms.saturating_sub(read_ms));
        stored_age_ms.unwrap_or(0).max(known_ms)
    }
}
