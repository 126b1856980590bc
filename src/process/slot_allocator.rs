//! Allocates the slots of backend servers to requests, within shares, loans and placement.

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

/// How long after a loan's end the lender waits before it uses the slots again, so that the
/// loan always ends at the borrower first.
const LOAN_MARGIN: Duration = Duration::from_millis(500);

/// The requests that an entry host has in flight at a host that is to be stopped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// The revision of the placement that the entry host has applied.
    pub placement: Revision,
    /// The number of its requests in flight at the host.
    pub in_flight: u32,
}

/// Slots lent to or borrowed from another entry host, until a given time.
#[derive(Clone, Debug)]
struct SlotLoan {
    peer: EntryId,
    slots: u32,
    until: Instant,
}

/// The slots of one host that this entry host may use, uses, lends and borrows.
#[derive(Debug, Default)]
struct SlotUsage {
    in_flight: u32,
    /// The full share, which includes the reserve.
    share: u32,
    reserve: u32,
    lent: Vec<SlotLoan>,
    borrowed: Vec<SlotLoan>,
}

impl SlotUsage {
    /// Returns the slots available to a request that ends by `deadline`.
    fn usable(&self, now: Instant, deadline: Instant) -> u32 {
        let lent = active_slots(&self.lent, now);
        let borrowed = active_slots(&self.borrowed, deadline.max(now));
        (self.share + borrowed).saturating_sub(lent)
    }

    fn set_share(&mut self, share: SlotShare) {
        self.share = share.full;
        self.reserve = share.reserve;
    }

    /// Returns whether the slots in flight and lent fit into the share and the loans.
    fn is_within_share(&self, now: Instant) -> bool {
        let borrowed = active_slots(&self.borrowed, now);
        self.in_flight + active_slots(&self.lent, now) <= self.share + borrowed
    }

    /// Returns how many more slots may be lent: half of the free ones, rounded up, but none of the
    /// reserve.
    fn lendable(&self, now: Instant) -> u32 {
        let lent = active_slots(&self.lent, now);
        let free = self.share.saturating_sub(lent + self.in_flight);
        let above_reserve = self.share.saturating_sub(lent + self.reserve);
        free.div_ceil(2).min(above_reserve)
    }

    fn remove_ended(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

/// Returns the total slots of the loans that end after `time`.
fn active_slots(loans: &[SlotLoan], time: Instant) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.until > time)
        .map(|loan| loan.slots)
        .sum()
}

/// Slots of a host that a peer has lent to this entry host.
#[derive(Clone, Debug)]
pub struct BorrowedSlots {
    /// The host that the slots belong to.
    pub host: HostId,
    /// The entry host that has lent them.
    pub lender: EntryId,
    /// The number of slots lent.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct AllocatorState {
    placement: Revision,
    closed: BTreeSet<HostId>,
    /// Whether [`SlotAllocator::stop_lending`] was called; no new loan is granted then.
    lending_ended: bool,
    hosts: HashMap<HostId, SlotUsage>,
}

/// Counts requests in flight and admits new ones within the free slots of open hosts.
///
/// Admission and drain reports take the same lock. Once a report counts no request in flight at a
/// closed host, no request is admitted to that host under the placement in the report.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    state: Mutex<AllocatorState>,
}

