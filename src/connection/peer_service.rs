//! RPC interface between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::provider::HostChanges;
use crate::version::FACT_KINDS;

/// A heartbeat with the sender's revisions of the shared state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// The entry host that sent it.
    pub entry: EntryId,
    /// The incarnation of the sender's daemon.
    pub incarnation: Incarnation,
    /// The sender's revision of each fact, in the order of [`FACT_KINDS`].
    pub facts: [Revision; FACT_KINDS.len()],
    /// The sender's revision of the host list.
    pub hosts: Revision,
    /// The revision of the service text by which the sender routes.
    pub text_in_force: Revision,
    /// The revision of the newest member set whose slot shares the sender does not exceed.
    #[serde(rename = "settled")]
    pub applied_member_set: Revision,
}

/// The response to a heartbeat: the receiver's own heartbeat.
pub type PeerReply = PeerHeartbeat;

/// A number of slots requested or granted at one host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SlotRequest {
    /// The host whose slots are lent.
    pub host: HostId,
    /// The number of slots, 0 if none were granted.
    pub slots: u32,
}

/// The calls between entry hosts.
#[tarpc::service]
pub(crate) trait PeerService {
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: PeerHeartbeat) -> PeerReply;
    /// Returns the revision and compressed value of a fact, by its index in [`FACT_KINDS`]. An
    /// unknown index gives revision 0.
    async fn fetch_fact(index: u8) -> (Revision, Vec<u8>);
    /// Returns the hosts that changed since a revision.
    async fn fetch_hosts(since: Revision) -> HostChanges;
    /// Reports the peer's incarnation and its requests in flight at hosts that are to be stopped.
    async fn drain(hosts: Vec<HostId>) -> (Incarnation, Vec<DrainReport>);
    /// Notifies the peer that callers have submitted or cancelled jobs.
    async fn wake_jobs();
    /// Requests a loan of slots for `time_ms` and returns the slots granted.
    async fn lend(borrower: EntryId, wanted: Vec<SlotRequest>, time_ms: u64) -> Vec<SlotRequest>;
}
