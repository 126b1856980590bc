//! Limit on the idle connections that the clients of many servers keep in total.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on idle connections that several clients share.
///
/// A burst of commands opens several connections to each of thousands of servers. If all of
/// them stayed open, no file descriptors would be left for the next calls.
#[derive(Debug)]
pub struct IdleBudget {
    in_use: Cell<usize>,
    max: Cell<usize>,
    /// Whether each client may keep one idle connection without a permit.
    reserves_connections: Cell<bool>,
}

impl IdleBudget {
    /// Creates a budget of at most `max` idle connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            in_use: Cell::new(0),
            max: Cell::new(max),
            reserves_connections: Cell::new(false),
        })
    }

    /// Changes the limit; permits above it stay valid until they are dropped.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Sets whether each client may keep one idle connection without a permit, so that what a burst to
    /// other servers left behind doesn't make each of its requests open one.
    pub fn set_reserve(&self, reserves_connections: bool) {
        self.reserves_connections.set(reserves_connections);
    }

    /// Returns whether each client may keep one idle connection without a permit.
    pub fn reserves_connections(&self) -> bool {
        self.reserves_connections.get()
    }

    /// Takes a permit, if one is left; dropping it releases it.
    pub fn try_acquire(self: &Rc<Self>) -> Option<IdlePermit> {
        if self.in_use.get() >= self.max.get() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(IdlePermit(Rc::clone(self)))
    }
}

/// Permission to keep one idle connection, released on drop.
#[derive(Debug)]
pub struct IdlePermit(Rc<IdleBudget>);

impl Drop for IdlePermit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}
