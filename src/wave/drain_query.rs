//! Asks every entry host whether it has drained closed hosts.

use std::sync::Arc;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Revision;
use crate::process::MemberSet;
use crate::process::PeerState;

/// The members' responses about closed hosts that are to be stopped or moved.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainStatus {
    /// Hosts to which no member has requests in flight or will send new ones; empty if any member
    /// is unconfirmed.
    pub(crate) drained: Vec<HostId>,
    /// Members that did not respond, or whose response was outdated or incomplete.
    pub(crate) unconfirmed: Vec<EntryId>,
}

/// Asks every member, unreachable ones included, about closed hosts.
///
/// A response counts only if the member acts on a placement at least as new as `placement`, and if
/// its incarnation is not older than the one in the member set.
pub(crate) async fn query_drain(
    state: &Arc<PeerState>,
    members: &MemberSet,
    hosts: &[HostId],
    placement: Revision,
) -> DrainStatus {
    let mut idle = vec![true; hosts.len()];
    let mut unconfirmed = Vec::new();
    for (entry, member) in members.members() {
        let response = match *entry == state.identity.entry {
            true => Some(local_reports(state, hosts)),
            false => state.fetch_drain_reports(entry, hosts).await,
        };
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

/// Returns this process's incarnation and reports, in the form of another member's response.
fn local_reports(
    state: &PeerState,
    hosts: &[HostId],
) -> (crate::id::Incarnation, Vec<crate::process::DrainReport>) {
    let reports = hosts
        .iter()
        .map(|host| state.allocator.drain_report(host))
        .collect();
    (state.identity.incarnation, reports)
}
