//! The leader row, which names the holder of the controller's lease.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;

use crate::provider::TableRow;
use crate::workflow::CountStamp;
use crate::workflow::OrganisationLimits;
use crate::workflow::QueueBacklogs;
use crate::workflow::SilentWorkers;
use crate::workflow::INHERITED_RUN_MS;
use crate::workflow::RELEASED_RUN_MS;

/// The limit on epochs. Each takes a transaction, so a higher one is not a holder's.
const MAX_EPOCH: u64 = 1 << 53;

/// The lease holder as stored in the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// The highest fencing token that the holder uses. It rises with each change of the holder, and when
    /// workers have restarted, since each incarnation of a worker needs one of its own.
    pub epoch: u64,
    /// The epoch of the holder's claim, if it has risen since; 0 otherwise.
    #[serde(
        default,
        rename = "term",
        deserialize_with = "decode_statement",
        skip_serializing_if = "is_zero"
    )]
    pub claimed_epoch: u64,
    /// The entry host that holds the lease.
    pub holder: String,
    /// Number of the holder's commits.
    pub commit: u64,
    /// The holder has released the lease.
    pub released: bool,
    /// Time for which runs started by the holder's predecessors may continue unobserved, in ms.
    #[serde(default)]
    pub inherited_ms: u64,
    /// Describes the published counts of pending jobs; none before the holder has counted.
    #[serde(
        default,
        deserialize_with = "decode_statement",
        skip_serializing_if = "Option::is_none"
    )]
    pub counts: Option<CountStamp>,
    /// The processor time of the holder's entry host, in millicores; 0 if unknown.
    #[serde(default, deserialize_with = "decode_statement")]
    pub processor_millis: u64,
    /// Where the holder takes carriers; none if it makes all calls to workers itself.
    #[serde(
        default,
        deserialize_with = "decode_statement",
        skip_serializing_if = "Option::is_none"
    )]
    pub carriers: Option<SocketAddr>,
    /// The backlogs of queues, as of this commit.
    #[serde(
        default,
        deserialize_with = "decode_statement",
        skip_serializing_if = "QueueBacklogs::is_empty"
    )]
    pub backlogs: QueueBacklogs,
    /// The holder has no memory for further jobs, as of this commit.
    #[serde(
        default,
        rename = "full",
        deserialize_with = "decode_statement",
        skip_serializing_if = "is_false"
    )]
    pub is_full: bool,
    /// The limits on organisations, as of this commit; nothing is limited before the holder has
    /// measured.
    #[serde(
        default,
        deserialize_with = "decode_statement",
        skip_serializing_if = "OrganisationLimits::is_empty"
    )]
    pub limits: OrganisationLimits,
    /// The workers that don't answer the holder, stated with the release.
    #[serde(
        default,
        deserialize_with = "decode_statement",
        skip_serializing_if = "SilentWorkers::is_empty"
    )]
    pub silent_workers: SilentWorkers,
}

impl LeaderRecord {
    /// Returns the epoch of the holder's claim, which stays the same for all of its term.
    pub fn term_epoch(&self) -> u64 {
        match self.claimed_epoch {
            0 => self.epoch,
            claimed => claimed.min(self.epoch),
        }
    }

    /// Raises the epoch within the term.
    pub(crate) fn raise_epoch(&mut self) {
        self.claimed_epoch = self.term_epoch();
        self.epoch += 1;
    }

    /// Returns whether both records were written by the same commit. Its attempts differ in the
    /// age of the counts.
    pub(crate) fn is_same_commit(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.epoch, record.holder.clone(), record.commit);
        key(self) == key(other)
    }

    /// Returns the time for which runs of this holder and earlier ones may continue unobserved
    /// after the end of this holder's term, in ms.
    pub(crate) fn unobserved_ms(&self) -> u64 {
        match (self.epoch, self.released) {
            (0, _) => 0,
            (_, true) => self.inherited_ms.clamp(RELEASED_RUN_MS, INHERITED_RUN_MS),
            (_, false) => INHERITED_RUN_MS,
        }
    }

    /// Takes what the holder stated of workers that don't answer; nothing unless it released the lease, since
    /// a holder that goes on may renew their leases once they answer.
    pub(crate) fn take_silent_workers(&mut self) -> SilentWorkers {
        let silent = std::mem::take(&mut self.silent_workers);
        match self.released {
            true => silent,
            false => SilentWorkers::default(),
        }
    }

    /// Returns whether the record has parts without which it can be stored as well.
    pub(crate) fn has_optional_parts(&self) -> bool {
        !self.backlogs.is_empty() || !self.limits.is_empty() || !self.silent_workers.is_empty()
    }

    /// Removes the parts without which the record can be stored as well.
    pub(crate) fn drop_optional_parts(&mut self) {
        self.backlogs = QueueBacklogs::new();
        self.limits = OrganisationLimits::default();
        self.silent_workers = SilentWorkers::default();
    }
}

/// Returns a record that stands for a row that cannot be decoded. Its holder is unknown and may
/// still run tasks. No holder had a higher epoch than the row's revision, since each claim of the
/// lease is a transaction of its own.
pub(crate) fn unknown_record(row: &TableRow) -> LeaderRecord {
    log::error!("event=leader_unreadable value={}", row.value);
    LeaderRecord {
        epoch: row.revision.get(),
        ..LeaderRecord::default()
    }
}

/// Decodes what a holder states besides its hold on the lease; as if nothing were stated if that
/// fails. Otherwise, entry hosts of another build would take the lease for one without a holder.
fn decode_statement<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + DeserializeOwned,
{
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).unwrap_or_default())
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Decodes the leader row. Returns `None` if it cannot be decoded, or if no claims add up to its epoch.
pub(crate) fn read_record(row: &TableRow) -> Option<LeaderRecord> {
    let record: LeaderRecord = serde_json::from_value(row.value.clone()).ok()?;
    (record.epoch <= MAX_EPOCH).then_some(record)
}
