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
    /// Clients, each of which may need a permit for its first idle connection.
    clients: Cell<usize>,
    /// Permits for first idle connections.
    firsts: Cell<usize>,
}

impl IdleBudget {
    /// Creates a budget of at most `max` idle connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            in_use: Cell::new(0),
            max: Cell::new(max),
            clients: Cell::new(0),
            firsts: Cell::new(0),
        })
    }

    /// Changes the limit; permits above it stay valid until they are dropped.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Changes the number of clients. A permit is left for the first idle connection of each, so that
    /// what a burst to other servers left behind doesn't make each of its requests open one.
    pub fn set_clients(&self, clients: usize) {
        self.clients.set(clients);
    }

    /// Takes a permit, if one is left beside those for first connections; dropping it releases it.
    pub fn try_acquire(self: &Rc<Self>) -> Option<IdlePermit> {
        let reserved = self.clients.get().saturating_sub(self.firsts.get());
        self.acquire(self.max.get().saturating_sub(reserved), false)
    }

    /// Takes a permit for a client without an idle connection, if any is left.
    pub fn try_acquire_first(self: &Rc<Self>) -> Option<IdlePermit> {
        self.acquire(self.max.get(), true)
    }

    fn acquire(self: &Rc<Self>, limit: usize, is_first: bool) -> Option<IdlePermit> {
        if self.in_use.get() >= limit {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        self.firsts.set(self.firsts.get() + usize::from(is_first));
        Some(IdlePermit {
            budget: Rc::clone(self),
            is_first,
        })
    }
}

/// Permission to keep one idle connection, released on drop.
#[derive(Debug)]
pub struct IdlePermit {
    budget: Rc<IdleBudget>,
    is_first: bool,
}

impl Drop for IdlePermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.in_use.set(budget.in_use.get() - 1);
        let firsts = budget.firsts.get() - usize::from(self.is_first);
        budget.firsts.set(firsts);
    }
}
