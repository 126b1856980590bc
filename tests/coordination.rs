//! Tests leases, retried transactions, claims, slot shares and facts against an in-memory table.

#[path = "common/fake_table.rs"]
mod fake_table;
#[path = "common/runtime.rs"]
mod runtime;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use monoio::time::sleep;
use serde_json::json;

use zincpier::connection::PeerHeartbeat;
use zincpier::id::EntryId;
use zincpier::id::HostId;
use zincpier::id::Incarnation;
use zincpier::id::Revision;
use zincpier::process::EntryIdentity;
use zincpier::process::MemberSet;
use zincpier::process::MemberTracker;
use zincpier::process::PeerState;
use zincpier::process::RoleLease;
use zincpier::process::ShareManager;
use zincpier::process::SharedServer;
use zincpier::provider::transact_once;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::request::ClaimKey;
use zincpier::request::ClaimManager;
use zincpier::request::ClaimOutcome;
use zincpier::request::ClaimRow;
use zincpier::request::ClaimState;
use zincpier::version::FactKind;
use zincpier::version::FactStore;

use crate::fake_table::FakeTable;
use crate::runtime::run;

const LEASE_EXPIRY: Duration = Duration::from_millis(4_300);
const SLOTS: u32 = 8;

fn identity(name: &str, data_centre: &str) -> EntryIdentity {
    EntryIdentity {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        data_centre: data_centre.parse().unwrap(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn members(names: &[(&str, &str, bool)]) -> MemberSet {
    names
        .iter()
        .fold(MemberSet::new(), |set, (name, data_centre, lost)| {
            let mut member = identity(name, data_centre).member(false);
            member.lost = *lost;
            set.with_member(name.parse().unwrap(), member)
        })
}

fn heartbeat(name: &str, applied: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        facts: [Revision::new(applied); 3],
        hosts: Revision::new(0),
        text_in_force: Revision::new(0),
        applied_member_set: Revision::new(applied),
    }
}

fn servers() -> Vec<SharedServer> {
    let hosts = ["h1", "h2", "h3", "h4"].into_iter();
    hosts
        .map(|host| SharedServer {
            host: host.parse().unwrap(),
            data_centre: "east".parse().unwrap(),
            slots: SLOTS,
        })
        .collect()
}

fn share(manager: &ShareManager, host: &str, now: Instant) -> u32 {
    let host = host.parse::<HostId>().unwrap();
    manager.shares(&servers(), now)[&host].full
}

#[test]
fn late_write_of_a_frozen_holder_fails() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let first = RoleLease::new(Rc::clone(&table), identity("a", "east"), "controller");
        let second = RoleLease::new(Rc::clone(&table), identity("b", "east"), "controller");
        first.poll().await.unwrap();
        second.poll().await.unwrap();
        let late_transaction = first
            .fence(Transaction::new())
            .with_write("step", json!("by the first"));

        sleep(LEASE_EXPIRY).await;
        second.poll().await.unwrap();
        let outcome = table.transact(&late_transaction).await.unwrap();

        assert_eq!(second.epoch(), Some(2));
        assert_eq!(first.epoch(), None);
        assert!(matches!(outcome, TransactionOutcome::Conflict(_)));
        assert_eq!(table.row("step"), None);
    });
}

#[test]
fn released_lease_is_acquired_at_once() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let first = RoleLease::new(Rc::clone(&table), identity("a", "east"), "controller");
        let second = RoleLease::new(Rc::clone(&table), identity("b", "east"), "controller");
        first.poll().await.unwrap();

        first.release().await.unwrap();
        second.poll().await.unwrap();

        assert_eq!(second.epoch(), Some(2));
    });
}

#[test]
fn transaction_whose_answer_is_lost_takes_effect_once() {
    run(async {
        let table = FakeTable::default();
        table.lost_answers.set(1);
        let transaction = Transaction::new()
            .with_check("row", Revision::new(0))
            .with_write("row", json!(1))
            .with_write("receipt", json!("token"));
        let deadline = monoio::time::Instant::now() + Duration::from_secs(5);

        let outcome = transact_once(&table, &transaction, "receipt", deadline)
            .await
            .unwrap();

        assert_eq!(outcome, TransactionOutcome::Committed(Revision::new(1)));
        assert_eq!(table.row("row").unwrap().revision, Revision::new(1));
    });
}

