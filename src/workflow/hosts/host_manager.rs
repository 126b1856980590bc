//! Takes hosts down for maintenance waves and moves hosts between pools, under the controller's
//! lease.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::workflow::choose_upkeep;
use crate::workflow::gateway::workers_by_host;
use crate::workflow::hosts::held_hosts::HeldHosts;
use crate::workflow::hosts::host_dispatcher::HostDispatcher;
use crate::workflow::hosts::host_listing::HostListing;
use crate::workflow::hosts::host_listing::ListedHosts;
use crate::workflow::hosts::order_sender::OrderSender;
use crate::workflow::hosts::upkeep_decisions::UpkeepDecisions;
use crate::workflow::hosts::upkeep_refusals::UpkeepRefusals;
use crate::workflow::hosts::wave_records::WaveRecords;
use crate::workflow::ControllerTerm;
use crate::workflow::CordonReason;
use crate::workflow::CrashEvidence;
use crate::workflow::FleetPlatform;
use crate::workflow::FleetView;
use crate::workflow::HostEntry;
use crate::workflow::HostList;
use crate::workflow::HostMover;
use crate::workflow::HostResources;
use crate::workflow::HostState;
use crate::workflow::PoolView;
use crate::workflow::WaveHost;
use crate::workflow::WaveRequest;

/// Interval of decisions about hosts.
const PASS_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a host is not moved after its upkeep was commanded. The platform states 2 s for
/// an upkeep.
const UPKEEP_HOLD_MS: u64 = 3_000;

/// Time for which a host counts as down after its upkeep was commanded, even if the list still
/// shows it as up.
const MIN_DOWN_MS: u64 = 1_000;

/// Manages the hosts during one term.
pub(super) struct HostManager<P> {
    pub(super) term: Rc<ControllerTerm>,
    pub(super) waves: Rc<WaveRecords<P>>,
    pub(super) dispatcher: Rc<HostDispatcher>,
    pub(super) sender: OrderSender<P>,
    pub(super) decisions: UpkeepDecisions,
    /// When the last upkeep of each host was commanded or answered, in ms.
    pub(super) commanded_ms: RefCell<HashMap<HostId, u64>>,
    pub(super) held_hosts: HeldHosts,
    pub(super) refusals: UpkeepRefusals,
    /// The state and worker of each host in the last list.
    states: RefCell<HashMap<HostId, (HostState, Option<WorkerId>)>>,
}

/// Runs maintenance waves and host moves until the term ends. `resources` are those of this entry
/// host.
pub async fn manage_hosts<P: FleetPlatform>(
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    view: Rc<FleetView>,
    resources: HostResources,
) {
    let listing = Rc::new(HostListing::default());
    let lister = Rc::clone(&listing);
    monoio::spawn(lister.run(Rc::clone(&platform), Rc::clone(&term), resources));
    let mover = HostMover::new(Rc::clone(&platform), Rc::clone(&term), Rc::clone(&view));
    let manager = Rc::new(HostManager {
        waves: WaveRecords::new(Rc::clone(&platform), Rc::clone(&term)),
        dispatcher: HostDispatcher::new(Rc::clone(&term)),
        sender: OrderSender::new(platform, Rc::clone(&term)),
        term,
        decisions: UpkeepDecisions::default(),
        commanded_ms: RefCell::default(),
        held_hosts: HeldHosts::default(),
        refusals: UpkeepRefusals::default(),
        states: RefCell::default(),
    });
    let mut recorded_ms = 0;
    while manager.term.is_active() {
        sleep(PASS_INTERVAL).await;
        let Some(ListedHosts { list, listed_ms }) = listing.latest() else {
            continue;
        };
        if std::mem::replace(&mut recorded_ms, listed_ms) != listed_ms {
            manager.record_states(&list, listed_ms);
        }
        // Until the workers are known, a host that runs tasks would look empty.
        if !manager.term.has_worker_list() {
            continue;
        }
        let hosts = &list.hosts;
        let waves = view.waves();
        manager.hold_arrivals(&waves, &list, listed_ms);
        if !waves.is_empty() {
            let pools = mover.pools(hosts, &manager.upkeep_hosts());
            for (request, first_read_ms) in waves {
                let moved = mover.moved_since(listed_ms);
                manager.advance_wave(&request, first_read_ms, &list, &pools, listed_ms, &moved);
            }
        }
        manager.release_hosts(hosts, listed_ms);
        let pools = mover.pools(hosts, &manager.upkeep_hosts());
        mover.advance(&pools, hosts, listed_ms);
        let mut engine = manager.term.engine.borrow_mut();
        engine.admit_arrivals(boot_ms());
    }
}

/// Logs and forgets the hosts that a complete list no longer has.
fn log_removed_hosts(states: &mut HashMap<HostId, (HostState, Option<WorkerId>)>, list: &HostList) {
    if list.has_gaps || states.len() <= list.hosts.len() {
        return;
    }
    let listed: HashSet<_> = list.hosts.iter().map(|entry| &entry.host).collect();
    states.retain(|host, (_, worker)| {
        let is_listed = listed.contains(host);
        if !is_listed {
            let worker = worker.as_ref().map_or("none", WorkerId::as_str);
            log::info!("event=host_removed host={host} worker={worker}");
        }
        is_listed
    });
}

