//! Requests in flight at each backend server, and the slots they may use.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Revision;

/// The time a lender waits beyond a loan's end before it uses the slot again.
const LOAN_MARGIN: Duration = Duration::from_millis(500);

/// What an entry host has in flight at a host that is to be stopped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// The placement that the entry host acts on.
    pub placement: Revision,
    /// Its requests in flight at the host.
    pub in_flight: u32,
}

/// Slots lent to or borrowed from another entry host until a time.
#[derive(Clone, Debug)]
struct SlotLoan {
    other: EntryId,
    slots: u32,
    until: Instant,
}

#[derive(Debug, Default)]
struct HostFlights {
    in_flight: u32,
    share: u32,
    lent: Vec<SlotLoan>,
    borrowed: Vec<SlotLoan>,
}

impl HostFlights {
    fn usable(&self, now: Instant) -> u32 {
        let lent = active_slots(&self.lent, now);
        let borrowed = active_slots(&self.borrowed, now);
        (self.share + borrowed).saturating_sub(lent)
    }

    fn forget_ended(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

fn active_slots(loans: &[SlotLoan], now: Instant) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.slots)
        .sum()
}

#[derive(Debug, Default)]
struct LedgerState {
    placement: Revision,
    closed: BTreeSet<HostId>,
    hosts: HashMap<HostId, HostFlights>,
}

/// Counts requests in flight and admits new ones within slots and placement.
///
/// Admission and the reports about a closed host go through one lock, so that a
/// report of nothing in flight at a placement is never followed by new work.
#[derive(Debug, Default)]
pub struct FlightLedger {
    state: Mutex<LedgerState>,
}

impl FlightLedger {
    /// Creates a ledger with nothing in flight and no slots.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a slot of a host if one is free and the host is open.
    pub fn begin(&self, host: &HostId, now: Instant) -> bool {
        let mut state = self.lock();
        if state.closed.contains(host) {
            return false;
        }
        let Some(flights) = state.hosts.get_mut(host) else {
            return false;
        };
        if flights.in_flight >= flights.usable(now) {
            return false;
        }
        flights.in_flight += 1;
        true
    }

    /// Gives a slot back.
    pub fn end(&self, host: &HostId) {
        if let Some(flights) = self.lock().hosts.get_mut(host) {
            flights.in_flight = flights.in_flight.saturating_sub(1);
        }
    }

    /// Returns the requests in flight and the usable slots of a host.
    pub fn load(&self, host: &HostId, now: Instant) -> (u32, u32) {
        let state = self.lock();
        match state.hosts.get(host) {
            Some(flights) if !state.closed.contains(host) => {
                (flights.in_flight, flights.usable(now))
            }
            _ => (0, 0),
        }
    }

    /// Closes the hosts of a placement and opens all others.
    pub fn install_placement(&self, placement: Revision, closed: BTreeSet<HostId>) {
        let mut state = self.lock();
        if placement >= state.placement {
            state.placement = placement;
            state.closed = closed;
        }
    }

    /// Sets the share of each host's slots.
    pub fn set_shares(&self, shares: &HashMap<HostId, u32>) {
        let mut state = self.lock();
        for (host, flights) in &mut state.hosts {
            flights.share = shares.get(host).copied().unwrap_or(0);
        }
        for (host, share) in shares {
            state.hosts.entry(host.clone()).or_default().share = *share;
        }
        state
            .hosts
            .retain(|host, flights| flights.in_flight > 0 || shares.contains_key(host));
    }

    /// Tells whether no host has more in flight than its usable slots.
    pub fn is_within_shares(&self, now: Instant) -> bool {
        let state = self.lock();
        state
            .hosts
            .values()
            .all(|flights| flights.in_flight <= flights.usable(now))
    }

    /// Reports what is in flight at a host.
    pub fn drain_report(&self, host: &HostId) -> DrainReport {
        let state = self.lock();
        let flights = state.hosts.get(host);
        DrainReport {
            placement: state.placement,
            in_flight: flights.map_or(0, |flights| flights.in_flight),
        }
    }

    /// Lends up to `slots` free slots of a host to a peer for `time`.
    ///
    /// Half of what is free stays here. A repeated loan replaces the earlier one.
    pub fn lend(
        &self,
        host: &HostId,
        borrower: &EntryId,
        slots: u32,
        time: Duration,
        now: Instant,
    ) -> u32 {
        let mut state = self.lock();
        if state.closed.contains(host) {
            return 0;
        }
        let Some(flights) = state.hosts.get_mut(host) else {
            return 0;
        };
        flights.forget_ended(now);
        let held = loan_of(&flights.lent, borrower);
        let free = flights.usable(now).saturating_sub(flights.in_flight);
        let granted = slots
            .min(held + free.div_ceil(2))
            .min(held + free)
            .max(held);
        flights.lent.retain(|loan| loan.other != *borrower);
        if granted > 0 {
            flights.lent.push(SlotLoan {
                other: borrower.clone(),
                slots: granted,
                until: now + time + LOAN_MARGIN,
            });
        }
        granted
    }

    /// Notes slots of a host that a peer has lent until a time.
    pub fn borrow(&self, host: &HostId, lender: &EntryId, slots: u32, until: Instant) {
        let mut state = self.lock();
        let flights = state.hosts.entry(host.clone()).or_default();
        flights.forget_ended(Instant::now());
        flights.borrowed.retain(|loan| loan.other != *lender);
        flights.borrowed.push(SlotLoan {
            other: lender.clone(),
            slots,
            until,
        });
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn loan_of(loans: &[SlotLoan], other: &EntryId) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.other == *other)
        .map(|loan| loan.slots)
        .sum()
}
