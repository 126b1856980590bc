//! What the thread that decides and the one that talks to carriers share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::carrier::call_order::SentResult;
use crate::carrier::carrier_runner::unsent_outcome;
use crate::carrier::carrier_seat::CarrierSeat;
use crate::carrier::CallOrder;
use crate::carrier::CallResult;
use crate::carrier::CarrierOffer;
use crate::carrier::OrderBatch;
use crate::id::check_name;
use crate::process::boot_ms;

/// How long a request for orders waits at most, of a carrier in use: its loss is noticed after this.
const MAX_TAKE_WAIT: Duration = Duration::from_millis(500);

/// The same, of a carrier that is not in use: the requests of hundreds of them take processor time.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3);

/// How long orders and results wait at most for others to share a message with, in ms: below the pause between
/// two renewals of a worker, and long enough for several calls of a carrier at a few thousand a second.
const BATCH_WINDOW_MS: u64 = 16;

/// The limit on the time for which messages are held back while the holder is late, in ms.
const MAX_WINDOW_MS: u64 = 60;

/// The limit on the bytes of one batch of orders, far below that of a message.
const MAX_BATCH_BYTES: usize = 200_000;

/// The limit on results that wait for the thread that decides. Further ones count as no answer.
const MAX_RESULTS: usize = 20_000;

/// The limit on carriers. Further ones are told that this process has no orders.
const MAX_CARRIERS: usize = 1_000;

#[derive(Debug, Default)]
struct BoardState {
    is_holder: bool,
    window_ms: u64,
    seats: BTreeMap<String, CarrierSeat>,
    results: Vec<CallResult>,
}

/// The orders for carriers and the results that they delivered.
#[derive(Debug, Default)]
pub struct CarrierBoard {
    state: Mutex<BoardState>,
    /// Wakes the thread that decides.
    delivered: Notify,
    /// Wakes the requests of carriers that came before this process held the lease.
    opened: Notify,
}

impl CarrierBoard {
    /// Creates the board of a process that doesn't hold the lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins to hand out orders, at the start of a term.
    pub fn open(&self) {
        let mut state = self.lock();
        state.is_holder = true;
        state.window_ms = BATCH_WINDOW_MS;
        drop(state);
        self.opened.notify_waiters();
    }