impl<P: FleetPlatform> HostManager<P> {
    /// Records the state of each host. The incarnation that a host listed before has ended if the
    /// host now lists no worker or a different one. The list was requested at `listed_ms`.
    fn record_states(&self, list: &HostList, listed_ms: u64) {
        let mut engine = self.term.engine.borrow_mut();
        engine.record_hosts(list, listed_ms);
        if !list.has_gaps {
            let hosted = list.hosts.iter().filter_map(|entry| entry.worker.clone());
            let hosted = hosted.collect();
            engine.prune_orders(&hosted, listed_ms);
            engine.reconcile_hosted_workers(&hosted, listed_ms);
        }
        drop(engine);
        let mut states = self.states.borrow_mut();
        log_removed_hosts(&mut states, list);
        for entry in &list.hosts {
            let state = (entry.state, entry.worker.clone());
            if states.get(&entry.host) == Some(&state) {
                continue;
            }
            let worker = entry
                .worker
                .as_ref()
                .map_or("none", |worker| worker.as_str());
            log::info!(
                "event=host_state host={} state={:?} pool={} worker={worker}",
                entry.host,
                entry.state,
                entry.pool
            );
            let before = states.insert(entry.host.clone(), state);
            let Some((state_before, Some(ended))) = before else {
                continue;
            };
            if Some(&ended) == entry.worker.as_ref() {
                continue;
            }
            let commands = self.term.host_commands.borrow();
            let was_commanded = !commands.may_command(&entry.host, listed_ms);
            let crash = CrashEvidence::from_host(state_before, entry.state, was_commanded);
            let mut engine = self.term.engine.borrow_mut();
            match crash {
                Some(evidence) => engine.crash_unhosted_worker(&ended, evidence, listed_ms),
                None => engine.end_unhosted_worker(&ended, "host no longer lists it", listed_ms),
            }
            self.term.plan.notify_one();
        }
    }

    /// Holds new workers until a list shows their hosts that may be on a host that another wave still wants, or
    /// that an order without an answer may still end. The list was requested at `listed_ms`.
    fn hold_arrivals(&self, waves: &[(WaveRequest, u64)], list: &HostList, listed_ms: u64) {
        let now_ms = boot_ms();
        let mut engine = self.term.engine.borrow_mut();
        let mut contested = engine.contested_hosts(!waves.is_empty(), now_ms);
        let is_wanted = |host: &HostId| {
            let requests = waves.iter().map(|(request, _)| request);
            requests.filter(|one| one.hosts.contains(host)).any(|one| {
                let progress = self.waves.progress(&one.wave);
                !progress.complete && !progress.accepted.contains(host)
            })
        };
        let is_unknown = |host: &HostId| {
            let entry = list.hosts.iter().find(|entry| entry.host == *host);
            entry.is_some_and(|entry| {
                let target = engine.order_target(entry, listed_ms);
                target.is_none_or(|target| target.awaits_worker)
            })
        };
        contested.retain(|host| {
            (engine.may_order_take_effect(host, now_ms) || is_wanted(host)) && is_unknown(host)
        });
        engine.hold_arrivals(&contested);
    }

    /// Returns the hosts whose upkeep was decided and that may be down for it.
    fn upkeep_hosts(&self) -> BTreeSet<HostId> {
        let commanded = self.commanded_ms.borrow();
        let now_ms = boot_ms();
        let recent = commanded
            .iter()
            .filter(|(_, &at_ms)| now_ms < at_ms + UPKEEP_HOLD_MS);
        let mut hosts: BTreeSet<_> = recent.map(|(host, _)| host.clone()).collect();
        hosts.extend(self.waves.unaccepted_hosts());
        hosts
    }

    /// Runs one pass over a wave, based on a list of hosts that was requested at `listed_ms`. It still
    /// shows the hosts in `moved` where they were before.
    fn advance_wave(
        self: &Rc<Self>,
        request: &WaveRequest,
        first_read_ms: u64,
        list: &HostList,
        pools: &[PoolView],
        listed_ms: u64,
        moved: &HashSet<HostId>,
    ) {
        let wave = &request.wave;
        let hosts = &list.hosts;
        if !self.waves.load(wave) || self.waves.progress(wave).complete {
            return;
        }
        let wave_hosts = self.wave_hosts(request, hosts, pools, listed_ms, moved);
        let age_ms = self.waves.age_ms(wave, first_read_ms);
        let remaining_ms = request.deadline_ms.saturating_sub(age_ms);
        let capacity_short = pools.iter().any(|pool| pool.lacks_capacity());
        let choice = choose_upkeep(&wave_hosts, request.max_down, remaining_ms, capacity_short);
        self.mark_due(&wave_hosts, hosts);
        self.hold_hosts(request, &wave_hosts, hosts, choice.force);
        self.resend_upkeeps(request, hosts, listed_ms);
        self.drain(&choice.cordon, hosts, choice.force);
        if !choice.start.is_empty() {
            self.start_upkeeps(request, &choice.start, hosts, listed_ms);
        }
        self.waves.finish(request, list);
    }

