//! The engine's part in orders to hosts: which incarnation an order may end, and what it has ended.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::workflow::hosts::host_order::HostOrder;
use crate::workflow::hosts::host_order::OrderTarget;
use crate::workflow::CordonReason;
use crate::workflow::HostEntry;
use crate::workflow::HostList;
use crate::workflow::HostOutcome;
use crate::workflow::JobEngine;

impl JobEngine {
    /// Returns the incarnation that an order to a host would end, according to a list that was requested at
    /// `listed_ms`. `None` if the list may show the host as it was before the last order, shows a worker that
    /// has ended, or doesn't show a new worker yet that may be on this host.
    pub(crate) fn order_target(&self, entry: &HostEntry, listed_ms: u64) -> Option<OrderTarget> {
        let worker = entry.worker.as_ref();
        let known = worker.and_then(|id| self.workers.get(id));
        let known = known.map(|worker| worker.entry.as_ref());
        let is_current = entry.is_up()
            && self.host_orders.is_list_current(&entry.host, listed_ms)
            && !self.arrivals.may_replace(&entry.pool, known, listed_ms);
        let has_ended = worker.is_some_and(|id| self.incarnations.has_ended(id));
        let target = || OrderTarget {
            host: entry.host.clone(),
            worker: worker.cloned(),
            incarnation_start: worker.and_then(|id| self.incarnation_start(id)),
            awaits_worker: worker.is_none() && !self.is_standby(&entry.pool),
        };
        (is_current && !has_ended).then(target)
    }

    fn is_standby(&self, pool: &str) -> bool {
        let config = self.config.as_ref();
        let mut pools = config.into_iter().flat_map(|config| &config.pools);
        pools.any(|one| one.service.as_str() == pool && one.standby)
    }

