//! A bounded, fair queue for requests that wait for a slot of one service.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::CustomerId;

/// The properties of a waiting request that decide when it is served.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Whether it is served before every request that is not urgent.
    pub urgent: bool,
    /// The customer whose fair share it is charged to. All requests without a customer share one
    /// queue.
    pub customer: Option<CustomerId>,
    /// When its caller times out.
    pub deadline: Instant,
}

/// The place of a waiting request in the queue; identifies it for removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuePlace {
    urgent: bool,
    customer: Option<CustomerId>,
    /// The deadline, and the arrival number as tie-breaker.
    order_key: (Instant, u64),
}

/// The result of adding a request to the queue.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request waits at this place.
    Waiting(QueuePlace),
    /// The request waits at this place. The queue was full, and the returned waiter was removed to
    /// free a place.
    Displaced(QueuePlace, T),
    /// The queue is full and the request was not added; its waiter is returned.
    Full(T),
}

/// The waiting requests of one customer in one class.
#[derive(Debug)]
struct CustomerQueue<T> {
    /// The waiters by deadline and arrival number.
    waiting: BTreeMap<(Instant, u64), T>,
    /// Requests served so far, counted from the virtual time at which the customer joined.
    served: u64,
}

/// The waiting requests of one class, urgent or normal.
#[derive(Debug)]
struct ClassQueue<T> {
    customers: BTreeMap<Option<CustomerId>, CustomerQueue<T>>,
    /// The `served` count of the most recently served customer, before that request was counted.
    /// A new customer starts from it, so that it gets neither an advantage nor a disadvantage over
    /// the others.
    virtual_time: u64,
}

/// A bounded queue: urgent requests first, then round robin over customers, then earliest
/// deadline. `T` is the waiter that is stored with each request.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    urgent: ClassQueue<T>,
    normal: ClassQueue<T>,
    len: usize,
    limit: usize,
    next_arrival_number: u64,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            urgent: ClassQueue::new(),
            normal: ClassQueue::new(),
            len: 0,
            limit,
            next_arrival_number: 0,
        }
    }

    /// Returns the number of waiting requests, urgent and normal.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many waiting requests would be served before a new one of this class and
    /// customer, if its deadline is the latest of that customer's requests.
    pub fn count_before(&self, urgent: bool, customer: &Option<CustomerId>) -> usize {
        if urgent {
            return self.urgent.count_before(customer);
        }
        self.urgent.len() + self.normal.count_before(customer)
    }

    /// Adds a request.
    ///
    /// When the queue is full, the candidate for removal is a normal request: of the customer with
    /// the most normal requests waiting, the one with the latest deadline. An urgent request always
    /// displaces it. A normal request displaces it only if that customer has more normal requests
    /// waiting than the new request's customer would have.
    pub fn push(&mut self, entry: QueueEntry, waiter: T) -> PushOutcome<T> {
        let mut displaced = None;
        if self.len >= self.limit {
            displaced = self.normal.evict_from_longest(&entry);
            if displaced.is_none() {
                return PushOutcome::Full(waiter);
            }
            self.len -= 1;
        }
        let place = QueuePlace {
            urgent: entry.urgent,
            customer: entry.customer,
            order_key: (entry.deadline, self.next_arrival_number),
        };
        self.next_arrival_number += 1;
        self.reinsert(place.clone(), waiter);
        match displaced {
            Some(displaced) => PushOutcome::Displaced(place, displaced),
            None => PushOutcome::Waiting(place),
        }
    }

    /// Removes and returns the request to be served next.
    pub fn pop(&mut self) -> Option<(QueuePlace, T)> {
        let (urgent, popped) = match self.urgent.pop() {
            Some(popped) => (true, popped),
            None => (false, self.normal.pop()?),
        };
        self.len -= 1;
        let (customer, order_key, waiter) = popped;
        let place = QueuePlace {
            urgent,
            customer,
            order_key,
        };
        Some((place, waiter))
    }

    /// Puts a request that was popped back at its place; the limit is not checked.
    pub fn reinsert(&mut self, place: QueuePlace, waiter: T) {
        self.len += 1;
        let urgent = place.urgent;
        self.class(urgent).insert(place, waiter);
    }

    /// Removes a waiting request, for example because its caller has disconnected; returns `None`
    /// if it no longer waits.
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
    /// Returns when the caller of the request times out.
    pub fn deadline(&self) -> Instant {
        self.order_key.0
    }
}

type PoppedWaiter<T> = (Option<CustomerId>, (Instant, u64), T);

impl<T> ClassQueue<T> {
    fn new() -> Self {
        Self {
            customers: BTreeMap::new(),
            virtual_time: 0,
        }
    }

    fn len(&self) -> usize {
        self.customers
            .values()
            .map(|customer| customer.waiting.len())
            .sum()
    }

    fn waiting_count(&self, customer: &Option<CustomerId>) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.waiting.len())
    }

    fn count_before(&self, customer: &Option<CustomerId>) -> usize {
        let own_count = self.waiting_count(customer);
        // Round robin serves each customer at most once for each of the customer's own requests,
        // the new one included.
        self.customers
            .values()
            .map(|queue| queue.waiting.len().min(own_count + 1))
            .sum()
    }

    fn insert(&mut self, place: QueuePlace, waiter: T) {
        let virtual_time = self.virtual_time;
        let queue = self
            .customers
            .entry(place.customer)
            .or_insert_with(|| CustomerQueue {
                waiting: BTreeMap::new(),
                served: virtual_time,
            });
        queue.waiting.insert(place.order_key, waiter);
    }

    fn pop(&mut self) -> Option<PoppedWaiter<T>> {
        let customer = self
            .customers
            .iter()
            .min_by_key(|(_, queue)| queue.served)
            .map(|(customer, _)| customer.clone())?;
        let queue = self.customers.get_mut(&customer)?;
        let (order_key, waiter) = queue.waiting.pop_first()?;
        self.virtual_time = queue.served;
        queue.served += 1;
        self.remove_if_empty(&customer);
        Some((customer, order_key, waiter))
    }

    fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let queue = self.customers.get_mut(&place.customer)?;
        let waiter = queue.waiting.remove(&place.order_key)?;
        self.remove_if_empty(&place.customer);
        Some(waiter)
    }

    fn evict_from_longest(&mut self, new_entry: &QueueEntry) -> Option<T> {
        let own_count = self.waiting_count(&new_entry.customer);
        let (customer, longest_count) = self
            .customers
            .iter()
            .max_by_key(|(_, queue)| queue.waiting.len())
            .map(|(customer, queue)| (customer.clone(), queue.waiting.len()))?;
        if !new_entry.urgent && longest_count <= own_count + 1 {
            return None;
        }
        let (_, waiter) = self.customers.get_mut(&customer)?.waiting.pop_last()?;
        self.remove_if_empty(&customer);
        Some(waiter)
    }

    fn remove_if_empty(&mut self, customer: &Option<CustomerId>) {
        if self.waiting_count(customer) == 0 {
            self.customers.remove(customer);
        }
    }
}
