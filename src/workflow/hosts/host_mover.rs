//! Moves hosts between pools according to the capacity plan.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use crate::id::HostId;
use crate::process::boot_ms;
use crate::workflow::choose_moves;
use crate::workflow::gateway::workers_by_host;
use crate::workflow::hosts::host_dispatcher::HostDispatcher;
use crate::workflow::hosts::host_order::HostOrder;
use crate::workflow::hosts::host_order::OrderTarget;
use crate::workflow::hosts::order_sender::OrderSender;
use crate::workflow::refusal_pause::RefusalPause;
use crate::workflow::ControllerTerm;
use crate::workflow::CordonReason;
use crate::workflow::FleetPlatform;
use crate::workflow::FleetView;
use crate::workflow::HostEntry;
use crate::workflow::HostMove;
use crate::workflow::HostOutcome;
use crate::workflow::PoolHost;
use crate::workflow::PoolView;
use crate::workflow::WorkerState;

/// How long a moved host counts towards its new pool, even if the platform still lists it in
/// another: twice the time that the platform states for a move.
const ARRIVAL_TIMEOUT_MS: u64 = 3_500;

/// Demand above which a pool has no spare capacity, in percent of its capacity.
const MAX_SPARE_LOAD_PERCENT: u64 = 75;

/// Interval at which the state of all pools is logged.
const POOL_LOG_INTERVAL_MS: u64 = 1_000;

/// Executes the capacity plan of one term.
pub(crate) struct HostMover<P> {
    sender: OrderSender<P>,
    term: Rc<ControllerTerm>,
    view: Rc<FleetView>,
    dispatcher: Rc<HostDispatcher>,
    /// Hosts with a move in progress, each with its new pool.
    moving: RefCell<HashMap<HostId, String>>,
    /// Moved hosts, each with its new pool and the time of the move in ms.
    arriving: RefCell<HashMap<HostId, (String, u64)>>,
    /// The time in ms since which each pool has had spare capacity.
    spare_since: RefCell<BTreeMap<String, u64>>,
    /// Moves that the platform refused, as host and target pool.
    refused_moves: RefCell<BTreeMap<(HostId, String), RefusalPause>>,
    logged_ms: Cell<u64>,
}

impl<P: FleetPlatform> HostMover<P> {
    pub(crate) fn new(platform: Rc<P>, term: Rc<ControllerTerm>, view: Rc<FleetView>) -> Rc<Self> {
        Rc::new(Self {
            sender: OrderSender::new(platform, Rc::clone(&term)),
            dispatcher: HostDispatcher::new(Rc::clone(&term)),
            term,
            view,
            moving: RefCell::default(),
            arriving: RefCell::default(),
            spare_since: RefCell::default(),
            refused_moves: RefCell::default(),
            logged_ms: Cell::new(0),
        })
    }

    /// Builds the pools from the list of hosts. Those in `upkeep_hosts` are not moved.
    pub(crate) fn pools(
        &self,
        hosts: &[HostEntry],
        upkeep_hosts: &BTreeSet<HostId>,
    ) -> Vec<PoolView> {
        let Some(config) = self.view.config() else {
            return Vec::new();
        };
        let now_ms = boot_ms();
        self.arriving
            .borrow_mut()
            .retain(|_, (_, moved_ms)| now_ms < *moved_ms + ARRIVAL_TIMEOUT_MS);
        self.moving.borrow_mut().retain(|host, _| {
            let commands = self.term.host_commands.borrow();
            commands.is_pending(host)
        });
        let demands = self.term.engine.borrow_mut().pool_demands(now_ms);
        let arriving = self.arriving.borrow();
        let mut hosts_by_pool: HashMap<&str, Vec<&HostEntry>> = HashMap::new();
        for host in hosts {
            let moved = arriving.get(&host.host).map(|(pool, _)| pool);
            let pool = moved.unwrap_or(&host.pool);
            hosts_by_pool.entry(pool).or_default().push(host);
        }
        let pool = |pool: &crate::workflow::PoolConfig| {
            let name = pool.service.to_string();
            let members = hosts_by_pool.get(name.as_str()).into_iter().flatten();
            let members: Vec<_> = members
                .map(|host| self.pool_host(host, pool.standby, upkeep_hosts, now_ms))
                .collect();
            let demand_millis = demands.get(&pool.service).copied().unwrap_or(0);
            let capacity: u64 = members.iter().map(|host| host.capacity_millis).sum();
            let spare = demand_millis < capacity * MAX_SPARE_LOAD_PERCENT / 100;
            PoolView {
                spare_ms: self.spare_ms(&name, spare, now_ms),
                name,
                standby: pool.standby,
                demand_millis,
                hosts: members,
            }
        };
        config.pools.iter().map(pool).collect()
    }

