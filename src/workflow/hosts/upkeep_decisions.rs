//! The upkeeps that a controller has decided.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::id::HostId;
use crate::id::WaveId;
use crate::workflow::hosts::host_order::OrderTarget;

/// Names a host's upkeep.
type UpkeepKey = (WaveId, HostId);

/// The upkeeps that were decided in one term, and what is known of their commands.
#[derive(Debug, Default)]
pub(crate) struct UpkeepDecisions {
    /// The incarnation that each is meant for; `None` once that one has ended.
    targets: RefCell<HashMap<UpkeepKey, Option<OrderTarget>>>,
    /// Those of which a command got no answer, so that a later one may be accepted as done before.
    unanswered: RefCell<HashSet<UpkeepKey>>,
    /// Those after which the host was listed as up again. It may be down for another wave since.
    returned: RefCell<HashSet<UpkeepKey>>,
}

impl UpkeepDecisions {
    /// Records which incarnation an upkeep is meant for.
    pub(crate) fn decide(&self, wave: &WaveId, target: &OrderTarget) {
        let key = (wave.clone(), target.host.clone());
        self.targets.borrow_mut().insert(key, Some(target.clone()));
    }

    /// Records that the incarnation has ended that an upkeep was meant for, so that it is decided anew.
    pub(crate) fn forget_target(&self, wave: &WaveId, host: &HostId) {
        let key = (wave.clone(), host.clone());
        self.targets.borrow_mut().insert(key, None);
    }

    /// Returns the incarnation that an upkeep is meant for.
    pub(crate) fn target(&self, wave: &WaveId, host: &HostId) -> Option<OrderTarget> {
        let key = (wave.clone(), host.clone());
        self.targets.borrow().get(&key).cloned().flatten()
    }

    /// Returns whether an upkeep was decided in this term.
    pub(crate) fn contains(&self, wave: &WaveId, host: &HostId) -> bool {
        let key = (wave.clone(), host.clone());
        self.targets.borrow().contains_key(&key)
    }

    /// Records that a command for an upkeep got no answer.
    pub(crate) fn record_unanswered(&self, wave: &WaveId, host: &HostId) {
        let key = (wave.clone(), host.clone());
        self.unanswered.borrow_mut().insert(key);
    }

    /// Returns whether no earlier command for an upkeep can have been carried out: one of an earlier
    /// controller, or one without an answer.
    pub(crate) fn is_first(&self, wave: &WaveId, host: &HostId) -> bool {
        let key = (wave.clone(), host.clone());
        self.targets.borrow().contains_key(&key) && !self.unanswered.borrow().contains(&key)
    }

    /// Returns whether a host has returned from its upkeep for a wave; it has if it `is_back`.
    pub(crate) fn has_returned(&self, wave: &WaveId, host: &HostId, is_back: bool) -> bool {
        let key = (wave.clone(), host.clone());
        let mut returned = self.returned.borrow_mut();
        if is_back {
            returned.insert(key);
            return true;
        }
        returned.contains(&key)
    }
}
