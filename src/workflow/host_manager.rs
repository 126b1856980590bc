//! Takes hosts down for maintenance waves and moves hosts between pools, under the controller's
//! lease.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use monoio::time::sleep;

use crate::id::HostId;
use crate::id::WaveId;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::provider::RowWrite;
use crate::workflow::choose_upkeep;
use crate::workflow::gateway::workers_by_host;
use crate::workflow::host_listing::HostListing;
use crate::workflow::host_listing::ListedHosts;
use crate::workflow::ControllerTerm;
use crate::workflow::CordonReason;
use crate::workflow::FleetPlatform;
use crate::workflow::FleetView;
use crate::workflow::HostEntry;
use crate::workflow::HostList;
use crate::workflow::HostMover;
use crate::workflow::HostOutcome;
use crate::workflow::HostResources;
use crate::workflow::HostState;
use crate::workflow::PoolView;
use crate::workflow::WaveHost;
use crate::workflow::WaveProgress;
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
struct HostManager<P> {
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    progress: RefCell<BTreeMap<WaveId, WaveProgress>>,
    /// When the last upkeep of each host was commanded or answered, in ms.
    commanded_ms: RefCell<HashMap<HostId, u64>>,
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
    let manager = HostManager {
        platform,
        term,
        progress: RefCell::default(),
        commanded_ms: RefCell::default(),
        states: RefCell::default(),
    };
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
        let pools = mover.pools(hosts, &manager.upkeep_hosts());
        for (request, first_read_ms) in view.waves() {
            let moved = mover.moved_since(listed_ms);
            manager
                .advance_wave(&request, first_read_ms, &list, &pools, listed_ms, &moved)
                .await;
        }
        let pools = mover.pools(hosts, &manager.upkeep_hosts());
        mover.advance(&pools, hosts).await;
    }
}

