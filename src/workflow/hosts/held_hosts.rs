//! Hosts that are kept empty for their upkeep.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::workflow::CordonReason;
use crate::workflow::JobEngine;

/// Hosts that are kept empty until their upkeep is accepted, since its command may have to be sent
/// again.
#[derive(Debug, Default)]
pub(crate) struct HeldHosts {
    workers: RefCell<HashMap<HostId, WorkerId>>,
}

impl HeldHosts {
    /// Cordons and drains the workers of hosts; `force` as in [`JobEngine::drain_worker`].
    pub(crate) fn hold<'h>(
        &self,
        engine: &mut JobEngine,
        hosts: impl Iterator<Item = (&'h HostId, &'h WorkerId)>,
        force: bool,
    ) {
        let mut workers = self.workers.borrow_mut();
        for (host, worker) in hosts {
            engine.set_cordon(worker, Some(CordonReason::Upkeep));
            engine.drain_worker(worker, force);
            workers.insert(host.clone(), worker.clone());
        }
    }

    /// Forgets the hosts whose upkeep was accepted. A worker that is still the host's, by `listed`, gets
    /// tasks again: an earlier command had been carried out before it started.
    pub(crate) fn release(
        &self,
        engine: &mut JobEngine,
        listed: &HashMap<&HostId, Option<&WorkerId>>,
        is_accepted: impl Fn(&HostId) -> bool,
    ) {
        self.workers.borrow_mut().retain(|host, worker| {
            if !is_accepted(host) {
                return true;
            }
            if listed.get(host).copied().flatten() == Some(&*worker) {
                engine.set_cordon(worker, None);
            }
            false
        });
    }
}