#[test]
fn conflict_after_an_unanswered_attempt_is_reported() {
    run(async {
        let table = FakeTable::default();
        table.unresponsive.set(true);
        let transaction = Transaction::new()
            .with_check("row", Revision::new(0))
            .with_write("row", json!("mine"))
            .with_write("receipt", json!("token"));
        let deadline = monoio::time::Instant::now() + Duration::from_secs(5);
        let other = async {
            sleep(Duration::from_millis(150)).await;
            table.unresponsive.set(false);
            let competing = Transaction::new().with_write("row", json!("theirs"));
            table.transact(&competing).await.unwrap();
        };

        let committed = transact_once(&table, &transaction, "receipt", deadline);
        let (outcome, ()) = futures::future::join(committed, other).await;

        assert!(matches!(outcome.unwrap(), TransactionOutcome::Conflict(_)));
        assert_eq!(table.row("row").unwrap().value, json!("theirs"));
    });
}

fn claim_row(token: &str) -> ClaimRow {
    ClaimRow {
        token: token.to_owned(),
        fingerprint: "same".to_owned(),
        entry: "a".parse().unwrap(),
        incarnation: Incarnation::new(1),
        at_ms: 0,
        state: ClaimState::Claimed,
    }
}

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey::with_parts(&"notices".parse().unwrap(), None, key.as_bytes())
}

#[test]
fn lost_answer_to_one_claim_does_not_refuse_another() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let manager = Rc::new(ClaimManager::new(Rc::clone(&table)));
        let runner = Rc::clone(&manager);
        monoio::spawn(async move { runner.run().await });
        table.lost_answers.set(1);
        let deadline = monoio::time::Instant::now() + Duration::from_secs(1);

        let (one, other) = (claim_key("one"), claim_key("other"));
        let (one_row, other_row) = (claim_row("1"), claim_row("2"));
        let first = manager.claim(&one, &one_row, deadline);
        let second = async {
            sleep(Duration::from_millis(50)).await;
            manager.claim(&other, &other_row, deadline).await
        };
        let outcomes = futures::future::join(first, second).await;

        assert!(matches!(outcomes.0, ClaimOutcome::Granted(_)));
        assert!(matches!(outcomes.1, ClaimOutcome::Granted(_)));
    });
}

#[test]
fn claims_are_refused_at_once_while_the_table_does_not_answer() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let manager = Rc::new(ClaimManager::new(Rc::clone(&table)));
        let runner = Rc::clone(&manager);
        monoio::spawn(async move { runner.run().await });
        table.unresponsive.set(true);
        let deadline = || monoio::time::Instant::now() + Duration::from_secs(1);
        manager
            .claim(&claim_key("one"), &claim_row("1"), deadline())
            .await;

        let (key, row) = (claim_key("other"), claim_row("2"));
        let outcome = manager.claim(&key, &row, deadline()).now_or_never();

        assert!(matches!(outcome, Some(ClaimOutcome::Unavailable)));
    });
}

#[test]
fn facts_never_revert_in_any_order_of_arrival() {
    let store = FactStore::new();
    let updated = [3, 1, 5, 5, 4, 2].map(|revision| {
        let value = format!("{revision}");
        store.update_if_newer(FactKind::Text, Revision::new(revision), value.as_bytes())
    });

    assert_eq!(updated, [true, false, true, false, false, false]);
    assert_eq!(store.get(FactKind::Text).value, "5");
}

#[test]
fn heartbeat_of_an_older_incarnation_is_ignored() {
    let now = Instant::now();
    let mut tracker = MemberTracker::new(now);
    let mut newer = heartbeat("a", 7);
    newer.incarnation = Incarnation::new(9);

    let accepted = [
        tracker.record_heartbeat(&newer, now),
        tracker.record_heartbeat(&heartbeat("a", 8), now),
    ];

    assert_eq!(accepted, [true, false]);
    assert_eq!(
        tracker.applied_members(&"a".parse().unwrap()),
        Revision::new(7)
    );
}

/// New member sets reach the members at different times: one could grow before the other shrinks.
#[test]
fn shares_of_two_members_never_exceed_the_slots() {
    let start = Instant::now();
    let sets = [
        members(&[("a", "east", false)]),
        members(&[("a", "east", false), ("b", "east", false)]),
        members(&[("a", "east", true), ("b", "east", false)]),
        members(&[("a", "east", false), ("b", "east", false)]),
        members(&[("b", "east", false)]),
    ];
    let mut managers = ["a", "b"].map(|name| ShareManager::new(identity(name, "east"), start));
    let mut trackers = [MemberTracker::new(start), MemberTracker::new(start)];
    let mut random = 7_u64;
    let mut known = [0_usize, 0];

    for tick in 0..4_000_u64 {
        let now = start + Duration::from_millis(tick * 50);
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        for index in 0..2 {
            let due = (tick / 400) as usize;
            let arrives = (random >> (20 + index)) % 40 == 0;
            if known[index] < (due + 1).min(sets.len()) && arrives {
                let set = sets[known[index]].clone();
                known[index] += 1;
                managers[index].install_members(Revision::new(known[index] as u64), set, now);
            }
            let other = ["b", "a"][index];
            let applied = managers[1 - index].revision().get();
            trackers[index].record_heartbeat(&heartbeat(other, applied), now);
            // A poll of the platform confirms a member set only if it is the newest one there.
            if known[index] == (due + 1).min(sets.len()) {
                managers[index].record_confirmation(now);
            }
            managers[index].update(&trackers[index], now);
        }
        for host in ["h1", "h2", "h3", "h4"] {
            let sum = share(&managers[0], host, now) + share(&managers[1], host, now);
            assert!(
                sum <= SLOTS,
                "host {host}: {sum} slots used of {SLOTS} at tick {tick}, member sets known {known:?}"
            );
        }
    }
    assert_eq!(
        share(&managers[1], "h1", start + Duration::from_secs(200)),
        SLOTS
    );
}