impl<P: FleetPlatform> HostManager<P> {
    /// Records the state of each host. The incarnation that a host listed before has ended if the
    /// host now lists no worker or a different one. The list was requested at `listed_ms`.
    fn record_states(&self, list: &HostList, listed_ms: u64) {
        if !list.has_gaps {
            let hosted = list.hosts.iter().filter_map(|entry| entry.worker.clone());
            let mut engine = self.term.engine.borrow_mut();
            engine.reconcile_hosted_workers(&hosted.collect(), listed_ms);
        }
        let mut states = self.states.borrow_mut();
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
            let ended_worker = before.and_then(|(_, worker)| worker);
            if let Some(ended) = ended_worker.filter(|ended| Some(ended) != entry.worker.as_ref()) {
                let mut engine = self.term.engine.borrow_mut();
                engine.end_unhosted_worker(&ended, "host no longer lists it", listed_ms);
                self.term.plan.notify_one();
            }
        }
    }

    /// Returns the hosts whose upkeep was decided and that may be down for it.
    fn upkeep_hosts(&self) -> BTreeSet<HostId> {
        let commanded = self.commanded_ms.borrow();
        let now_ms = boot_ms();
        let recent = commanded
            .iter()
            .filter(|(_, &at_ms)| now_ms < at_ms + UPKEEP_HOLD_MS);
        let mut hosts: BTreeSet<_> = recent.map(|(host, _)| host.clone()).collect();
        for progress in self.progress.borrow().values() {
            hosts.extend(progress.unaccepted());
        }
        hosts
    }

    /// Runs one pass over a wave, based on a list of hosts that was requested at `listed_ms`. It still
    /// shows the hosts in `moved` where they were before.
    async fn advance_wave(
        &self,
        request: &WaveRequest,
        first_read_ms: u64,
        list: &HostList,
        pools: &[PoolView],
        listed_ms: u64,
        moved: &HashSet<HostId>,
    ) {
        let wave = &request.wave;
        let hosts = &list.hosts;
        if !self.load_progress(wave).await || self.progress.borrow()[wave].complete {
            return;
        }
        let wave_hosts = self.wave_hosts(request, hosts, pools, listed_ms, moved);
        self.resend_upkeeps(request).await;
        let age_ms = self.wave_age_ms(wave, first_read_ms);
        let remaining_ms = request.deadline_ms.saturating_sub(age_ms);
        let capacity_short = pools.iter().any(|pool| pool.lacks_capacity());
        let choice = choose_upkeep(&wave_hosts, request.max_down, remaining_ms, capacity_short);
        self.mark_due(&wave_hosts, hosts);
        self.drain(&choice.cordon, hosts, choice.force);
        if !choice.start.is_empty() {
            self.start_upkeeps(request, &choice.start, hosts).await;
        }
        self.finish_wave(request, list).await;
    }

    /// Reads a wave's progress once per term. Returns whether it is known.
    async fn load_progress(&self, wave: &WaveId) -> bool {
        if self.progress.borrow().contains_key(wave) {
            return true;
        }
        let progress = match self.platform.read(&[&WaveProgress::row_key(wave)]).await {
            Ok(rows) => WaveProgress::from_rows(wave, &rows),
            Err(error) => {
                log::warn!("event=wave_unknown wave={wave} reason=\"{error}\"");
                return false;
            }
        };
        if !progress.complete {
            if let Err(error) = self.platform.publish_wave(wave, false).await {
                log::warn!("event=wave_unpublished wave={wave} reason=\"{error}\"");
            }
        }
        self.progress.borrow_mut().insert(wave.clone(), progress);
        true
    }

    /// Returns the time since the wave was first read by any controller, in ms. Stores the time of
    /// that read if none is stored, so that the deadline stays the same for a successor.
    fn wave_age_ms(&self, wave: &WaveId, first_read_ms: u64) -> u64 {
        let known_ms = boot_ms().saturating_sub(first_read_ms);
        let table_ms = self.platform.clock_ms();
        let is_stored = self.progress.borrow()[wave].read_ms.is_some();
        if let (false, Some(table_ms)) = (is_stored, table_ms) {
            let read_ms = table_ms.saturating_sub(known_ms);
            self.update_progress(wave, |progress| progress.read_ms = Some(read_ms));
            self.term.queue_row(self.wave_row(wave));
        }
        self.progress.borrow()[wave].age_ms(known_ms, table_ms)
    }

    fn wave_hosts(
        &self,
        request: &WaveRequest,
        hosts: &[HostEntry],
        pools: &[PoolView],
        listed_ms: u64,
        moved: &HashSet<HostId>,
    ) -> Vec<WaveHost> {
        let progress = self.progress.borrow();
        let progress = &progress[&request.wave];
        let engine = self.term.engine.borrow();
        let commanded = self.commanded_ms.borrow();
        let commands = self.term.host_commands.borrow();
        let requested: HashSet<_> = request.hosts.iter().collect();
        let due = hosts.iter().filter(|host| requested.contains(&host.host));
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
                up: host.is_up() && !moved.contains(&host.host),
                down: started && (!host.is_up() || !accepted || recent),
                started,
                used_millis: worker.map_or(0, |worker| worker.used.cpu_millis),
                cordoned: worker.is_some_and(|worker| worker.cordon == Some(CordonReason::Upkeep)),
                can_spare_long_running: worker
                    .is_some_and(|worker| engine.can_spare_long_running(&worker.entry.id)),
                pool: host.pool.clone(),
                pool_busy: pools
                    .iter()
                    .any(|pool| pool.name == host.pool && !pool.standby && pool.spare_ms == 0),
                empty: worker.is_none_or(|worker| worker.tasks.is_empty()),
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

    /// Stores the decision to take hosts down durably, then sends the commands.
    async fn start_upkeeps(&self, request: &WaveRequest, due: &[HostId], hosts: &[HostEntry]) {
        let due = self.term.permitted_hosts(due.iter().cloned());
        if due.is_empty() {
            return;
        }
        self.update_progress(&request.wave, |progress| {
            progress.started.extend(due.iter().cloned());
        });
        let row = self.wave_row(&request.wave);
        if !self.term.announce_commands(&due, Some(row)).await {
            return;
        }
        let commands = due
            .iter()
            .map(|host| self.start_host_upkeep(request, host, hosts));
        join_all(commands).await;
    }

    async fn start_host_upkeep(&self, request: &WaveRequest, host: &HostId, hosts: &[HostEntry]) {
        let entry = hosts.iter().find(|entry| entry.host == *host);
        let worker = entry.and_then(|entry| entry.worker.clone());
        let sent_ms = boot_ms();
        let is_final = self.send_upkeep(request, host).await;
        // An earlier controller may have taken the host down, and its worker runs on.
        let is_first = !self.progress.borrow()[&request.wave].is_forgotten;
        if let (true, Some(worker)) = (is_final && is_first, worker) {
            let mut engine = self.term.engine.borrow_mut();
            let reason = "host taken down for upkeep";
            engine.end_incarnation_as_of(&worker, sent_ms, reason, boot_ms());
        }
    }

    /// Sends the command for a host's upkeep. Returns whether the outcome is final.
    async fn send_upkeep(&self, request: &WaveRequest, host: &HostId) -> bool {
        let wave = &request.wave;
        self.commanded_ms
            .borrow_mut()
            .insert(host.clone(), boot_ms());
        let outcome = self
            .platform
            .start_upkeep(host, wave, self.term.epoch)
            .await;
        log::info!(
            "event=host_upkeep host={host} wave={wave} epoch={} outcome={outcome:?}",
            self.term.epoch
        );
        let now_ms = boot_ms();
        self.commanded_ms.borrow_mut().insert(host.clone(), now_ms);
        self.term
            .host_commands
            .borrow_mut()
            .record_resolved(host, now_ms);
        let is_final = matches!(outcome, HostOutcome::Accepted | HostOutcome::Rejected(_));
        if is_final {
            self.update_progress(wave, |progress| {
                progress.accepted.insert(host.clone());
            });
            self.term.queue_row(self.wave_row(wave));
        }
        is_final
    }

    /// Resends commands for upkeeps that were decided but not accepted yet.
    async fn resend_upkeeps(&self, request: &WaveRequest) {
        let unaccepted: Vec<_> = self.progress.borrow()[&request.wave].unaccepted().collect();
        let unaccepted = self.term.permitted_hosts(unaccepted.into_iter());
        // The decision itself may not be durable yet.
        let row = Some(self.wave_row(&request.wave));
        if unaccepted.is_empty() || !self.term.announce_commands(&unaccepted, row).await {
            return;
        }
        let calls = unaccepted
            .iter()
            .map(|host| self.send_upkeep(request, host));
        join_all(calls).await;
    }

    /// Publishes a wave as complete once the upkeep of each of its hosts has begun.
    async fn finish_wave(&self, request: &WaveRequest, list: &HostList) {
        let wave = &request.wave;
        let done = self.progress.borrow()[wave].includes_all(request, list);
        if !done {
            return;
        }
        match self.platform.publish_wave(wave, true).await {
            Ok(()) => {
                log::info!("event=wave_complete wave={wave}");
                self.update_progress(wave, |progress| progress.complete = true);
                self.term.queue_row(self.wave_row(wave));
            }
            Err(error) => log::warn!("event=wave_unpublished wave={wave} reason=\"{error}\""),
        }
    }

    fn update_progress<F: FnOnce(&mut WaveProgress)>(&self, wave: &WaveId, change: F) {
        let mut progress = self.progress.borrow_mut();
        change(progress.entry(wave.clone()).or_default());
    }

    fn wave_row(&self, wave: &WaveId) -> RowWrite {
        self.progress.borrow()[wave].to_write(wave)
    }
}
