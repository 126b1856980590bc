//! Whether every entry host has acknowledged that a host is closed.

use std::sync::Arc;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Revision;
use crate::process::MemberSet;
use crate::process::PeerState;

/// What the members say of hosts that are to be stopped.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainStatus {
    /// The hosts that nobody has work in flight at, nor will send any.
    pub(crate) drained: Vec<HostId>,
    /// The members that have not answered, or not as needed.
    pub(crate) unconfirmed: Vec<EntryId>,
}

/// Asks every member, lost ones included, about closed hosts.
///
/// A member counts only if it acts on a placement at least as new as
/// `placement`, and answers in the run that the member set names or a later one.
pub(crate) async fn query_drain(
    state: &Arc<PeerState>,
    members: &MemberSet,
    hosts: &[HostId],
    placement: Revision,
) -> DrainStatus {
    let mut idle = vec![true; hosts.len()];
    let mut unconfirmed = Vec::new();
    for (entry, member) in members.members() {
        let answer = match *entry == state.identity.entry {
            true => Some(local_reports(state, hosts)),
            false => state.drain_of(entry, hosts).await,
        };
        let answer = answer.filter(|(incarnation, _)| *incarnation >= member.incarnation);
        let Some((_, reports)) = answer else {
            unconfirmed.push(entry.clone());
            continue;
        };
        let current = reports.iter().all(|report| report.placement >= placement);
        if !current || reports.len() != hosts.len() {
            unconfirmed.push(entry.clone());
            continue;
        }
        for (idle, report) in idle.iter_mut().zip(&reports) {
            *idle &= report.in_flight == 0;
        }
    }
    let all = unconfirmed.is_empty();
    let drained = hosts
        .iter()
        .zip(idle)
        .filter(|(_, idle)| *idle && all)
        .map(|(host, _)| host.clone())
        .collect();
    DrainStatus {
        drained,
        unconfirmed,
    }
}

fn local_reports(
    state: &PeerState,
    hosts: &[HostId],
) -> (crate::id::Incarnation, Vec<crate::process::DrainReport>) {
    let reports = hosts
        .iter()
        .map(|host| state.ledger.drain_report(host))
        .collect();
    (state.identity.incarnation, reports)
}
