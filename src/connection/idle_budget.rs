//! How many idle connections the clients of many servers keep together.

use std::cell::Cell;
use std::rc::Rc;

/// A number of idle connections that several clients share.
///
/// Load: a burst of orders opens several connections to each of thousands of servers; kept
/// open, they take the descriptors that the next calls need.
#[derive(Debug)]
pub struct IdleBudget {
    kept: Cell<usize>,
    most: Cell<usize>,
}

impl IdleBudget {
    /// Creates a budget of `most` connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            kept: Cell::new(0),
            most: Cell::new(most),
        })
    }

    /// Changes the number of connections; those above it are kept until they are used.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }

    /// Takes a place, if one is left, until the returned value is dropped.
    pub fn take(self: &Rc<Self>) -> Option<IdlePlace> {
        if self.kept.get() >= self.most.get() {
            return None;
        }
        self.kept.set(self.kept.get() + 1);
        Some(IdlePlace(Rc::clone(self)))
    }
}

/// A place of an [`IdleBudget`].
#[derive(Debug)]
pub struct IdlePlace(Rc<IdleBudget>);

impl Drop for IdlePlace {
    fn drop(&mut self) {
        self.0.kept.set(self.0.kept.get() - 1);
    }
}