#[test]
fn first_member_of_a_data_centre_waits_for_members_that_used_its_slots() {
    let start = Instant::now();
    let set = members(&[("a", "west", false), ("b", "east", false)]);
    let mut manager = ShareManager::new(identity("b", "east"), start);
    let mut tracker = MemberTracker::new(start);
    manager.install_members(Revision::new(2), set, start);
    tracker.record_heartbeat(&heartbeat("a", 1), start);
    manager.update(&tracker, start);
    let before = share(&manager, "h1", start);
    tracker.record_heartbeat(&heartbeat("a", 2), start);
    manager.update(&tracker, start);
    let after = share(&manager, "h1", start);

    assert_eq!((before, after), (0, SLOTS));
}

#[test]
fn first_member_of_a_data_centre_waits_no_longer_than_the_takeover_delay() {
    let start = Instant::now();
    let set = members(&[("a", "west", false), ("b", "east", false)]);
    let mut manager = ShareManager::new(identity("b", "east"), start);
    let tracker = MemberTracker::new(start);
    manager.install_members(Revision::new(2), set, start);

    let shares = [3_900, 4_000].map(|ms| {
        let now = start + Duration::from_millis(ms);
        manager.record_confirmation(now);
        manager.update(&tracker, now);
        share(&manager, "h1", now)
    });

    assert_eq!(shares, [0, SLOTS]);
}

#[test]
fn newly_applied_member_set_notifies_peers_once() {
    let (state, _) = PeerState::new(identity("a", "east"));
    let mut changes = state.facts.subscribe();
    changes.borrow_and_update();
    state.set_applied_members(Revision::new(3));
    let notified = changes.has_changed().unwrap();
    changes.borrow_and_update();
    state.set_applied_members(Revision::new(3));
    let notified_again = changes.has_changed().unwrap();

    assert!(notified);
    assert!(!notified_again);
}

#[test]
fn member_without_confirmation_falls_back_to_its_reserve() {
    let start = Instant::now();
    let set = members(&[("a", "east", false), ("b", "east", false)]);
    let mut manager = ShareManager::new(identity("a", "east"), start);
    let mut tracker = MemberTracker::new(start);
    manager.install_members(Revision::new(1), set, start);
    tracker.record_heartbeat(&heartbeat("b", 1), start);
    manager.update(&tracker, start);
    let confirmed = share(&manager, "h1", start);
    let unconfirmed = share(&manager, "h1", start + Duration::from_secs(4));

    assert_eq!((confirmed, unconfirmed), (4, 2));
}

#[test]
fn slots_of_a_data_centre_without_live_members_go_to_the_other_members() {
    let set = members(&[
        ("a", "east", true),
        ("b", "west", false),
        ("c", "west", false),
    ]);
    let host = "h1".parse::<HostId>().unwrap();
    let east = "east".parse().unwrap();
    let full = |name: &str| {
        let entry = name.parse::<EntryId>().unwrap();
        zincpier::process::slot_share(&set, &entry, &host, &east, SLOTS).full
    };

    assert_eq!(full("a") + full("b") + full("c"), SLOTS);
    assert_eq!(full("a"), 4);
}

/// After a freeze of this process timeouts start anew, which is no sign of life of a silent peer.
#[test]
fn end_of_a_freeze_does_not_count_as_a_heartbeat() {
    let start = Instant::now();
    let thaw = start + Duration::from_secs(10);
    let mut tracker = MemberTracker::new(start);
    let peer = heartbeat("a", 1);
    tracker.record_heartbeat(&peer, start);

    tracker.reset_after_freeze(thaw);
    let after_thaw = tracker.has_heartbeat_since(&peer.entry, start);
    tracker.record_heartbeat(&peer, thaw);
    let after_heartbeat = tracker.has_heartbeat_since(&peer.entry, start);

    assert!(tracker.is_alive(&peer.entry, thaw));
    assert!(!after_thaw);
    assert!(after_heartbeat);
}
