//! Hands calls to carriers and waits for their outcomes, on the thread that decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use tokio::sync::oneshot;

use crate::carrier::CallOrder;
use crate::carrier::CallOutcome;
use crate::carrier::CallResult;
use crate::carrier::CarrierBoard;
use crate::carrier::CarrierPlan;
use crate::carrier::WorkerCall;
use crate::carrier::WorkerTarget;
use crate::id::DataCentreId;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::workflow::HostResources;
use crate::workflow::WorkerEntry;

/// How often the carriers in use are chosen anew.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// How much longer than its own wait a call may take through a carrier: the limit of a direct call (400 ms) and
/// two messages with their windows. A late holder allows for its lag as well.
const CARRIER_MARGIN: Duration = Duration::from_millis(550);

/// The multiple of the holder's lag that a call may take in addition: its order and its result each wait behind
/// other work of the holder.
const LAG_FACTOR: u32 = 4;

/// For how long a new holder leaves its calls to carriers that are about to connect: each host reads the leader
/// row every 300 ms.
const JOIN_TIME_MS: u64 = 500;

/// Calls without any outcome in a row after which a carrier is not used for [`SUSPENSION_MS`].
const MAX_UNANSWERED: u32 = 3;

/// Time for which a carrier that returned nothing is not used, in ms.
const SUSPENSION_MS: u64 = 3_000;

/// The limit on carriers to which an order is offered before the holder makes the call itself.
const MAX_OFFERS: usize = 3;

/// How often a call that waits for the first carriers looks for them.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Workers that a holder calls itself, for each core of its processor time: below that, calls of its own cost it
/// no more than messages to carriers.
const OWN_WORKERS_PER_CORE: u64 = 800;

/// Time after which a worker's calls go back to its preferred carrier, in ms.
const TURN_MS: u64 = 3_000;

/// The limit on the time that a call may take because the holder is late.
const MAX_LAG_ALLOWANCE: Duration = Duration::from_millis(500);

/// The outcome of handing a call to a carrier.
#[derive(Debug)]
pub enum CarriedCall {
    /// What the carrier returned.
    Done(CallOutcome),
    /// No carrier was handed the call.
    NotHandedOut,
    /// The call was certainly not sent, and is too old to be sent now.
    NotSent,
    /// The carrier returned nothing in time.
    Unanswered,
}

/// The carriers of one process, in the terms for which it holds the lease.
pub struct CarrierPool {
    board: Arc<CarrierBoard>,
    own_workers: usize,
    plan: RefCell<CarrierPlan>,
    fleet: RefCell<BTreeMap<DataCentreId, usize>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<CallOutcome>>>,
    /// The turns of workers whose preferred carrier failed, and when they last changed, in ms.
    turns: RefCell<HashMap<WorkerId, (usize, u64)>>,
    /// The orders of a carrier in a row that it returned nothing for, and when the last one was given up, in ms.
    unanswered: RefCell<HashMap<String, (u32, u64)>>,
    lag: Cell<Duration>,
    next_number: Cell<u64>,
    opened_ms: Cell<u64>,
    is_open: Cell<bool>,
    /// Numbers the terms of this process. The loops of a term end with it, even if the next one has begun.
    term: Cell<u64>,
}

impl CarrierPool {
    /// Creates the pool of a process with these resources.
    pub fn new(board: Arc<CarrierBoard>, resources: HostResources) -> Rc<Self> {
        let millis = resources.processor_millis().unwrap_or(1_000);
        Rc::new(Self {
            board,
            own_workers: (millis * OWN_WORKERS_PER_CORE / 1_000) as usize,
            plan: RefCell::default(),
            fleet: RefCell::default(),
            pending: RefCell::default(),
            turns: RefCell::default(),
            unanswered: RefCell::default(),
            lag: Cell::default(),
            // A carrier may still hold results for an earlier process at the same address.
            next_number: Cell::new(rand::random::<u64>() >> 1),
            opened_ms: Cell::new(0),
            is_open: Cell::new(false),
            term: Cell::new(0),
        })
    }

