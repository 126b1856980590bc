//! Which hosts were given orders lately, so that the next controller keeps its distance.
//!
//! Load pattern: the controller is restarted or lost in the middle of a rise. Its successor
//! has to move hosts at once; only those that its predecessor gave an order lately must wait.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::HostId;

/// The least time between orders of two controllers for one host, in ms: the platform's
/// bound of 3 s from the earlier holder's last order, and half a look.
const TAKEOVER_PAUSE_MS: u64 = 3_150;

/// The row with the ages of the latest orders; written beside the leader row while there
/// are any.
pub const ORDERS_KEY: &str = "control/orders";

/// The ages in ms of the latest orders, by host, when the row was written.
pub type OrderAges = BTreeMap<HostId, u64>;

/// What is known of one host's latest order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostOrder {
    /// It may be under way.
    Open,
    /// It was settled at this time, in ms.
    Settled(u64),
    /// An earlier controller gave it at this time or before, in ms.
    Inherited(u64),
}

/// The latest orders for hosts, of this controller and of those before it.
#[derive(Debug, Default)]
pub struct HostOrders {
    orders: HashMap<HostId, HostOrder>,
    /// Until then no host may be given an order, in ms: earlier orders are not known.
    barred_until_ms: u64,
}

impl HostOrders {
    /// Creates the orders of a controller that takes over at `now_ms`; without ages any host
    /// may have been given an order lately.
    pub fn new(inherited: Option<&OrderAges>, now_ms: u64) -> Self {
        let Some(ages) = inherited else {
            return Self {
                orders: HashMap::new(),
                barred_until_ms: now_ms + TAKEOVER_PAUSE_MS,
            };
        };
        let order = |(host, age_ms): (&HostId, &u64)| {
            let at_ms = now_ms.saturating_sub(*age_ms);
            (host.clone(), HostOrder::Inherited(at_ms))
        };
        Self {
            orders: ages.iter().map(order).collect(),
            barred_until_ms: 0,
        }
    }

    /// Notes that a host is about to be given an order.
    pub fn begin(&mut self, host: &HostId) {
        self.orders.insert(host.clone(), HostOrder::Open);
    }

    /// Notes that an order was answered, was not sent, or will get no answer.
    pub fn settle(&mut self, host: &HostId, now_ms: u64) {
        self.orders.insert(host.clone(), HostOrder::Settled(now_ms));
    }

    /// Tells whether this controller may give a host an order.
    pub fn may_order(&self, host: &HostId, now_ms: u64) -> bool {
        now_ms >= self.barred_until_ms && !self.is_inherited(host, now_ms)
    }

    /// Tells whether an earlier controller gave a host an order lately.
    pub fn is_inherited(&self, host: &HostId, now_ms: u64) -> bool {
        let at_ms = self.inherited_ms(host);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + TAKEOVER_PAUSE_MS)
    }

    /// Returns the latest time at which an earlier controller may have given a host its
    /// latest order, in ms.
    pub fn inherited_ms(&self, host: &HostId) -> Option<u64> {
        match self.orders.get(host) {
            Some(HostOrder::Inherited(at_ms)) => Some(*at_ms),
            _ => None,
        }
    }

    /// Returns the ages of the latest orders and forgets those that concern nobody any more;
    /// nothing while earlier orders are not known.
    pub fn ages(&mut self, now_ms: u64) -> Option<OrderAges> {
        self.orders.retain(|_, order| match *order {
            HostOrder::Open => true,
            HostOrder::Settled(at_ms) | HostOrder::Inherited(at_ms) => {
                now_ms < at_ms + TAKEOVER_PAUSE_MS
            }
        });
        if now_ms < self.barred_until_ms {
            return None;
        }
        let age = |order: &HostOrder| match *order {
            HostOrder::Open => 0,
            HostOrder::Settled(at_ms) | HostOrder::Inherited(at_ms) => now_ms - at_ms,
        };
        let ages = self.orders.iter();
        Some(
            ages.map(|(host, order)| (host.clone(), age(order)))
                .collect(),
        )
    }
}
