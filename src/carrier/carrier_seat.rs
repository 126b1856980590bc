//! One carrier, as the holder sees it.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::carrier::CallOrder;
use crate::carrier::CarrierOffer;
use crate::carrier::ReportMemory;
use crate::carrier::WorkerCall;

/// Time without a request after which a carrier counts as away, in ms: its requests wait at the holder, and it
/// sends the next one within a round trip.
const MAX_SILENCE_MS: u64 = 400;

/// The age from which a command is not handed out, in ms. Its permission was checked when it was queued.
pub(crate) const MAX_COMMAND_AGE_MS: u64 = 600;

/// The same for a renewal, which names the end that it grants: a late one grants nothing more.
pub(crate) const MAX_RENEWAL_AGE_MS: u64 = 2_000;

/// The limit on orders that wait for one carrier. A carrier that falls behind gets no more.
const MAX_QUEUED_ORDERS: usize = 2_000;

/// A connected carrier and its orders.
#[derive(Debug)]
pub(crate) struct CarrierSeat {
    pub(crate) offer: CarrierOffer,
    pub(crate) session: u64,
    /// The orders to hand out, with the times in ms at which they were queued.
    pub(crate) queue: VecDeque<(u64, CallOrder)>,
    /// Wakes the request that waits for orders.
    pub(crate) queued: Arc<Notify>,
    pub(crate) memory: ReportMemory,
    /// Whether calls go through this carrier.
    pub(crate) is_used: bool,
    /// Requests that wait for orders.
    waiting: usize,
    /// When the carrier's last request was answered, in ms.
    answered_ms: u64,
    /// When the carrier last delivered results, in ms.
    pub(crate) delivered_ms: u64,
}

impl CarrierSeat {
    pub(crate) fn new(offer: CarrierOffer, session: u64) -> Self {
        Self {
            offer,
            session,
            queue: VecDeque::new(),
            queued: Arc::new(Notify::new()),
            memory: ReportMemory::new(),
            is_used: false,
            waiting: 0,
            answered_ms: 0,
            delivered_ms: 0,
        }
    }

    /// Records that a request waits for orders.
    pub(crate) fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request was answered at `now_ms`.
    pub(crate) fn end_wait(&mut self, now_ms: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.answered_ms = now_ms;
    }

    /// Returns whether the carrier may be handed orders.
    pub(crate) fn is_present(&self, now_ms: u64) -> bool {
        self.waiting > 0 || now_ms <= self.answered_ms + MAX_SILENCE_MS
    }

    /// Queues an order; returns it if the carrier is away or too far behind.
    pub(crate) fn push(&mut self, order: CallOrder, now_ms: u64) -> Result<(), Box<CallOrder>> {
        if !self.is_present(now_ms) || self.queue.len() >= MAX_QUEUED_ORDERS {
            return Err(Box::new(order));
        }
        self.queue.push_back((now_ms, order));
        if self.queue.len() == 1 {
            self.queued.notify_one();
        }
        Ok(())
    }

    /// Takes the next orders, up to `max_bytes`. Also returns those that have become too old.
    pub(crate) fn take(
        &mut self,
        max_bytes: usize,
        now_ms: u64,
    ) -> (Vec<CallOrder>, Vec<CallOrder>) {
        let mut bytes = 0;
        let (mut orders, mut expired) = (Vec::new(), Vec::new());
        while let Some((queued_ms, mut order)) = self.queue.pop_front() {
            order.age_ms = now_ms.saturating_sub(queued_ms);
            if order.age_ms > max_age_ms(&order.call) {
                expired.push(order);
                continue;
            }
            bytes += order.call.size();
            orders.push(order);
            if bytes >= max_bytes {
                break;
            }
        }
        if !self.queue.is_empty() {
            self.queued.notify_one();
        }
        (orders, expired)
    }
}

/// Returns the age from which a call is not made, in ms.
pub(crate) fn max_age_ms(call: &WorkerCall) -> u64 {
    match call {
        WorkerCall::Renew(_) => MAX_RENEWAL_AGE_MS,
        _ => MAX_COMMAND_AGE_MS,
    }
}