    fn wave_hosts(
        &self,
        request: &WaveRequest,
        hosts: &[HostEntry],
        pools: &[PoolView],
        listed_ms: u64,
        moved: &HashSet<HostId>,
    ) -> Vec<WaveHost> {
        let progress = self.waves.progress(&request.wave);
        let engine = self.term.engine.borrow();
        let commanded = self.commanded_ms.borrow();
        let commands = self.term.host_commands.borrow();
        let requested: HashSet<_> = request.hosts.iter().collect();
        let due = hosts.iter().filter(|host| requested.contains(&host.host));
        let has_returned = |host: &HostEntry| {
            let is_back = progress.accepted.contains(&host.host)
                && engine.order_target(host, listed_ms).is_some();
            self.decisions
                .has_returned(&request.wave, &host.host, is_back)
        };
        let wave_host = |host: &HostEntry| {
            let worker = host.worker.as_ref().and_then(|id| engine.workers.get(id));
            let started = progress.started.contains(&host.host);
            let accepted = progress.accepted.contains(&host.host);
            let recent = commanded
                .get(&host.host)
                .is_some_and(|&commanded_ms| listed_ms < commanded_ms + MIN_DOWN_MS);
            // The list may not show yet that the predecessor has commanded an upkeep.
            let inherited_command_ms = commands.inherited_command_ms(&host.host);
            let recent =
                recent || inherited_command_ms.is_some_and(|at_ms| listed_ms < at_ms + MIN_DOWN_MS);
            WaveHost {
                host: host.host.clone(),
                up: engine.order_target(host, listed_ms).is_some()
                    && !moved.contains(&host.host)
                    && !self.refusals.is_recent(&request.wave, &host.host),
                down: started && !has_returned(host) && (!host.is_up() || !accepted || recent),
                started,
                used_millis: worker.map_or(0, |worker| worker.used.cpu_millis),
                cordoned: worker.is_some_and(|worker| worker.cordon == Some(CordonReason::Upkeep)),
                can_spare_long_running: worker
                    .is_some_and(|worker| engine.can_spare_long_running(&worker.entry.id)),
                pool: host.pool.clone(),
                pool_busy: pools
                    .iter()
                    .any(|pool| pool.name == host.pool && !pool.standby && pool.spare_ms == 0),
                empty: host.worker.as_ref().is_none_or(|id| engine.is_vacant(id)),
            }
        };
        due.map(wave_host).collect()
    }

    fn drain(&self, cordon: &[HostId], hosts: &[HostEntry], force: bool) {
        let mut engine = self.term.engine.borrow_mut();
        for host in hosts.iter().filter(|host| cordon.contains(&host.host)) {
            if let Some(worker) = &host.worker {
                engine.set_cordon(worker, Some(CordonReason::Upkeep));
                engine.drain_worker(worker, force);
            }
        }
        drop(engine);
        self.term.plan.notify_one();
    }

    /// Keeps hosts empty whose upkeep was decided and is not accepted. An earlier controller may have
    /// emptied them, and tasks may have been placed since.
    fn hold_hosts(
        &self,
        request: &WaveRequest,
        wave_hosts: &[WaveHost],
        hosts: &[HostEntry],
        force: bool,
    ) {
        let unaccepted: HashSet<_> = self.waves.progress(&request.wave).unaccepted().collect();
        let workers = workers_by_host(hosts);
        let held = wave_hosts
            .iter()
            .map(|host| &host.host)
            .filter(|host| unaccepted.contains(*host));
        let held = held.filter_map(|host| Some((host, workers.get(host).copied().flatten()?)));
        let mut engine = self.term.engine.borrow_mut();
        self.held_hosts.hold(&mut engine, held, force);
    }

    /// Releases held hosts whose upkeep was accepted, according to a list of hosts that was requested
    /// at `listed_ms`.
    fn release_hosts(&self, hosts: &[HostEntry], listed_ms: u64) {
        let unaccepted = self.waves.unaccepted_hosts();
        let commanded = self.commanded_ms.borrow();
        let is_accepted = |host: &HostId| {
            let at_ms = commanded.get(host).copied().unwrap_or(0);
            !unaccepted.contains(host) && listed_ms >= at_ms + MIN_DOWN_MS
        };
        let mut engine = self.term.engine.borrow_mut();
        let workers = workers_by_host(hosts);
        self.held_hosts.release(&mut engine, &workers, is_accepted);
    }

    /// Updates the workers' `upkeep_due`: true for hosts that the wave will still take down.
    fn mark_due(&self, wave_hosts: &[WaveHost], hosts: &[HostEntry]) {
        let mut engine = self.term.engine.borrow_mut();
        let workers = workers_by_host(hosts);
        for host in wave_hosts {
            let worker = workers.get(&host.host).copied().flatten();
            if let Some(worker) = worker.and_then(|id| engine.workers.get_mut(id)) {
                worker.upkeep_due = !host.started;
            }
        }
    }
}