impl SlotAllocator {
    /// Creates an allocator without slots and without requests in flight.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a slot of an open host for a request that ends by `deadline`; returns `false` if
    /// none is free.
    pub fn acquire(&self, host: &HostId, now: Instant, deadline: Instant) -> bool {
        let mut state = self.lock();
        if state.closed.contains(host) {
            return false;
        }
        let Some(usage) = state.hosts.get_mut(host) else {
            return false;
        };
        if usage.in_flight >= usage.usable(now, deadline) {
            return false;
        }
        usage.in_flight += 1;
        true
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&self, host: &HostId) {
        if let Some(usage) = self.lock().hosts.get_mut(host) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Returns the requests in flight and the slots available to a request that ends by
    /// `deadline`; both are 0 for a closed host.
    pub fn load(&self, host: &HostId, now: Instant, deadline: Instant) -> (u32, u32) {
        let state = self.lock();
        match state.hosts.get(host) {
            Some(usage) if !state.closed.contains(host) => {
                (usage.in_flight, usage.usable(now, deadline))
            }
            _ => (0, 0),
        }
    }

    /// Closes the given hosts and opens all others; an older placement is ignored.
    pub fn install_placement(&self, placement: Revision, closed: BTreeSet<HostId>) {
        let mut state = self.lock();
        if placement >= state.placement {
            state.placement = placement;
            state.closed = closed;
        }
    }

    /// Sets the slot share at each host; hosts that are not listed get none.
    pub fn set_shares(&self, shares: &HashMap<HostId, SlotShare>) {
        let mut state = self.lock();
        for usage in state.hosts.values_mut() {
            usage.set_share(SlotShare::default());
        }
        for (host, share) in shares {
            let usage = state.hosts.entry(host.clone()).or_default();
            usage.set_share(*share);
        }
        state.hosts.retain(|host, usage| {
            usage.in_flight > 0 || !usage.borrowed.is_empty() || shares.contains_key(host)
        });
    }

    /// Returns whether, at every host, the slots in flight and lent fit into the share and the
    /// loans from peers.
    pub fn is_within_shares(&self, now: Instant) -> bool {
        let state = self.lock();
        state.hosts.values().all(|usage| usage.is_within_share(now))
    }

    /// Returns the requests in flight at a host and the revision of the placement in force.
    pub fn drain_report(&self, host: &HostId) -> DrainReport {
        let state = self.lock();
        let usage = state.hosts.get(host);
        DrainReport {
            placement: state.placement,
            in_flight: usage.map_or(0, |usage| usage.in_flight),
        }
    }

    /// Lends up to `slots` free slots of a host to a peer for `time` and returns the number lent.
    ///
    /// Half of the free slots stay with the lender. A repeated loan replaces the earlier one and
    /// is never smaller, since its slots may be in use; 0 slots end the loan.
    pub fn lend(
        &self,
        host: &HostId,
        borrower: &EntryId,
        slots: u32,
        time: Duration,
        now: Instant,
    ) -> u32 {
        let mut state = self.lock();
        let no_new_loans = state.closed.contains(host) || state.lending_ended;
        let Some(usage) = state.hosts.get_mut(host) else {
            return 0;
        };
        usage.remove_ended(now);
        let already_lent = loaned_slots(&usage.lent, borrower);
        let additional = if no_new_loans { 0 } else { usage.lendable(now) };
        let granted = match slots {
            0 => 0,
            wanted => wanted.min(already_lent + additional).max(already_lent),
        };
        usage.lent.retain(|loan| loan.peer != *borrower);
        if granted > 0 {
            usage.lent.push(SlotLoan {
                peer: borrower.clone(),
                slots: granted,
                until: now + time + LOAN_MARGIN,
            });
        }
        granted
    }

    /// Stops lending; loans that are running are kept until they end.
    pub fn stop_lending(&self) {
        self.lock().lending_ended = true;
    }

    /// Returns whether any loan to a peer is running.
    pub fn has_lent(&self, now: Instant) -> bool {
        let state = self.lock();
        let mut hosts = state.hosts.values();
        hosts.any(|usage| active_slots(&usage.lent, now) > 0)
    }

    /// Ends a loan from a peer if no request in flight needs it; returns whether it has ended.
    pub fn return_loan(&self, host: &HostId, lender: &EntryId) -> bool {
        let mut state = self.lock();
        let Some(usage) = state.hosts.get_mut(host) else {
            return true;
        };
        let unneeded = usage.in_flight <= usage.share;
        if unneeded {
            usage.borrowed.retain(|loan| loan.peer != *lender);
        }
        unneeded
    }

    /// Records slots of a host that a peer has lent until a given time; 0 slots end the loan.
    pub fn borrow(&self, host: &HostId, lender: &EntryId, slots: u32, until: Instant) {
        let mut state = self.lock();
        let usage = state.hosts.entry(host.clone()).or_default();
        usage.borrowed.retain(|loan| loan.peer != *lender);
        if slots > 0 {
            usage.borrowed.push(SlotLoan {
                peer: lender.clone(),
                slots,
                until,
            });
        }
    }

    /// Returns the loans from peers that end before `time`; discards loans that have ended.
    pub fn loans_ending_before(&self, time: Instant, now: Instant) -> Vec<BorrowedSlots> {
        let mut state = self.lock();
        let mut ending = Vec::new();
        for (host, usage) in &mut state.hosts {
            usage.remove_ended(now);
            let loans = usage.borrowed.iter().filter(|loan| loan.until < time);
            ending.extend(loans.map(|loan| BorrowedSlots {
                host: host.clone(),
                lender: loan.peer.clone(),
                slots: loan.slots,
            }));
        }
        ending
    }

    fn lock(&self) -> MutexGuard<'_, AllocatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the total slots of the loans to or from one peer.
fn loaned_slots(loans: &[SlotLoan], peer: &EntryId) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.peer == *peer)
        .map(|loan| loan.slots)
        .sum()
}