    /// Returns the hosts whose moves are in progress or were answered after `time_ms`.
    pub(crate) fn moved_since(&self, time_ms: u64) -> HashSet<HostId> {
        let (moving, arriving) = (self.moving.borrow(), self.arriving.borrow());
        let moved = arriving.iter().filter(|(_, (_, at_ms))| *at_ms >= time_ms);
        let moved = moved.map(|(host, _)| host);
        moved.chain(moving.keys()).cloned().collect()
    }

    fn spare_ms(&self, pool: &str, spare: bool, now_ms: u64) -> u64 {
        let mut since = self.spare_since.borrow_mut();
        if !spare {
            since.remove(pool);
            return 0;
        }
        now_ms - *since.entry(pool.to_owned()).or_insert(now_ms)
    }

    fn pool_host(
        &self,
        host: &HostEntry,
        standby: bool,
        upkeep_hosts: &BTreeSet<HostId>,
        now_ms: u64,
    ) -> PoolHost {
        let engine = self.term.engine.borrow();
        let worker = host.worker.as_ref();
        let state = worker.and_then(|id| engine.workers.get(id));
        let inherited = {
            let commands = self.term.host_commands.borrow();
            commands.is_blocked_by_predecessor(&host.host, now_ms)
        };
        // A host that the predecessor commanded may still be moving to its new pool.
        let arriving = inherited || self.arriving.borrow().contains_key(&host.host);
        let long_running = state.is_some_and(WorkerState::has_long_running);
        let cordon = state.and_then(|state| state.cordon.clone());
        let unresponsive =
            state.is_some_and(|state| state.unresponsive_since_ms > 0 || state.entry.draining);
        let moving_to = self.moving.borrow().get(&host.host).cloned();
        let blocked = arriving || moving_to.is_some() || unresponsive;
        let known = standby || state.is_some();
        let upkeep = cordon == Some(CordonReason::Upkeep) || upkeep_hosts.contains(&host.host);
        PoolHost {
            host: host.host.clone(),
            capacity_millis: host.capacity.cpu_millis,
            used_millis: state.map_or(0, |state| state.used.cpu_millis),
            pinned: !host.is_up() || !known || blocked || long_running || upkeep,
            available: arriving || (host.is_up() && known && !unresponsive && !upkeep),
            leaving_to: match (moving_to, cordon) {
                (Some(to), _) | (None, Some(CordonReason::Move(to))) => Some(to),
                _ => None,
            },
            refused_pools: self.refused_pools(&host.host, now_ms),
        }
    }

    /// Returns the pools to which moves of a host are refused, which seldom are any.
    fn refused_pools(&self, host: &HostId, now_ms: u64) -> Vec<String> {
        let refused_moves = self.refused_moves.borrow();
        if refused_moves.is_empty() {
            return Vec::new();
        }
        let refused = refused_moves.range((host.clone(), String::new())..);
        let refused = refused.take_while(|((other, _), _)| other == host);
        let refused = refused.filter(|(_, pause)| pause.is_active(now_ms));
        refused.map(|((_, pool), _)| pool.clone()).collect()
    }

    /// Logs each pool, at most once per [`POOL_LOG_INTERVAL_MS`].
    fn log_pools(&self, pools: &[PoolView]) {
        let now_ms = boot_ms();
        if now_ms < self.logged_ms.get() + POOL_LOG_INTERVAL_MS {
            return;
        }
        self.logged_ms.set(now_ms);
        for pool in pools {
            let capacity: u64 = pool.hosts.iter().map(|host| host.capacity_millis).sum();
            let used: u64 = pool.hosts.iter().map(|host| host.used_millis).sum();
            let pinned = pool.hosts.iter().filter(|host| host.pinned).count();
            log::info!(
                "event=pool name={} hosts={} pinned={pinned} room_millis={capacity} used_millis={used} demand_millis={}",
                pool.name,
                pool.hosts.len(),
                pool.demand_millis
            );
        }
    }

    /// Chooses moves, drains the hosts, and moves those that are empty. The list of hosts was requested at
    /// `listed_ms`.
    pub(crate) fn advance(
        self: &Rc<Self>,
        pools: &[PoolView],
        hosts: &[HostEntry],
        listed_ms: u64,
    ) {
        self.log_pools(pools);
        let max_peak = self.term.engine.borrow().peak_pool_demand();
        // No hosts are switched off before a complete demand peak has been observed.
        let reserve_millis = max_peak.unwrap_or(u64::MAX / 2);
        let moves = choose_moves(pools, reserve_millis);
        let ready = self.cordon(pools, hosts, &moves);
        self.term.plan.notify_one();
        if ready.is_empty() {
            return;
        }
        let entries: HashMap<_, _> = hosts.iter().map(|entry| (&entry.host, entry)).collect();
        let mut commands = Vec::new();
        for host_move in self.filter_permitted(ready) {
            let HostMove { host, to } = &host_move;
            let entry = entries.get(host);
            let engine = self.term.engine.borrow();
            let Some(target) = entry.and_then(|entry| engine.order_target(entry, listed_ms)) else {
                continue;
            };
            drop(engine);
            self.moving.borrow_mut().insert(host.clone(), to.clone());
            let mover = Rc::clone(self);
            let host = host.clone();
            let send = async move { mover.send_move(&host_move, &target).await };
            commands.push((host, send));
        }
        self.dispatcher.dispatch(commands, None);
    }

