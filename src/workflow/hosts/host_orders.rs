//! What was ordered of each host, and which workers such an order may have ended.
//!
//! An order ends whatever runs on its host when it is carried out. The list of hosts lags behind, and an
//! order without an answer may be carried out seconds late, so the worker that a list shows may not be the
//! one that is ended. All that decides about a host, or reads the end of a worker, asks here.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::workflow::hosts::host_order::HostOrder;
use crate::workflow::HostOutcome;
use crate::workflow::WorkerEntry;

/// How long an order without an answer may still be carried out, in ms: 12 s, and what the answer's time
/// limit may add.
const MAX_ORDER_DELAY_MS: u64 = 12_500;

/// How far the platform's list of hosts may be behind: after a command to a host, it may show the
/// state from before for up to a second.
pub(crate) const HOST_LIST_LAG_MS: u64 = 1_000;

/// How long after an order was carried out its host's next worker may register, in ms: the longest upkeep
/// or move, and the time until its entry is read.
const MAX_RETURN_MS: u64 = 6_000;

/// The age up to which a controller tells its successor of a command that was answered, in ms: the gap that
/// [`crate::workflow::HostCommands`] keeps between two controllers.
const MAX_ANSWERED_AGE_MS: u64 = 3_150;

/// How long an order is kept that has been answered, in ms: signs of a worker's end come later than it.
const KEPT_MS: u64 = 30_000;

/// An order that may still be carried out.
#[derive(Clone, Debug)]
struct OpenOrder {
    /// `None` for one of an earlier controller, which may have been carried out already.
    order: Option<HostOrder>,
    until_ms: u64,
}

/// The orders to one host.
#[derive(Debug, Default)]
struct OrderRecord {
    /// The orders on their way, and those without an answer.
    open: Vec<OpenOrder>,
    /// When the last order was sent or answered, in ms.
    commanded_ms: u64,
    /// When the last one was answered as carried out, in ms.
    done_ms: u64,
    /// The worker that the last order was sent for.
    last_worker: Option<Rc<WorkerEntry>>,
    /// The last order was sent to a host on standby, on which no worker registers.
    is_standby: bool,
    /// The pool that the last move carried out has brought it to.
    moved_to: Option<String>,
}

/// Where and when a list first showed a worker.
#[derive(Clone, Debug)]
struct HostedWorker {
    host: HostId,
    listed_ms: u64,
}

/// The orders to all hosts, and the workers on these.
#[derive(Debug, Default)]
pub(crate) struct HostOrders {
    records: HashMap<HostId, OrderRecord>,
    workers: HashMap<WorkerId, HostedWorker>,
}

impl HostOrders {
    /// Records that an order is about to be sent, for a worker if one is known, or to a host on standby.
    pub(crate) fn begin(
        &mut self,
        host: &HostId,
        order: &HostOrder,
        (worker, is_standby): (Option<Rc<WorkerEntry>>, bool),
        now_ms: u64,
    ) {
        let record = self.records.entry(host.clone()).or_default();
        record.is_standby = is_standby;
        record.commanded_ms = now_ms;
        record.last_worker = worker.or(record.last_worker.take());
        record.open.retain(|open| now_ms <= open.until_ms);
        record.open.push(OpenOrder {
            order: Some(order.clone()),
            until_ms: u64::MAX,
        });
    }

    /// Records the outcome of an order that was sent.
    pub(crate) fn finish(
        &mut self,
        host: &HostId,
        order: &HostOrder,
        outcome: &HostOutcome,
        now_ms: u64,
    ) {
        let record = self.records.entry(host.clone()).or_default();
        record.commanded_ms = now_ms;
        let is_sent =
            |open: &OpenOrder| open.until_ms == u64::MAX && open.order.as_ref() == Some(order);
        match outcome {
            HostOutcome::Unknown(_) => {
                for open in record.open.iter_mut().filter(|open| is_sent(open)) {
                    open.until_ms = now_ms + MAX_ORDER_DELAY_MS;
                }
            }
            HostOutcome::Accepted => {
                record.done_ms = now_ms;
                if let HostOrder::Move(pool) = order {
                    record.moved_to = Some(pool.clone());
                }
                // The platform does nothing for further copies of an upkeep, nor for those of a move while
                // the host stays in its pool.
                record.open.retain(|open| {
                    let is_copy = open.order.as_ref() == Some(order);
                    !(is_sent(open) || is_copy && matches!(order, HostOrder::Upkeep(_)))
                });
            }
            HostOutcome::Busy(_) | HostOutcome::Rejected(_) | HostOutcome::Refused(_) => {
                record.open.retain(|open| !is_sent(open));
            }
        }
    }

