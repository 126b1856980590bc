//! A wave as its row shows it.

use crate::id::HostId;
use crate::id::Revision;
use crate::process::HostPhase;
use crate::process::HostPlacement;
use crate::wave::control_view::ControlView;
use crate::wave::WaveRecord;

/// A wave with the revision of its row.
#[derive(Clone, Debug)]
pub(super) struct StoredWave {
    pub(super) record: WaveRecord,
    pub(super) revision: Revision,
}

impl StoredWave {
    /// Returns the hosts that the wave has closed and that are in a phase.
    pub(super) fn hosts_in(&self, view: &ControlView, phase: HostPhase) -> Vec<HostId> {
        let hosts = view.placement.hosts().iter();
        hosts
            .filter(|(_, held)| self.has_closed(held) && held.phase == phase)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Tells whether the wave has closed hosts that are not open again.
    pub(super) fn has_closed_hosts(&self, view: &ControlView) -> bool {
        let mut hosts = view.placement.hosts().values();
        hosts.any(|held| self.has_closed(held))
    }

    fn has_closed(&self, held: &HostPlacement) -> bool {
        held.wave.as_ref() == Some(&self.record.id) && held.phase != HostPhase::Active
    }
}
