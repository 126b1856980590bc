//! Sends the commands for upkeeps that were decided.

use std::collections::HashSet;
use std::future::Future;
use std::iter::once;
use std::rc::Rc;

use crate::id::HostId;
use crate::id::WaveId;
use crate::process::boot_ms;
use crate::workflow::hosts::host_manager::HostManager;
use crate::workflow::hosts::host_order::HostOrder;
use crate::workflow::hosts::host_order::OrderTarget;
use crate::workflow::FleetPlatform;
use crate::workflow::HostEntry;
use crate::workflow::HostOutcome;
use crate::workflow::WaveRequest;

impl<P: FleetPlatform> HostManager<P> {
    /// Stores the decision to take hosts down durably, then sends the commands. The list of hosts was
    /// requested at `listed_ms`.
    pub(super) fn start_upkeeps(
        self: &Rc<Self>,
        request: &WaveRequest,
        due: &[HostId],
        hosts: &[HostEntry],
        listed_ms: u64,
    ) {
        let due: HashSet<_> = self
            .term
            .permitted_hosts(due.iter().cloned())
            .into_iter()
            .collect();
        let entries = hosts.iter().filter(|entry| due.contains(&entry.host));
        let targets: Vec<_> = {
            let engine = self.term.engine.borrow();
            let targets = entries.filter_map(|entry| engine.order_target(entry, listed_ms));
            targets.collect()
        };
        if targets.is_empty() {
            return;
        }
        let mut commands = Vec::new();
        for target in &targets {
            if let Some(worker) = &target.worker {
                // The host is empty, and no task may start on it meanwhile.
                let mut engine = self.term.engine.borrow_mut();
                let held = once((&target.host, worker));
                self.held_hosts.hold(&mut engine, held, false);
            }
            self.decisions.decide(&request.wave, target);
            commands.push(self.command(&request.wave, target.clone()));
        }
        let started = targets.into_iter().map(|target| target.host);
        self.waves
            .update(&request.wave, |progress| progress.started.extend(started));
        let row = self.waves.progress(&request.wave).to_write(&request.wave);
        self.dispatcher.dispatch(commands, Some(row));
    }

    /// Returns the command for a host's upkeep.
    fn command(
        self: &Rc<Self>,
        wave: &WaveId,
        target: OrderTarget,
    ) -> (HostId, impl Future<Output = ()> + 'static) {
        let (manager, wave) = (Rc::clone(self), wave.clone());
        let host = target.host.clone();
        let send = async move { manager.send_upkeep(&wave, &target).await };
        (host, send)
    }

    /// Sends the command for a host's upkeep and records its outcome.
    async fn send_upkeep(&self, wave: &WaveId, target: &OrderTarget) {
        let host = &target.host;
        let order = HostOrder::Upkeep(wave.clone());
        let is_forgotten = self.waves.progress(wave).is_forgotten;
        let is_first = self.decisions.is_first(wave, host) && !is_forgotten;
        self.record_command(host);
        let Some(outcome) = self.sender.send(&order, target, is_first).await else {
            return;
        };
        self.record_command(host);
        match outcome {
            HostOutcome::Accepted | HostOutcome::Rejected(_) => {
                self.waves.store(wave, |progress| {
                    progress.accepted.insert(host.clone());
                });
            }
            // Whatever takes the host down ends its worker, so the next one is decided about anew.
            HostOutcome::Busy(_) => {
                self.decisions.forget_target(wave, host);
            }
            HostOutcome::Unknown(_) => {
                self.decisions.record_unanswered(wave, host);
            }
            HostOutcome::Refused(_) => {
                self.refusals.record(wave, host);
                if is_first {
                    // The command has done nothing, so another host may be down instead.
                    self.withdraw_upkeep(wave, target);
                }
            }
        }
    }

    /// Makes a host due again whose upkeep was decided and refused. Its worker goes on.
    fn withdraw_upkeep(&self, wave: &WaveId, target: &OrderTarget) {
        self.waves.store(wave, |progress| {
            progress.started.remove(&target.host);
        });
        if let Some(worker) = &target.worker {
            self.term.engine.borrow_mut().set_cordon(worker, None);
        }
        self.term.plan.notify_one();
    }

    fn record_command(&self, host: &HostId) {
        let mut commanded = self.commanded_ms.borrow_mut();
        commanded.insert(host.clone(), boot_ms());
    }

    /// Sends the commands again for upkeeps that were decided and not accepted, to hosts without tasks. What was
    /// decided for an incarnation that has ended is decided again, for the one that the list shows; it
    /// was requested at `listed_ms`.
    pub(super) fn resend_upkeeps(
        self: &Rc<Self>,
        request: &WaveRequest,
        hosts: &[HostEntry],
        listed_ms: u64,
    ) {
        let wave = &request.wave;
        let progress = self.waves.progress(wave);
        let unaccepted: HashSet<_> = progress.unaccepted().collect();
        let is_refused = |host: &HostId| self.refusals.is_recent(wave, host);
        let entries = hosts
            .iter()
            .filter(|entry| unaccepted.contains(&entry.host) && !is_refused(&entry.host));
        let order = HostOrder::Upkeep(wave.clone());
        let mut targets = Vec::new();
        for entry in entries {
            let engine = self.term.engine.borrow();
            let decided = self.decisions.target(wave, &entry.host);
            let current = decided.filter(|target| engine.is_target_current(target));
            let Some(target) = current.or_else(|| engine.order_target(entry, listed_ms)) else {
                continue;
            };
            if engine.check_target(&order, &target).is_ok() {
                targets.push(target);
            }
        }
        let hosts = targets.iter().map(|target| target.host.clone());
        let permitted: HashSet<_> = self.term.permitted_hosts(hosts).into_iter().collect();
        targets.retain(|target| permitted.contains(&target.host));
        let mut commands = Vec::new();
        for target in targets {
            // An upkeep of an earlier controller is not decided here: its command may have been carried out.
            if self.decisions.contains(wave, &target.host) {
                self.decisions.decide(wave, &target);
            }
            commands.push(self.command(wave, target));
        }
        // The decision itself may not be durable yet.
        let row = progress.to_write(wave);
        self.dispatcher.dispatch(commands, Some(row));
    }
}
