//! Requests of one service that wait for a slot.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::CustomerId;

/// What decides the turn of a waiting request.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Whether it goes before all that are not urgent.
    pub urgent: bool,
    /// The customer whose fair share it counts against.
    pub customer: Option<CustomerId>,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// The place of a waiting request, by which it can be removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuePlace {
    urgent: bool,
    customer: Option<CustomerId>,
    turn: (Instant, u64),
}

/// What became of a request that asked to wait.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// It waits at this place.
    Waiting(QueuePlace),
    /// It waits, and another gave way to it.
    Displaced(QueuePlace, T),
    /// The queue is full.
    Full(T),
}

#[derive(Debug)]
struct CustomerQueue<T> {
    waiting: BTreeMap<(Instant, u64), T>,
    /// The turns taken so far, comparable between customers.
    served: u64,
}

#[derive(Debug)]
struct ClassQueue<T> {
    customers: BTreeMap<Option<CustomerId>, CustomerQueue<T>>,
    /// The turns taken by the customer that was served last.
    floor: u64,
}

/// A bounded queue: urgent first, then customers in turn, then earliest deadline.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    urgent: ClassQueue<T>,
    normal: ClassQueue<T>,
    len: usize,
    limit: usize,
    next_number: u64,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            urgent: ClassQueue::new(),
            normal: ClassQueue::new(),
            len: 0,
            limit,
            next_number: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many requests would have their turn before a new one.
    pub fn count_before(&self, urgent: bool, customer: &Option<CustomerId>) -> usize {
        if urgent {
            return self.urgent.count_before(customer);
        }
        self.urgent.len() + self.normal.count_before(customer)
    }

    /// Adds a request.
    ///
    /// When the queue is full, the customer with the most waiting requests that
    /// are not urgent gives up its last one, if it has more than the newcomer's.
    pub fn push(&mut self, entry: QueueEntry, waiter: T) -> PushOutcome<T> {
        let mut displaced = None;
        if self.len >= self.limit {
            displaced = self.normal.take_longest(&entry);
            if displaced.is_none() {
                return PushOutcome::Full(waiter);
            }
            self.len -= 1;
        }
        let place = QueuePlace {
            urgent: entry.urgent,
            customer: entry.customer,
            turn: (entry.deadline, self.next_number),
        };
        self.next_number += 1;
        self.reinsert(place.clone(), waiter);
        match displaced {
            Some(displaced) => PushOutcome::Displaced(place, displaced),
            None => PushOutcome::Waiting(place),
        }
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<(QueuePlace, T)> {
        let (urgent, popped) = match self.urgent.pop() {
            Some(popped) => (true, popped),
            None => (false, self.normal.pop()?),
        };
        self.len -= 1;
        let (customer, turn, waiter) = popped;
        let place = QueuePlace {
            urgent,
            customer,
            turn,
        };
        Some((place, waiter))
    }

    /// Puts a request that was taken back at its place.
    pub fn reinsert(&mut self, place: QueuePlace, waiter: T) {
        self.len += 1;
        let urgent = place.urgent;
        self.class(urgent).insert(place, waiter);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let waiter = self.class(place.urgent).remove(place)?;
        self.len -= 1;
        Some(waiter)
    }

    fn class(&mut self, urgent: bool) -> &mut ClassQueue<T> {
        if urgent {
            &mut self.urgent
        } else {
            &mut self.normal
        }
    }
}

impl QueuePlace {
    /// Returns when the caller of the request stops waiting.
    pub fn deadline(&self) -> Instant {
        self.turn.0
    }
}

type PoppedWaiter<T> = (Option<CustomerId>, (Instant, u64), T);

impl<T> ClassQueue<T> {
    fn new() -> Self {
        Self {
            customers: BTreeMap::new(),
            floor: 0,
        }
    }

    fn len(&self) -> usize {
        self.customers
            .values()
            .map(|customer| customer.waiting.len())
            .sum()
    }

    fn waiting_of(&self, customer: &Option<CustomerId>) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.waiting.len())
    }

    fn count_before(&self, customer: &Option<CustomerId>) -> usize {
        let own = self.waiting_of(customer);
        self.customers
            .values()
            .map(|queue| queue.waiting.len().min(own + 1))
            .sum()
    }

    fn insert(&mut self, place: QueuePlace, waiter: T) {
        let floor = self.floor;
        let queue = self
            .customers
            .entry(place.customer)
            .or_insert_with(|| CustomerQueue {
                waiting: BTreeMap::new(),
                served: floor,
            });
        queue.waiting.insert(place.turn, waiter);
    }

    fn pop(&mut self) -> Option<PoppedWaiter<T>> {
        let customer = self
            .customers
            .iter()
            .min_by_key(|(_, queue)| queue.served)
            .map(|(customer, _)| customer.clone())?;
        let queue = self.customers.get_mut(&customer)?;
        let (turn, waiter) = queue.waiting.pop_first()?;
        self.floor = queue.served;
        queue.served += 1;
        self.forget_if_empty(&customer);
        Some((customer, turn, waiter))
    }

    fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let queue = self.customers.get_mut(&place.customer)?;
        let waiter = queue.waiting.remove(&place.turn)?;
        self.forget_if_empty(&place.customer);
        Some(waiter)
    }

    fn take_longest(&mut self, newcomer: &QueueEntry) -> Option<T> {
        let own = self.waiting_of(&newcomer.customer);
        let (customer, longest) = self
            .customers
            .iter()
            .max_by_key(|(_, queue)| queue.waiting.len())
            .map(|(customer, queue)| (customer.clone(), queue.waiting.len()))?;
        if !newcomer.urgent && longest <= own + 1 {
            return None;
        }
        let (_, waiter) = self.customers.get_mut(&customer)?.waiting.pop_last()?;
        self.forget_if_empty(&customer);
        Some(waiter)
    }

    fn forget_if_empty(&mut self, customer: &Option<CustomerId>) {
        if self.waiting_of(customer) == 0 {
            self.customers.remove(customer);
        }
    }
}
