//! Loans of slots between two ledgers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use zincpier::id::EntryId;
use zincpier::id::HostId;
use zincpier::process::FlightLedger;
use zincpier::process::SlotShare;

const LOAN: Duration = Duration::from_secs(6);

fn host() -> HostId {
    "h1".parse().unwrap()
}

fn entry(name: &str) -> EntryId {
    name.parse().unwrap()
}

fn ledger_with_share(share: u32) -> FlightLedger {
    let ledger = FlightLedger::new();
    let share = SlotShare {
        reserve: 0,
        full: share,
    };
    ledger.set_shares(&HashMap::from([(host(), share)]));
    ledger
}

/// Begins requests until no slot is left and returns how many began.
fn begin_all(ledger: &FlightLedger, now: Instant) -> u32 {
    (0..100)
        .take_while(|_| ledger.begin(&host(), now, now))
        .count() as u32
}

#[test]
fn smaller_wish_does_not_shrink_a_loan_in_use() {
    let now = Instant::now();
    let (lender, borrower) = (ledger_with_share(8), ledger_with_share(0));
    let first = lender.lend(&host(), &entry("b"), 4, LOAN, now);
    borrower.borrow(&host(), &entry("a"), first, now + LOAN);
    let used = begin_all(&borrower, now);

    let second = lender.lend(&host(), &entry("b"), 1, LOAN, now);
    borrower.borrow(&host(), &entry("a"), second, now + LOAN);

    assert!(used + begin_all(&borrower, now) + begin_all(&lender, now) <= 8);
}

#[test]
fn loan_with_requests_in_flight_is_not_given_back() {
    let now = Instant::now();
    let borrower = ledger_with_share(0);
    borrower.borrow(&host(), &entry("a"), 2, now + LOAN);
    let ending = borrower.loans_ending_before(now + LOAN * 2);
    let began = borrower.begin(&host(), now, now);

    let given_back = borrower.give_back(&ending[0].host, &ending[0].lender);

    assert!(began);
    assert!(!given_back);
}

#[test]
fn loan_ends_at_the_borrower_before_the_lender() {
    let now = Instant::now();
    let (lender, borrower) = (ledger_with_share(8), ledger_with_share(0));
    let granted = lender.lend(&host(), &entry("b"), 4, LOAN, now);
    borrower.borrow(&host(), &entry("a"), granted, now + LOAN);

    let at_end = now + LOAN;

    assert!(!borrower.begin(&host(), at_end, at_end));
    assert_eq!(begin_all(&lender, at_end), 4);
    assert_eq!(begin_all(&lender, at_end + Duration::from_secs(1)), 4);
}

#[test]
fn request_that_outlasts_a_loan_does_not_use_it() {
    let now = Instant::now();
    let borrower = ledger_with_share(0);
    borrower.borrow(&host(), &entry("a"), 4, now + LOAN);

    assert!(!borrower.begin(&host(), now, now + LOAN * 2));
    assert!(borrower.begin(&host(), now, now + LOAN / 2));
}

#[test]
fn reserve_is_never_lent() {
    let now = Instant::now();
    let lender = FlightLedger::new();
    let share = SlotShare {
        reserve: 4,
        full: 8,
    };
    lender.set_shares(&HashMap::from([(host(), share)]));

    let lent = ["b", "c", "d", "e"].map(|name| lender.lend(&host(), &entry(name), 8, LOAN, now));

    assert_eq!(lent.iter().sum::<u32>(), 4);
}