    /// Records that an earlier controller has commanded a host `age_ms` ago. Only a command without an answer
    /// is known for longer than [`MAX_ANSWERED_AGE_MS`]; a younger one counts as carried out, which a list may
    /// not show for a while.
    pub(crate) fn inherit(&mut self, host: &HostId, age_ms: u64, now_ms: u64) {
        let at_ms = now_ms.saturating_sub(age_ms);
        let record = self.records.entry(host.clone()).or_default();
        record.commanded_ms = record.commanded_ms.max(at_ms);
        if age_ms <= MAX_ANSWERED_AGE_MS {
            record.done_ms = at_ms + HOST_LIST_LAG_MS;
            return;
        }
        record.open.push(OpenOrder {
            order: None,
            until_ms: at_ms + MAX_ORDER_DELAY_MS,
        });
    }

    /// Records that a list, requested at `listed_ms`, shows a worker on a host.
    pub(crate) fn record_listed(&mut self, worker: &WorkerId, host: &HostId, listed_ms: u64) {
        let known = self.workers.get(worker);
        if known.is_some_and(|known| known.host == *host) {
            return;
        }
        let host = host.clone();
        self.workers
            .insert(worker.clone(), HostedWorker { host, listed_ms });
    }

    /// Forgets the workers that are neither in `listed` nor known otherwise, and what is over for long.
    pub(crate) fn prune(
        &mut self,
        listed: &BTreeSet<WorkerId>,
        is_known: impl Fn(&WorkerId) -> bool,
        now_ms: u64,
    ) {
        self.workers
            .retain(|id, _| listed.contains(id) || is_known(id));
        self.records.retain(|_, record| {
            record.open.retain(|open| now_ms <= open.until_ms);
            !record.open.is_empty() || now_ms <= record.commanded_ms + KEPT_MS
        });
    }

    /// Returns the worker that the last order to a host was sent for.
    pub(crate) fn last_worker(&self, host: &HostId) -> Option<Rc<WorkerEntry>> {
        self.records.get(host)?.last_worker.clone()
    }

    /// Returns whether a list has shown the host of a worker.
    pub(crate) fn is_hosted(&self, worker: &WorkerId) -> bool {
        self.workers.contains_key(worker)
    }

    /// Returns whether a list that was requested at `listed_ms` shows a host as it is after the last order.
    pub(crate) fn is_list_current(&self, host: &HostId, listed_ms: u64) -> bool {
        let record = self.records.get(host);
        record.is_none_or(|record| listed_ms >= record.commanded_ms + HOST_LIST_LAG_MS)
    }

    /// Returns whether an order of this controller may still be carried out on a host.
    pub(crate) fn may_take_effect(&self, host: &HostId, now_ms: u64) -> bool {
        let Some(record) = self.records.get(host) else {
            return false;
        };
        record.open.iter().any(|open| {
            let has_effect = match &open.order {
                Some(HostOrder::Move(pool)) => record.moved_to.as_ref() != Some(pool),
                Some(HostOrder::Upkeep(_)) => true,
                None => false,
            };
            has_effect && now_ms <= open.until_ms
        })
    }

    /// Returns the hosts on which an order may end a worker that is new and, `with_returning`, those on which
    /// one has lately been carried out. A move that is on its way ends the worker that it was decided for;
    /// further copies of it do nothing.
    pub(crate) fn contested(&self, with_returning: bool, now_ms: u64) -> Vec<HostId> {
        let hosts = self.records.iter();
        let is_contested = |(host, record): &(&HostId, &OrderRecord)| {
            let is_returning = with_returning && self.is_returning(host, now_ms);
            let mut open = record.open.iter();
            let is_open = open.any(|open| match &open.order {
                Some(HostOrder::Upkeep(_)) => true,
                Some(HostOrder::Move(_)) => open.until_ms != u64::MAX,
                None => false,
            });
            let is_contested = is_returning || (is_open && self.may_take_effect(host, now_ms));
            is_contested && !record.is_standby
        };
        let contested = hosts.filter(is_contested);
        contested.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether an order has lately been carried out on a host, so that its next worker may register
    /// before a list shows it there.
    pub(crate) fn is_returning(&self, host: &HostId, now_ms: u64) -> bool {
        let record = self.records.get(host);
        record.is_some_and(|record| record.done_ms > 0 && now_ms <= record.done_ms + MAX_RETURN_MS)
    }

    /// Returns whether an order has ended a worker, or may have by `now_ms`. `seen_ms` is when the worker's
    /// incarnation was first seen, if that is known.
    pub(crate) fn may_have_ended(
        &self,
        worker: &WorkerId,
        seen_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let Some(hosted) = self.workers.get(worker) else {
            return false;
        };
        let seen_ms = seen_ms.unwrap_or(0).max(hosted.listed_ms);
        let record = self.records.get(&hosted.host);
        record.is_some_and(|record| {
            let open = record.open.iter().map(|open| open.until_ms.min(now_ms));
            let last_ms = open.chain([record.done_ms]).max().unwrap_or(0);
            last_ms > 0 && seen_ms <= last_ms
        })
    }
}