    /// Drops all orders that were not handed out, at the end of a term.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_holder = false;
        state.results.clear();
        for seat in std::mem::take(&mut state.seats).into_values() {
            seat.queued.notify_one();
        }
        self.delivered.notify_waiters();
    }

    /// Sets which carriers are in use.
    pub fn set_used(&self, is_used: impl Fn(&str) -> bool) {
        for (name, seat) in &mut self.lock().seats {
            seat.is_used = is_used(name);
        }
    }

    /// Lengthens the time for which messages wait for others by a quarter of the holder's lag.
    pub fn set_lag(&self, lag: Duration) {
        let window_ms = BATCH_WINDOW_MS + lag.as_millis() as u64 / 4;
        self.lock().window_ms = window_ms.min(MAX_WINDOW_MS);
    }

    /// Returns what the present carriers offer.
    pub fn offers(&self) -> Vec<CarrierOffer> {
        let now_ms = boot_ms();
        let state = self.lock();
        let seats = state.seats.values();
        let present = seats.filter(|seat| seat.is_present(now_ms));
        present.map(|seat| seat.offer.clone()).collect()
    }

    /// Queues an order for a carrier.
    ///
    /// # Errors
    ///
    /// Returns the order if the carrier is away or too far behind.
    pub fn submit(&self, carrier: &str, order: CallOrder) -> Result<(), Box<CallOrder>> {
        match self.lock().seats.get_mut(carrier) {
            Some(seat) => seat.push(order, boot_ms()),
            None => Err(Box::new(order)),
        }
    }

    /// Takes back an order. Returns whether it had not been handed out, and so is certainly not sent.
    pub fn withdraw(&self, carrier: &str, number: u64) -> bool {
        let mut state = self.lock();
        let Some(seat) = state.seats.get_mut(carrier) else {
            return false;
        };
        let count = seat.queue.len();
        seat.queue.retain(|(_, order)| order.number != number);
        seat.queue.len() < count
    }

    /// Returns whether a carrier has delivered results since `since_ms`.
    pub fn has_delivered_since(&self, carrier: &str, since_ms: u64) -> bool {
        let state = self.lock();
        let seat = state.seats.get(carrier);
        seat.is_some_and(|seat| seat.delivered_ms >= since_ms)
    }

    /// Waits for results and takes them. Returns none if the board is closed meanwhile, even if it is open
    /// again.
    pub async fn next_results(&self) -> Vec<CallResult> {
        let (results, is_holder) = self.take_results();
        if !results.is_empty() || !is_holder {
            return results;
        }
        self.delivered.notified().await;
        self.take_results().0
    }

    /// Takes the results that were delivered so far. Also returns whether the board is open.
    pub fn take_results(&self) -> (Vec<CallResult>, bool) {
        let mut state = self.lock();
        (std::mem::take(&mut state.results), state.is_holder)
    }

    /// Serves a carrier's request for orders. `session` numbers the connections; a request of an earlier
    /// one than the carrier's last gets none. Orders are handed out as a batch window ends.
    pub async fn take(&self, offer: CarrierOffer, session: u64) -> OrderBatch {
        let began_ms = boot_ms();
        let name = offer.name.clone();
        let Some((queued, max_wait)) = self.begin_take(offer, session) else {
            // A host that claims the lease soon finds its carriers waiting.
            if !self.lock().is_holder {
                let _ = timeout(MAX_IDLE_WAIT, self.opened.notified()).await;
            }
            return OrderBatch::default();
        };
        // A request is dropped without an answer if its connection breaks.
        let waiting = WaitingTake {
            board: self,
            name: &name,
            session,
        };
        if !self.has_orders(&name) {
            let _ = timeout(max_wait, queued.notified()).await;
        }
        if self.has_orders(&name) {
            let window_ms = self.lock().window_ms;
            sleep(window_rest(window_ms, boot_ms())).await;
        }
        drop(waiting);
        let mut state = self.lock();
        let (is_holder, window_ms) = (state.is_holder, state.window_ms);
        let current = state.seats.get_mut(&name);
        let Some(seat) = current.filter(|seat| seat.session == session) else {
            return OrderBatch::default();
        };
        let (orders, expired) = seat.take(MAX_BATCH_BYTES, boot_ms());
        if !expired.is_empty() {
            let unsent = expired.into_iter().map(unsent_result);
            state.results.extend(unsent);
            self.delivered.notify_one();
        }
        OrderBatch {
            orders,
            held_ms: boot_ms().saturating_sub(began_ms),
            window_ms,
            is_holder,
        }
    }

    fn has_orders(&self, name: &str) -> bool {
        let state = self.lock();
        let seat = state.seats.get(name);
        seat.is_some_and(|seat| !seat.queue.is_empty())
    }

    /// Records a carrier's request. Returns what wakes it and how long it waits, or `None` if it gets no
    /// orders.
    fn begin_take(&self, offer: CarrierOffer, session: u64) -> Option<(Arc<Notify>, Duration)> {
        let mut state = self.lock();
        let state = &mut *state;
        let is_known = state.seats.contains_key(&offer.name);
        if check_name(&offer.name).is_err() || check_name(offer.data_centre.as_str()).is_err() {
            return None;
        }
        if !state.is_holder || (!is_known && state.seats.len() >= MAX_CARRIERS) {
            return None;
        }
        let name = offer.name.clone();
        let seat = state.seats.entry(name).or_insert_with(|| {
            let (name, data_centre) = (&offer.name, &offer.data_centre);
            log::info!("event=carrier_joined carrier={name} data_centre={data_centre}");
            CarrierSeat::new(offer.clone(), session)
        });
        if seat.session > session {
            return None;
        }
        if seat.session < session {
            // Orders that were handed out on the earlier connection stay with it.
            let queue = std::mem::take(&mut seat.queue);
            seat.queued.notify_one();
            *seat = CarrierSeat::new(offer, session);
            seat.queue = queue;
        }
        seat.begin_wait();
        let max_wait = match seat.is_used {
            true => MAX_TAKE_WAIT,
            false => MAX_IDLE_WAIT,
        };
        Some((Arc::clone(&seat.queued), max_wait))
    }

    /// Applies a carrier's results; returns whether its session is current and all reports
    /// of the session could be read. Otherwise the carrier must connect anew.
    pub fn deliver(&self, name: &str, session: u64, results: Vec<SentResult>) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let current = state.seats.get_mut(name);
        let Some(seat) = current.filter(|seat| seat.session == session) else {
            return false;
        };
        seat.delivered_ms = boot_ms();
        for sent in results {
            // The memory is kept in step also by results without room.
            let result = seat.memory.decode(sent);
            if state.results.len() < MAX_RESULTS {
                state.results.push(result);
            }
        }
        self.delivered.notify_one();
        !seat.memory.has_unreadable()
    }

    /// Forgets carriers that have been away for a while, and returns their names.
    pub fn drop_absent(&self) -> Vec<String> {
        let now_ms = boot_ms();
        let mut state = self.lock();
        let seats = state.seats.iter();
        let absent = seats.filter(|(_, seat)| !seat.is_present(now_ms) && seat.queue.is_empty());
        let absent: Vec<_> = absent.map(|(name, _)| name.clone()).collect();
        for name in &absent {
            log::warn!("event=carrier_lost carrier={name}");
            state.seats.remove(name);
        }
        absent
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the result of an order that was not handed out in time.
fn unsent_result(order: CallOrder) -> CallResult {
    CallResult {
        number: order.number,
        outcome: unsent_outcome(&order.call, "the order is too old".to_owned()),
    }
}

/// Returns the time until the present window ends. All windows of a process end together, so that one wake-up
/// of its thread serves all connections.
pub(crate) fn window_rest(window_ms: u64, now_ms: u64) -> Duration {
    let window_ms = window_ms.max(1);
    Duration::from_millis(window_ms - now_ms % window_ms)
}

/// A carrier's request that waits for orders.
struct WaitingTake<'a> {
    board: &'a CarrierBoard,
    name: &'a str,
    session: u64,
}

impl Drop for WaitingTake<'_> {
    fn drop(&mut self) {
        let mut state = self.board.lock();
        let seat = state.seats.get_mut(self.name);
        if let Some(seat) = seat.filter(|seat| seat.session == self.session) {
            seat.end_wait(boot_ms());
        }
    }
}