    /// Takes carriers from now on, for a term that begins.
    pub fn open(self: &Rc<Self>) {
        self.opened_ms.set(boot_ms());
        self.fleet.borrow_mut().clear();
        self.turns.borrow_mut().clear();
        self.unanswered.borrow_mut().clear();
        self.board.open();
        self.is_open.set(true);
        let term = self.term.get() + 1;
        self.term.set(term);
        monoio::spawn(Rc::clone(self).resolve_results(term));
        monoio::spawn(Rc::clone(self).keep_plan(term));
    }

    /// Dismisses the carriers at the end of a term. Calls without an outcome count as unanswered.
    pub fn close(&self) {
        self.is_open.set(false);
        self.board.close();
        self.plan.take();
        self.pending.borrow_mut().clear();
    }

    /// Sets the number of workers of each data centre, by which carriers are chosen.
    pub fn set_fleet(&self, fleet: BTreeMap<DataCentreId, usize>) {
        let now_ms = boot_ms();
        let mut turns = self.turns.borrow_mut();
        turns.retain(|_, (_, changed_ms)| now_ms <= *changed_ms + TURN_MS);
        drop(turns);
        let is_first = self.fleet.borrow().is_empty();
        self.fleet.replace(fleet);
        if is_first {
            self.choose_carriers();
        }
    }

    /// Returns the number of carriers in use.
    pub(crate) fn carrier_count(&self) -> usize {
        self.plan.borrow().carrier_count()
    }

