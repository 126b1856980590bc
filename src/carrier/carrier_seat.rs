//! One carrier, as the holder sees it.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::carrier::CallOrder;
use crate::carrier::CarrierOffer;
use crate::carrier::ReportMemory;

/// Time without a request after which a carrier counts as away, in ms: its requests wait at the holder, and it
/// sends the next one within a round trip.
const MAX_SILENCE_MS: u64 = 400;

/// The limit on orders that wait for one carrier. A carrier that falls behind gets no more.
const MAX_QUEUED_ORDERS: usize = 2_000;

/// A connected carrier and its orders.
#[derive(Debug)]
pub(crate) struct CarrierSeat {
    pub(crate) offer: CarrierOffer,
    pub(crate) session: u64,
    pub(crate) queue: VecDeque<CallOrder>,
    /// Wakes the request that waits for orders.
    pub(crate) queued: Arc<Notify>,
    pub(crate) memory: ReportMemory,
    /// Whether calls go through this carrier.
    pub(crate) is_used: bool,
    /// Requests that wait for orders.
    waiting: usize,
    /// When the carrier's last request was answered, in ms.
    answered_ms: u64,
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
    pub(crate) fn push(&mut self, order: CallOrder, now_ms: u64) -> Result<(), CallOrder> {
        if !self.is_present(now_ms) || self.queue.len() >= MAX_QUEUED_ORDERS {
            return Err(order);
        }
        self.queue.push_back(order);
        if self.queue.len() == 1 {
            self.queued.notify_one();
        }
        Ok(())
    }

    /// Takes the next orders, up to `max_bytes`.
    pub(crate) fn take(&mut self, max_bytes: usize) -> Vec<CallOrder> {
        let mut bytes = 0;
        let mut orders = Vec::new();
        while let Some(order) = self.queue.pop_front() {
            bytes += order.call.size();
            orders.push(order);
            if bytes >= max_bytes {
                break;
            }
        }
        if !self.queue.is_empty() {
            self.queued.notify_one();
        }
        orders
    }
}
