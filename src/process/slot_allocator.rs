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
use crate::process::SlotShare;

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
struct SlotUsage {
    in_flight: u32,
    share: u32,
    reserve: u32,
    lent: Vec<SlotLoan>,
    borrowed: Vec<SlotLoan>,
}

impl SlotUsage {
    /// Returns the slots that a request may use which ends by `deadline`.
    fn usable(&self, now: Instant, deadline: Instant) -> u32 {
        let lent = active_slots(&self.lent, now);
        let borrowed = active_slots(&self.borrowed, deadline.max(now));
        (self.share + borrowed).saturating_sub(lent)
    }

    fn set_share(&mut self, share: SlotShare) {
        self.share = share.full;
        self.reserve = share.reserve;
    }

    /// Tells whether what is in flight and lent fits into the share.
    fn is_within_share(&self, now: Instant) -> bool {
        let borrowed = active_slots(&self.borrowed, now);
        self.in_flight + active_slots(&self.lent, now) <= self.share + borrowed
    }

    /// Returns how many more slots may be lent: half of what is free, and none of the reserve.
    fn lendable(&self, now: Instant) -> u32 {
        let lent = active_slots(&self.lent, now);
        let free = self.share.saturating_sub(lent + self.in_flight);
        let above_reserve = self.share.saturating_sub(lent + self.reserve);
        free.div_ceil(2).min(above_reserve)
    }

    fn forget_ended(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

/// Returns the slots of the loans that last beyond `time`.
fn active_slots(loans: &[SlotLoan], time: Instant) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.until > time)
        .map(|loan| loan.slots)
        .sum()
}

/// Slots of a host that a peer has lent.
#[derive(Clone, Debug)]
pub struct BorrowedHost {
    /// The host.
    pub host: HostId,
    /// The lender.
    pub lender: EntryId,
    /// The slots lent.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct AllocatorState {
    placement: Revision,
    closed: BTreeSet<HostId>,
    lending_ended: bool,
    hosts: HashMap<HostId, SlotUsage>,
}

/// Counts requests in flight and admits new ones within slots and placement.
///
/// Admission and the reports about a closed host go through one lock, so that a
/// report of nothing in flight at a placement is never followed by new work.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    state: Mutex<AllocatorState>,
}

impl SlotAllocator {
    /// Creates a ledger with nothing in flight and no slots.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a slot of an open host for a request that ends by `deadline`, if one is free.
    pub fn acquire(&self, host: &HostId, now: Instant, deadline: Instant) -> bool {
        let mut state = self.lock();
        if state.closed.contains(host) {
            return false;
        }
        let Some(flights) = state.hosts.get_mut(host) else {
            return false;
        };
        if flights.in_flight >= flights.usable(now, deadline) {
            return false;
        }
        flights.in_flight += 1;
        true
    }

    /// Gives a slot back.
    pub fn release(&self, host: &HostId) {
        if let Some(flights) = self.lock().hosts.get_mut(host) {
            flights.in_flight = flights.in_flight.saturating_sub(1);
        }
    }

    /// Returns the requests in flight and the slots that a request may use which ends by `deadline`.
    pub fn load(&self, host: &HostId, now: Instant, deadline: Instant) -> (u32, u32) {
        let state = self.lock();
        match state.hosts.get(host) {
            Some(flights) if !state.closed.contains(host) => {
                (flights.in_flight, flights.usable(now, deadline))
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
    pub fn set_shares(&self, shares: &HashMap<HostId, SlotShare>) {
        let mut state = self.lock();
        for flights in state.hosts.values_mut() {
            flights.set_share(SlotShare::default());
        }
        for (host, share) in shares {
            let flights = state.hosts.entry(host.clone()).or_default();
            flights.set_share(*share);
        }
        state.hosts.retain(|host, flights| {
            flights.in_flight > 0 || !flights.borrowed.is_empty() || shares.contains_key(host)
        });
    }

    /// Tells whether no host has more in flight than its usable slots.
    pub fn is_within_shares(&self, now: Instant) -> bool {
        let state = self.lock();
        state
            .hosts
            .values()
            .all(|flights| flights.is_within_share(now))
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
    /// Half of what is free stays here. A repeated loan takes the place of the
    /// earlier one and is never smaller, since its slots may be in use; a loan
    /// of no slots ends it.
    pub fn lend(
        &self,
        host: &HostId,
        borrower: &EntryId,
        slots: u32,
        time: Duration,
        now: Instant,
    ) -> u32 {
        let mut state = self.lock();
        let closed = state.closed.contains(host) || state.lending_ended;
        let Some(flights) = state.hosts.get_mut(host) else {
            return 0;
        };
        flights.forget_ended(now);
        let held = loan_of(&flights.lent, borrower);
        let more = if closed { 0 } else { flights.lendable(now) };
        let granted = match slots {
            0 => 0,
            wanted => wanted.min(held + more).max(held),
        };
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

    /// Lends no further slots.
    pub fn stop_lending(&self) {
        self.lock().lending_ended = true;
    }

    /// Tells whether any slot is lent.
    pub fn has_lent(&self, now: Instant) -> bool {
        let state = self.lock();
        let mut hosts = state.hosts.values();
        hosts.any(|flights| active_slots(&flights.lent, now) > 0)
    }

    /// Ends a loan from a peer if no request in flight needs it, and returns whether it has ended.
    pub fn return_loan(&self, host: &HostId, lender: &EntryId) -> bool {
        let mut state = self.lock();
        let Some(flights) = state.hosts.get_mut(host) else {
            return true;
        };
        let unneeded = flights.in_flight <= flights.share;
        if unneeded {
            flights.borrowed.retain(|loan| loan.other != *lender);
        }
        unneeded
    }

    /// Notes slots of a host that a peer has lent until a time; no slots end the loan.
    pub fn borrow(&self, host: &HostId, lender: &EntryId, slots: u32, until: Instant) {
        let mut state = self.lock();
        let flights = state.hosts.entry(host.clone()).or_default();
        flights.borrowed.retain(|loan| loan.other != *lender);
        if slots > 0 {
            flights.borrowed.push(SlotLoan {
                other: lender.clone(),
                slots,
                until,
            });
        }
    }

    /// Returns the loans from peers that end before `time`.
    pub fn loans_ending_before(&self, time: Instant, now: Instant) -> Vec<BorrowedHost> {
        let mut state = self.lock();
        let mut ending = Vec::new();
        for (host, flights) in &mut state.hosts {
            flights.forget_ended(now);
            let loans = flights.borrowed.iter().filter(|loan| loan.until < time);
            ending.extend(loans.map(|loan| BorrowedHost {
                host: host.clone(),
                lender: loan.other.clone(),
                slots: loan.slots,
            }));
        }
        ending
    }

    fn lock(&self) -> MutexGuard<'_, AllocatorState> {
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