    /// Tells carriers how late the holder is, so that messages are fewer and larger.
    pub(crate) fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
        self.board.set_lag(lag);
    }

    fn is_current(&self, term: u64) -> bool {
        self.is_open.get() && self.term.get() == term
    }

    /// Returns whether the fleet is larger than what this host calls itself.
    fn needs_carriers(&self) -> bool {
        self.is_open.get() && self.fleet.borrow().values().sum::<usize>() > self.own_workers
    }

    /// Hands a call to the worker's carrier and waits for its outcome.
    pub async fn call(&self, worker: &WorkerEntry, call: WorkerCall) -> CarriedCall {
        if !self.needs_carriers() {
            return CarriedCall::NotHandedOut;
        }
        self.wait_for_carriers(&worker.data_centre).await;
        if !self.is_open.get() {
            return CarriedCall::NotSent;
        }
        let allowance = (self.lag.get() * LAG_FACTOR).min(MAX_LAG_ALLOWANCE);
        let wait = call.wait() + CARRIER_MARGIN + allowance;
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let order = CallOrder {
            number,
            target: WorkerTarget::from(worker),
            age_ms: 0,
            call,
        };
        let sent_ms = boot_ms();
        let (sender, mut outcome) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        let Some(carrier) = self.hand_out(worker, order) else {
            self.pending.borrow_mut().remove(&number);
            return CarriedCall::NotHandedOut;
        };
        let answered = match timeout(wait, &mut outcome).await {
            Ok(answered) => answered.ok(),
            // A process that was late or paused finds the timer before the result.
            Err(_) => {
                self.resolve(self.board.take_results().0);
                outcome.try_recv().ok()
            }
        };
        self.pending.borrow_mut().remove(&number);
        let Some(outcome) = answered else {
            self.record_failure(&worker.id);
            if !self.board.has_delivered_since(&carrier, sent_ms) {
                self.record_unanswered(&carrier);
            }
            return match self.board.withdraw(&carrier, number) {
                true => CarriedCall::NotSent,
                false => CarriedCall::Unanswered,
            };
        };
        match outcome.is_answer() {
            true => drop(self.unanswered.borrow_mut().remove(&carrier)),
            false => self.record_failure(&worker.id),
        }
        CarriedCall::Done(outcome)
    }

    /// Offers an order to the worker's carriers in turn. Returns the one that has it.
    fn hand_out(&self, worker: &WorkerEntry, mut order: CallOrder) -> Option<String> {
        for _ in 0..MAX_OFFERS {
            let carrier = self.carrier_of(worker)?;
            match self.board.submit(&carrier, order) {
                Ok(()) => return Some(carrier),
                Err(refused) => order = *refused,
            }
            self.record_failure(&worker.id);
        }
        None
    }

    fn carrier_of(&self, worker: &WorkerEntry) -> Option<String> {
        let plan = self.plan.borrow();
        let turn = self.turn_of(&worker.id);
        let carrier = plan.carrier_for(&worker.id, &worker.data_centre, turn);
        carrier.map(str::to_owned)
    }

    /// Records that a carrier returned nothing for an order. After some in a row, others are used.
    fn record_unanswered(&self, carrier: &str) {
        let now_ms = boot_ms();
        let mut unanswered = self.unanswered.borrow_mut();
        let (count, last_ms) = unanswered.entry(carrier.to_owned()).or_default();
        *count += 1;
        *last_ms = now_ms;
        if *count == MAX_UNANSWERED {
            log::warn!("event=carrier_suspended carrier={carrier} unanswered={count}");
            drop(unanswered);
            self.choose_carriers();
        }
    }

    fn is_suspended(&self, carrier: &str) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(carrier).is_some_and(|(count, last_ms)| {
            *count >= MAX_UNANSWERED && boot_ms() < last_ms + SUSPENSION_MS
        })
    }

    /// Returns the turn at which the worker's last call was answered, or the first one after a while.
    fn turn_of(&self, worker: &WorkerId) -> usize {
        let turns = self.turns.borrow();
        let turn = turns.get(worker);
        let turn = turn.filter(|(_, changed_ms)| boot_ms() <= changed_ms + TURN_MS);
        turn.map_or(0, |(turn, _)| *turn)
    }

    /// Goes on to the worker's next turn.
    fn record_failure(&self, worker: &WorkerId) {
        let turn = self.turn_of(worker) + 1;
        let mut turns = self.turns.borrow_mut();
        turns.insert(worker.clone(), (turn, boot_ms()));
    }

    /// Waits for the first carriers of a data centre, as long as they may be about to connect.
    async fn wait_for_carriers(&self, data_centre: &DataCentreId) {
        let joining_until_ms = self.opened_ms.get() + JOIN_TIME_MS;
        while !self.plan.borrow().covers(data_centre) && boot_ms() < joining_until_ms {
            sleep(JOIN_POLL_INTERVAL).await;
            self.choose_carriers();
        }
    }

    fn choose_carriers(&self) {
        if !self.needs_carriers() {
            return;
        }
        let mut offers = self.board.offers();
        offers.retain(|offer| !self.is_suspended(&offer.name));
        let plan = CarrierPlan::new(&offers, &self.fleet.borrow());
        self.board.set_used(|name| plan.uses(name));
        self.plan.replace(plan);
    }

    /// Chooses the carriers anew at regular intervals until the term ends.
    async fn keep_plan(self: Rc<Self>, term: u64) {
        while self.is_current(term) {
            self.board.drop_absent();
            self.choose_carriers();
            sleep(PLAN_INTERVAL).await;
        }
    }

    /// Passes results to the calls that wait for them until the term ends.
    async fn resolve_results(self: Rc<Self>, term: u64) {
        while self.is_current(term) {
            let results = self.board.next_results().await;
            self.resolve(results);
        }
    }

    fn resolve(&self, results: Vec<CallResult>) {
        let mut pending = self.pending.borrow_mut();
        for result in results {
            if let Some(waiting) = pending.remove(&result.number) {
                // The call may have been given up just now.
                let _ = waiting.send(result.outcome);
            }
        }
    }
}
