//! What entry hosts ask of each other.

use serde::Deserialize;
use serde::Serialize;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::provider::HostChanges;
use crate::version::FACT_KINDS;

/// A heartbeat: who is alive and which versions it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// The sender.
    pub entry: EntryId,
    /// The run of the sender's daemon.
    pub incarnation: Incarnation,
    /// The revision held of each fact.
    pub facts: [Revision; FACT_KINDS.len()],
    /// The revision held of the host list.
    pub hosts: Revision,
    /// The revision of the service text that the sender routes by.
    pub text_in_force: Revision,
    /// The member set within whose slot shares the sender keeps.
    pub settled: Revision,
}

/// The answer to a heartbeat is the receiver's own.
pub type PeerReply = PeerHeartbeat;

/// Slots wanted or granted at one host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SlotRequest {
    /// The host.
    pub host: HostId,
    /// The number of slots.
    pub slots: u32,
}

/// The calls between entry hosts.
#[tarpc::service]
pub(crate) trait PeerService {
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: PeerHeartbeat) -> PeerReply;
    /// Returns the version held of a fact, by its place in the digest, packed.
    async fn fetch_fact(index: u8) -> (Revision, Vec<u8>);
    /// Returns the hosts that changed after a revision.
    async fn fetch_hosts(since: Revision) -> HostChanges;
    /// Reports what is in flight at hosts that are to be stopped.
    async fn drain(hosts: Vec<HostId>) -> (Incarnation, Vec<DrainReport>);
    /// Tells that callers have submitted or cancelled jobs.
    async fn wake_jobs();
    /// Lends slots for a time in milliseconds and returns how many.
    async fn lend(borrower: EntryId, wanted: Vec<SlotRequest>, time_ms: u64) -> Vec<SlotRequest>;
}
