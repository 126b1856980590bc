//! Upkeeps that the platform refused.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::WaveId;
use crate::process::boot_ms;
use crate::workflow::refusal_pause::RefusalPause;

/// The upkeeps that the platform refused in this term, each with the pause before it is asked again.
#[derive(Debug, Default)]
pub(crate) struct UpkeepRefusals {
    pauses: RefCell<BTreeMap<(WaveId, HostId), RefusalPause>>,
}

impl UpkeepRefusals {
    /// Begins the pause after a refusal.
    pub(crate) fn record(&self, wave: &WaveId, host: &HostId) {
        let key = (wave.clone(), host.clone());
        let mut pauses = self.pauses.borrow_mut();
        let pause = RefusalPause::after(pauses.get(&key), boot_ms());
        let pause_ms = pause.pause_ms();
        log::error!("event=host_refused host={host} wave={wave} pause_ms={pause_ms}");
        pauses.insert(key, pause);
    }

    /// Returns whether the pause after a refusal of a host's upkeep lasts.
    pub(crate) fn is_recent(&self, wave: &WaveId, host: &HostId) -> bool {
        let pauses = self.pauses.borrow();
        let pause = pauses.get(&(wave.clone(), host.clone()));
        pause.is_some_and(|pause| pause.is_active(boot_ms()))
    }
}
