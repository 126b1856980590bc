//! A wave's record as read from the table.

use crate::id::HostId;
use crate::id::Revision;
use crate::process::HostPhase;
use crate::process::HostPlacement;
use crate::wave::control_view::ControlView;
use crate::wave::WaveRecord;

/// A wave record with the revision of its row.
#[derive(Clone, Debug)]
pub(super) struct StoredWave {
    pub(super) record: WaveRecord,
    pub(super) revision: Revision,
}

impl StoredWave {
    /// Returns the hosts closed by the wave that are in `phase`.
    pub(super) fn hosts_in(&self, view: &ControlView, phase: HostPhase) -> Vec<HostId> {
        let hosts = view.placement.hosts().iter();
        hosts
            .filter(|(_, host_placement)| {
                self.has_closed(host_placement) && host_placement.phase == phase
            })
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Returns whether any host closed by the wave has not been reopened.
    pub(super) fn has_closed_hosts(&self, view: &ControlView) -> bool {
        let mut hosts = view.placement.hosts().values();
        hosts.any(|host_placement| self.has_closed(host_placement))
    }

    fn has_closed(&self, host_placement: &HostPlacement) -> bool {
        host_placement.wave.as_ref() == Some(&self.record.id)
            && host_placement.phase != HostPhase::Active
    }
}
