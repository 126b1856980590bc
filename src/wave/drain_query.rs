//! Asks every entry host whether it has drained closed hosts.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use monoio::time::timeout;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::process::MemberSet;
use crate::process::PeerState;

/// Maximum time for the responses of all members. The lease is renewed between two passes, so it
/// must be much shorter than the lease.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A member's incarnation and its reports, one for each host; `None` without a response.
type DrainResponse = Option<(Incarnation, Vec<DrainReport>)>;

/// The members' responses about closed hosts that are to be stopped or moved.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainStatus {
    /// Hosts to which no member has requests in flight or will send new ones; empty if any member
    /// is unconfirmed.
    pub(crate) drained: Vec<HostId>,
    /// Members that did not respond, or whose response was outdated or incomplete.
    pub(crate) unconfirmed: Vec<EntryId>,
}

/// Asks every member, unreachable ones included, about closed hosts, all at the same time.
///
/// Members that do not respond within [`QUERY_TIMEOUT`] are unconfirmed. A response counts only if
/// the member acts on a placement at least as new as `placement`, and if its incarnation is not
/// older than the one in the member set.
pub(crate) async fn query_drain(
    state: &Arc<PeerState>,
    members: &MemberSet,
    hosts: &[HostId],
    placement: Revision,
) -> DrainStatus {
    let mut idle = vec![true; hosts.len()];
    let mut unconfirmed = Vec::new();
    let members = members.members();
    let queries = members
        .keys()
        .map(|entry| query_member(state, entry, hosts));
    let responses = join_all(queries).await;
    for ((entry, member), response) in members.iter().zip(responses) {
        let response = response.filter(|(incarnation, _)| *incarnation >= member.incarnation);
        let Some((_, reports)) = response else {
            unconfirmed.push(entry.clone());
            continue;
        };
        let up_to_date = reports.iter().all(|report| report.placement >= placement);
        if !up_to_date || reports.len() != hosts.len() {
            unconfirmed.push(entry.clone());
            continue;
        }
        for (idle, report) in idle.iter_mut().zip(&reports) {
            *idle &= report.in_flight == 0;
        }
    }
    let all_confirmed = unconfirmed.is_empty();
    let drained = hosts
        .iter()
        .zip(idle)
        .filter(|(_, idle)| *idle && all_confirmed)
        .map(|(host, _)| host.clone())
        .collect();
    DrainStatus {
        drained,
        unconfirmed,
    }
}

async fn query_member(state: &Arc<PeerState>, entry: &EntryId, hosts: &[HostId]) -> DrainResponse {
    if *entry == state.identity.entry {
        return Some(local_reports(state, hosts));
    }
    let query = timeout(QUERY_TIMEOUT, state.fetch_drain_reports(entry, hosts));
    query.await.ok().flatten()
}

/// Returns this process's incarnation and reports, in the form of another member's response.
fn local_reports(state: &PeerState, hosts: &[HostId]) -> (Incarnation, Vec<DrainReport>) {
    let reports = hosts
        .iter()
        .map(|host| state.allocator.drain_report(host))
        .collect();
    (state.identity.incarnation, reports)
}
