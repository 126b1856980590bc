//! Orders for restarts of stopped hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;
use crate::process::HostPlacement;
use crate::process::PeerState;
use crate::provider::HostService;
use crate::provider::RebootCommand;
use crate::version::HostState;
use crate::wave::held_wave::HeldWave;

/// How long a restarted host may take to come back before its wave is held.
const RESTART_LIMIT: Duration = Duration::from_secs(900);

/// Orders each restart until the platform has answered once, and watches for the host's return.
pub(super) struct HostRestarter<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    ordered: RefCell<HashSet<String>>,
    restarted_at: RefCell<HashMap<HostId, Instant>>,
}

impl<P: HostService> HostRestarter<P> {
    /// Creates a restarter that has ordered nothing.
    pub(super) fn new(platform: Rc<P>, state: Arc<PeerState>) -> Self {
        Self {
            platform,
            state,
            ordered: RefCell::default(),
            restarted_at: RefCell::default(),
        }
    }

    /// Orders a restart unless it was answered before; the token makes it idempotent.
    pub(super) async fn order(&self, wave: &HeldWave, host: &HostId, held: &HostPlacement) {
        let token = format!("{}/{host}/{}", wave.record.id, held.boots);
        self.note_restart(host);
        if self.ordered.borrow().contains(&token) {
            return;
        }
        let order = RebootCommand {
            token: token.clone(),
        };
        match self.platform.reboot(host, &order).await {
            Ok(()) => {
                self.ordered.borrow_mut().insert(token);
            }
            Err(error) => {
                log::debug!(target: "zincpier::wave", "restart of {host} is ordered again: {error}");
            }
        }
    }

    fn note_restart(&self, host: &HostId) {
        let mut restarted = self.restarted_at.borrow_mut();
        restarted.entry(host.clone()).or_insert_with(Instant::now);
    }

    /// Tells whether a host serves again after it had restarted `boots` times.
    pub(super) fn is_back(&self, host: &HostId, boots: u64) -> bool {
        let hosts = self.state.hosts();
        hosts
            .get(host)
            .is_some_and(|record| record.state == HostState::Live && record.boots > boots)
    }

    /// Forgets a host that is back.
    pub(super) fn forget(&self, host: &HostId) {
        self.restarted_at.borrow_mut().remove(host);
    }

    /// Returns a host that takes too long to come back.
    pub(super) fn overdue<'h>(&self, hosts: &'h [HostId]) -> Option<&'h HostId> {
        let restarted = self.restarted_at.borrow();
        let late = |host: &&HostId| {
            let since = restarted.get(*host);
            since.is_some_and(|since| since.elapsed() >= RESTART_LIMIT)
        };
        hosts.iter().find(late)
    }
}
