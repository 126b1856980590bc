//! Restarts stopped hosts through the platform.

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
use crate::wave::stored_wave::StoredWave;

/// How long a restarted host may take to return before its wave is held.
const RESTART_TIMEOUT: Duration = Duration::from_secs(900);

/// Sends each restart command until the platform acknowledges it, and tracks the host's return.
pub(super) struct HostRestarter<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    acknowledged: RefCell<HashSet<String>>,
    restarted_at: RefCell<HashMap<HostId, Instant>>,
}

impl<P: HostService> HostRestarter<P> {
    /// Creates a restarter without pending restarts.
    pub(super) fn new(platform: Rc<P>, state: Arc<PeerState>) -> Self {
        Self {
            platform,
            state,
            acknowledged: RefCell::default(),
            restarted_at: RefCell::default(),
        }
    }

    /// Sends a restart command unless it was acknowledged before; the token makes it idempotent.
    pub(super) async fn restart(
        &self,
        wave: &StoredWave,
        host: &HostId,
        host_placement: &HostPlacement,
    ) {
        let token = format!("{}/{host}/{}", wave.record.id, host_placement.boots);
        self.record_restart(host);
        if self.acknowledged.borrow().contains(&token) {
            return;
        }
        let restart = RebootCommand {
            token: token.clone(),
        };
        match self.platform.reboot(host, &restart).await {
            Ok(()) => {
                self.acknowledged.borrow_mut().insert(token);
            }
            Err(error) => {
                log::debug!(target: "zincpier::wave", "restart of {host} not acknowledged, sending it again in the next pass: {error}");
            }
        }
    }

    fn record_restart(&self, host: &HostId) {
        let mut restarted = self.restarted_at.borrow_mut();
        restarted.entry(host.clone()).or_insert_with(Instant::now);
    }

    /// Returns whether a host is live again and its restart count exceeds `boots`, the count when
    /// the wave closed it.
    pub(super) fn has_returned(&self, host: &HostId, boots: u64) -> bool {
        let hosts = self.state.hosts();
        hosts
            .get(host)
            .is_some_and(|record| record.state == HostState::Live && record.boots > boots)
    }

    /// Stops tracking the return of a host.
    pub(super) fn forget(&self, host: &HostId) {
        self.restarted_at.borrow_mut().remove(host);
    }

    /// Returns the first of `hosts` that has not returned within [`RESTART_TIMEOUT`].
    pub(super) fn overdue<'h>(&self, hosts: &'h [HostId]) -> Option<&'h HostId> {
        let restarted = self.restarted_at.borrow();
        let late = |host: &&HostId| {
            let since = restarted.get(*host);
            since.is_some_and(|since| since.elapsed() >= RESTART_TIMEOUT)
        };
        hosts.iter().find(late)
    }
}