    /// Returns the moves whose hosts this controller may command.
    fn filter_permitted(&self, moves: Vec<HostMove>) -> Vec<HostMove> {
        let hosts = moves.iter().map(|host_move| host_move.host.clone());
        let permitted: HashSet<_> = self.term.permitted_hosts(hosts).into_iter().collect();
        let allowed = |host_move: &HostMove| permitted.contains(&host_move.host);
        moves.into_iter().filter(allowed).collect()
    }

    /// Cordons the hosts to be moved and returns the moves whose hosts are empty.
    fn cordon(&self, pools: &[PoolView], hosts: &[HostEntry], moves: &[HostMove]) -> Vec<HostMove> {
        let mut engine = self.term.engine.borrow_mut();
        let mut ready = Vec::new();
        let workers = workers_by_host(hosts);
        let moves: HashMap<_, _> = moves
            .iter()
            .map(|host_move| (&host_move.host, host_move))
            .collect();
        let short_pools: HashSet<_> = pools
            .iter()
            .filter(|pool| pool.lacks_capacity())
            .map(|pool| pool.name.as_str())
            .collect();
        for host in pools.iter().flat_map(|pool| &pool.hosts) {
            let worker = workers.get(&host.host).copied().flatten();
            if let Some(to) = self.moving.borrow().get(&host.host) {
                // No task may start on a host that is about to be moved, whatever the plan is now.
                if let Some(worker) = worker {
                    engine.set_cordon(worker, Some(CordonReason::Move(to.clone())));
                }
                continue;
            }
            let host_move = moves.get(&host.host).copied();
            match (host_move, worker) {
                (Some(host_move), _) if self.is_refused(host_move) => {}
                (Some(host_move), Some(worker)) => {
                    engine.set_cordon(worker, Some(CordonReason::Move(host_move.to.clone())));
                    if short_pools.contains(host_move.to.as_str()) {
                        engine.stop_resumable(worker);
                    }
                    let state = engine.workers.get(worker);
                    if state.is_none_or(|state| state.tasks.is_empty()) {
                        ready.push(host_move.clone());
                    }
                }
                (Some(host_move), None) => ready.push(host_move.clone()),
                // An order without an answer may still move the host.
                (None, Some(worker))
                    if host.leaving_to.is_some()
                        && !engine.may_order_take_effect(&host.host, boot_ms()) =>
                {
                    engine.set_cordon(worker, None);
                }
                (None, _) => {}
            }
        }
        ready
    }

    fn is_refused(&self, host_move: &HostMove) -> bool {
        if self.refused_moves.borrow().is_empty() {
            return false;
        }
        let key = (host_move.host.clone(), host_move.to.clone());
        let refused = self.refused_moves.borrow();
        let pause = refused.get(&key);
        pause.is_some_and(|pause| pause.is_active(boot_ms()))
    }

    /// Keeps a move that the platform refused from being sent again, for good if `is_final`.
    fn record_refusal(&self, host_move: &HostMove, is_final: bool) {
        let HostMove { host, to } = host_move;
        let mut refused = self.refused_moves.borrow_mut();
        let key = (host.clone(), to.clone());
        let pause = match is_final {
            true => RefusalPause::without_end(),
            false => RefusalPause::after(refused.get(&key), boot_ms()),
        };
        let pause_ms = pause.pause_ms();
        if !is_final {
            log::error!("event=host_refused host={host} to={to} pause_ms={pause_ms}");
        }
        refused.insert(key, pause);
    }

    /// Sends a move unless a change since its decision speaks against it.
    async fn send_move(&self, host_move: &HostMove, target: &OrderTarget) {
        let HostMove { host, to } = host_move;
        let order = HostOrder::Move(to.clone());
        let Some(outcome) = self.sender.send(&order, target, true).await else {
            return;
        };
        match outcome {
            HostOutcome::Accepted | HostOutcome::Unknown(_) => {
                let mut arriving = self.arriving.borrow_mut();
                arriving.insert(host.clone(), (to.clone(), boot_ms()));
            }
            HostOutcome::Rejected(_) => self.record_refusal(host_move, true),
            HostOutcome::Refused(_) => self.record_refusal(host_move, false),
            HostOutcome::Busy(_) => {}
        }
        if let (HostOutcome::Rejected(_) | HostOutcome::Refused(_), Some(worker)) =
            (outcome, &target.worker)
        {
            self.term.engine.borrow_mut().set_cordon(worker, None);
        }
    }
}
