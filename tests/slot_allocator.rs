//! Tests loans of slots between the allocators of two entry hosts.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use zincpier::id::EntryId;
use zincpier::id::HostId;
use zincpier::process::SlotAllocator;
use zincpier::process::SlotShare;

const LOAN_DURATION: Duration = Duration::from_secs(6);

fn host() -> HostId {
    "h1".parse().unwrap()
}

fn entry(name: &str) -> EntryId {
    name.parse().unwrap()
}

fn allocator_with_share(share: u32) -> SlotAllocator {
    let allocator = SlotAllocator::new();
    let share = SlotShare {
        reserve: 0,
        full: share,
    };
    allocator.set_shares(&HashMap::from([(host(), share)]));
    allocator
}

/// Acquires slots until none is free and returns how many were acquired.
fn acquire_all(allocator: &SlotAllocator, now: Instant) -> u32 {
    (0..100)
        .take_while(|_| allocator.acquire(&host(), now, now))
        .count() as u32
}

/// A borrower that asks again for fewer slots may still use all of its loan. A lender that took the
/// difference back would use those slots too.
#[test]
fn smaller_request_does_not_shrink_a_loan_in_use() {
    let now = Instant::now();
    let (lender, borrower) = (allocator_with_share(8), allocator_with_share(0));
    let first = lender.lend(&host(), &entry("b"), 4, LOAN_DURATION, now);
    borrower.borrow(&host(), &entry("a"), first, now + LOAN_DURATION);
    let used = acquire_all(&borrower, now);

    let second = lender.lend(&host(), &entry("b"), 1, LOAN_DURATION, now);
    borrower.borrow(&host(), &entry("a"), second, now + LOAN_DURATION);

    assert!(used + acquire_all(&borrower, now) + acquire_all(&lender, now) <= 8);
}

/// If a loan were returned while a request in flight uses it, the lender would use the same slot.
#[test]
fn loan_with_requests_in_flight_is_not_returned() {
    let now = Instant::now();
    let borrower = allocator_with_share(0);
    borrower.borrow(&host(), &entry("a"), 2, now + LOAN_DURATION);
    let ending = borrower.loans_ending_before(now + LOAN_DURATION * 2, now);
    let acquired = borrower.acquire(&host(), now, now);

    let returned = borrower.return_loan(&ending[0].host, &ending[0].lender);

    assert!(acquired);
    assert!(!returned);
}

/// The lender waits for a margin after the loan's end. Without it, a request of the borrower that
/// is just ending would share its slot with a request of the lender.
#[test]
fn loan_ends_at_the_borrower_before_the_lender() {
    let now = Instant::now();
    let (lender, borrower) = (allocator_with_share(8), allocator_with_share(0));
    let granted = lender.lend(&host(), &entry("b"), 4, LOAN_DURATION, now);
    borrower.borrow(&host(), &entry("a"), granted, now + LOAN_DURATION);

    let at_end = now + LOAN_DURATION;

    assert!(!borrower.acquire(&host(), at_end, at_end));
    assert_eq!(acquire_all(&lender, at_end), 4);
    assert_eq!(acquire_all(&lender, at_end + Duration::from_secs(1)), 4);
}

/// A request that is still in flight after the loan's end would share its slot with a request of
/// the lender.
#[test]
fn request_that_outlasts_a_loan_does_not_use_it() {
    let now = Instant::now();
    let borrower = allocator_with_share(0);
    borrower.borrow(&host(), &entry("a"), 4, now + LOAN_DURATION);

    assert!(!borrower.acquire(&host(), now, now + LOAN_DURATION * 2));
    assert!(borrower.acquire(&host(), now, now + LOAN_DURATION / 2));
}

/// Each loan takes half of the free slots, so loans to several borrowers could use up the reserve.
#[test]
fn reserve_is_never_lent() {
    let now = Instant::now();
    let lender = SlotAllocator::new();
    let share = SlotShare {
        reserve: 4,
        full: 8,
    };
    lender.set_shares(&HashMap::from([(host(), share)]));

    let lent =
        ["b", "c", "d", "e"].map(|name| lender.lend(&host(), &entry(name), 8, LOAN_DURATION, now));

    assert_eq!(lent.iter().sum::<u32>(), 4);
}

/// If lender and borrower count a slot as free at the same time, more requests are in flight than
/// the server has slots. Runs random requests, loans, renewals and returns.
#[test]
fn random_loans_never_exceed_the_slots() {
    let start = Instant::now();
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (lender, borrower) = (SlotAllocator::new(), allocator_with_share(0));
        let share = SlotShare {
            reserve: 4,
            full: 8,
        };
        lender.set_shares(&HashMap::from([(host(), share)]));
        let mut borrower_deadlines: Vec<Instant> = Vec::new();
        let mut lender_in_flight: u32 = 0;

        for tick in 0..20_000_u64 {
            let now = start + Duration::from_millis(tick * 5);
            borrower_deadlines.retain(|deadline| {
                let ended = *deadline <= now || random.random_bool(0.05);
                if ended {
                    borrower.release(&host());
                }
                !ended
            });
            if lender_in_flight > 0 && random.random_bool(0.3) {
                lender.release(&host());
                lender_in_flight -= 1;
            }
            let load = if tick % 4_000 < 2_000 { 0.9 } else { 0.1 };
            if random.random_bool(load) && lender.acquire(&host(), now, now) {
                lender_in_flight += 1;
            }
            let deadline = now + Duration::from_millis(random.random_range(1..2_500));
            if random.random_bool(load) {
                if borrower.acquire(&host(), now, deadline) {
                    borrower_deadlines.push(deadline);
                } else {
                    let wanted = random.random_range(1..8);
                    let granted = lender.lend(&host(), &entry("b"), wanted, LOAN_DURATION, now);
                    borrower.borrow(&host(), &entry("a"), granted, now + LOAN_DURATION);
                }
            }
            for loan in borrower.loans_ending_before(now + Duration::from_secs(4), now) {
                let wanted = match borrower.return_loan(&loan.host, &loan.lender) {
                    true => 0,
                    false => loan.slots,
                };
                let granted = lender.lend(&host(), &entry("b"), wanted, LOAN_DURATION, now);
                borrower.borrow(&host(), &entry("a"), granted, now + LOAN_DURATION);
            }
            let in_flight = lender_in_flight as usize + borrower_deadlines.len();
            assert!(
                in_flight <= 8,
                "{in_flight} requests in flight on 8 slots, seed {seed}, tick {tick}"
            );
        }
    }
}