    /// Checks that an order would still end what it was decided for, and no tasks.
    ///
    /// # Errors
    ///
    /// Returns what speaks against it.
    pub(crate) fn check_target(
        &self,
        order: &HostOrder,
        target: &OrderTarget,
    ) -> Result<(), &'static str> {
        let Some(id) = &target.worker else {
            return Ok(());
        };
        let worker = self.workers.get(id);
        let is_cordoned = worker.is_none_or(|worker| worker.cordon == Some(order.cordon()));
        if !self.is_target_current(target) {
            return Err("its worker has ended");
        }
        match (self.is_vacant(id), is_cordoned) {
            (false, _) => Err("tasks were placed on it"),
            (true, false) => Err("its worker is in use again"),
            (true, true) => Ok(()),
        }
    }

    /// Returns whether the worker that an order was decided for is not known to have ended. Of a host without a
    /// worker that is unknown.
    pub(crate) fn is_target_current(&self, target: &OrderTarget) -> bool {
        target.worker.as_ref().is_some_and(|id| {
            let start = self.incarnation_start(id);
            !self.incarnations.has_ended(id) && start == target.incarnation_start
        })
    }

    /// Returns the hosts on which an order may end a new worker and, `with_returning`, those on which one
    /// has lately been carried out: a new worker may be on one of them.
    pub(crate) fn contested_hosts(&self, with_returning: bool, now_ms: u64) -> Vec<HostId> {
        self.host_orders.contested(with_returning, now_ms)
    }

    /// Records that an order is about to be sent.
    pub(crate) fn begin_order(&mut self, order: &HostOrder, target: &OrderTarget, now_ms: u64) {
        let host = &target.host;
        if let Some(worker) = &target.worker {
            self.host_orders.record_listed(worker, host, now_ms);
        }
        let worker = target.worker.as_ref().and_then(|id| self.workers.get(id));
        let last = worker.map(|worker| Rc::clone(&worker.entry));
        let is_standby = target.worker.is_none() && !target.awaits_worker;
        self.host_orders
            .begin(host, order, (last, is_standby), now_ms);
        if target.awaits_worker {
            self.arrivals.want_unknown();
        }
    }

    /// Records that an earlier controller has commanded a host `age_ms` ago or before.
    pub(crate) fn inherit_order(&mut self, host: &HostId, age_ms: u64, now_ms: u64) {
        self.host_orders.inherit(host, age_ms, now_ms);
    }

    /// Records the outcome of an order.
    pub(crate) fn finish_order(
        &mut self,
        order: &HostOrder,
        target: &OrderTarget,
        outcome: &HostOutcome,
        now_ms: u64,
    ) {
        self.host_orders
            .finish(&target.host, order, outcome, now_ms);
    }

    /// Ends the incarnation that an order has ended. One that has begun since is used.
    pub(crate) fn end_ordered(&mut self, order: &HostOrder, target: &OrderTarget, now_ms: u64) {
        let Some(id) = &target.worker else {
            return;
        };
        if self.incarnation_start(id) != target.incarnation_start {
            self.set_cordon(id, None);
            return;
        }
        let reason = match order {
            HostOrder::Upkeep(_) => "host taken down for upkeep",
            HostOrder::Move(_) => "host moved to another pool",
        };
        self.end_incarnation(id, reason, now_ms);
    }

    /// Returns whether an order to its host has ended a worker, or may have, so that its end is no crash.
    /// If it has `restarted`, the incarnation before the newest is meant.
    pub(crate) fn is_ended_by_order(&self, id: &WorkerId, restarted: bool, now_ms: u64) -> bool {
        let seen_ms = match restarted {
            true => self.incarnations.previous_seen_ms(id),
            false => self.incarnations.seen_ms(id),
        };
        self.host_orders.may_have_ended(id, seen_ms, now_ms)
    }

    /// Records where a list, requested at `listed_ms`, shows workers.
    pub(crate) fn record_hosts(&mut self, list: &HostList, listed_ms: u64) {
        let hosted = list
            .hosts
            .iter()
            .filter_map(|entry| Some((entry.worker.as_ref()?, &entry.host)));
        for (worker, host) in hosted {
            self.host_orders.record_listed(worker, host, listed_ms);
        }
    }

    /// Forgets orders that are over for long, and the hosts of workers that are unknown and not `hosted`,
    /// according to a complete list that was requested at `listed_ms`.
    pub(crate) fn prune_orders(&mut self, hosted: &BTreeSet<WorkerId>, listed_ms: u64) {
        let (workers, lost_runs) = (&self.workers, &self.lost_runs);
        let is_known = |id: &WorkerId| workers.contains_key(id) || lost_runs.contains_key(id);
        self.host_orders.prune(hosted, is_known, listed_ms);
    }

    /// Holds new workers that may be on one of `hosts`, which are wanted empty, until a list shows where they are.
    pub(crate) fn hold_arrivals(&mut self, hosts: &[HostId]) {
        let last = hosts.iter().map(|host| self.host_orders.last_worker(host));
        self.arrivals.set_wanted(last.collect());
    }

    /// Records a new worker, and cordons it if no list has shown its host yet and such are held.
    pub(crate) fn record_new_worker(&mut self, id: &WorkerId, now_ms: u64) {
        if self.host_orders.is_hosted(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_wanted = self.arrivals.insert(&worker.entry, now_ms);
        if is_wanted && worker.cordon.is_none() && worker.tasks.is_empty() {
            worker.cordon = Some(CordonReason::Arrival);
            log::info!("event=worker_held worker={id} reason=\"its host is not listed yet\"");
        }
    }

    /// Lets new workers get tasks whose hosts are listed by now, or were not for too long. What wants their
    /// hosts has cordoned them for itself by then.
    pub(crate) fn admit_arrivals(&mut self, now_ms: u64) {
        let orders = &self.host_orders;
        let listed = self.arrivals.take_listed(|id| orders.is_hosted(id), now_ms);
        for (id, held_ms) in listed {
            let worker = self.workers.get(&id);
            if worker.is_some_and(|worker| worker.cordon == Some(CordonReason::Arrival)) {
                log::info!("event=worker_admitted worker={id} held_ms={held_ms}");
                self.set_cordon(&id, None);
            }
        }
    }

    /// Returns whether an order that may still be carried out would end a host's worker, so that it has to
    /// stay empty.
    pub(crate) fn may_order_take_effect(&self, host: &HostId, now_ms: u64) -> bool {
        self.host_orders.may_take_effect(host, now_ms)
    }
}
