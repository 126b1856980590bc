//! How many idle connections the clients of many servers keep together.

use std::cell::Cell;
use std::rc::Rc;

/// A number of idle connections that several clients share.
///
/// Load: a burst of orders opens several connections to each of thousands of servers; kept
/// open, they take the descriptors that the next calls need.
#[derive(Debug)]
pub struct IdleBudget {
    in_use: Cell<usize>,
    max: Cell<usize>,
}

impl IdleBudget {
    /// Creates a budget of `most` connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            in_use: Cell::new(0),
            max: Cell::new(max),
        })
    }

    /// Changes the number of connections; those above it are kept until they are used.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Takes a place, if one is left, until the returned value is dropped.
    pub fn try_acquire(self: &Rc<Self>) -> Option<IdlePermit> {
        if self.in_use.get() >= self.max.get() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(IdlePermit(Rc::clone(self)))
    }
}

/// A place of an [`IdleBudget`].
#[derive(Debug)]
pub struct IdlePermit(Rc<IdleBudget>);

impl Drop for IdlePermit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}
