//! Leases, settled transactions, shares and facts against a small table.

#[path = "common/fake_table.rs"]
mod fake_table;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use monoio::time::sleep;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use serde_json::json;

use zincpier::connection::PeerBeat;
use zincpier::id::EntryId;
use zincpier::id::HostId;
use zincpier::id::Incarnation;
use zincpier::id::Revision;
use zincpier::platform::transact_once;
use zincpier::platform::TableService;
use zincpier::platform::Transaction;
use zincpier::platform::TransactionOutcome;
use zincpier::process::EntryIdentity;
use zincpier::process::MemberSet;
use zincpier::process::MemberTracker;
use zincpier::process::RoleLease;
use zincpier::process::ShareKeeper;
use zincpier::process::SharedServer;
use zincpier::version::FactKind;
use zincpier::version::FactStore;

use crate::fake_table::FakeTable;

const LEASE_LAPSE: Duration = Duration::from_millis(4_300);
const SLOTS: u32 = 8;

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(future)
}

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

fn beat(name: &str, settled: u64) -> PeerBeat {
    PeerBeat {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        facts: [Revision::new(settled); 3],
        hosts: Revision::new(0),
        text_in_force: Revision::new(0),
        settled: Revision::new(settled),
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

fn share(keeper: &ShareKeeper, host: &str, now: Instant) -> u32 {
    let host = host.parse::<HostId>().unwrap();
    keeper.shares(&servers(), now)[&host].full
}

#[test]
fn late_write_of_a_paused_holder_fails() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let first = RoleLease::new(Rc::clone(&table), identity("a", "east"), "controller");
        let second = RoleLease::new(Rc::clone(&table), identity("b", "east"), "controller");
        first.look().await.unwrap();
        second.look().await.unwrap();
        let late = first
            .fence(Transaction::new())
            .with_write("step", json!("by the first"));

        sleep(LEASE_LAPSE).await;
        second.look().await.unwrap();
        let outcome = table.transact(&late).await.unwrap();

        assert_eq!(second.epoch(), Some(2));
        assert_eq!(first.epoch(), None);
        assert!(matches!(outcome, TransactionOutcome::Conflict(_)));
        assert_eq!(table.row("step"), None);
    });
}

#[test]
fn lease_given_up_is_taken_at_once() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let first = RoleLease::new(Rc::clone(&table), identity("a", "east"), "controller");
        let second = RoleLease::new(Rc::clone(&table), identity("b", "east"), "controller");
        first.look().await.unwrap();

        first.give_up().await.unwrap();
        second.look().await.unwrap();

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
fn real_conflict_after_a_silence_is_a_conflict() {
    run(async {
        let table = FakeTable::default();
        table.silent.set(true);
        let transaction = Transaction::new()
            .with_check("row", Revision::new(0))
            .with_write("row", json!("mine"))
            .with_write("receipt", json!("token"));
        let deadline = monoio::time::Instant::now() + Duration::from_secs(5);
        let other = async {
            sleep(Duration::from_millis(150)).await;
            table.silent.set(false);
            let rival = Transaction::new().with_write("row", json!("theirs"));
            table.transact(&rival).await.unwrap();
        };

        let settled = transact_once(&table, &transaction, "receipt", deadline);
        let (outcome, ()) = futures::future::join(settled, other).await;

        assert!(matches!(outcome.unwrap(), TransactionOutcome::Conflict(_)));
        assert_eq!(table.row("row").unwrap().value, json!("theirs"));
    });
}

#[test]
fn facts_never_revert_whatever_order_they_come_in() {
    let store = FactStore::new();

    let taken = [3, 1, 5, 5, 4, 2].map(|revision| {
        let value = format!("{revision}");
        store.offer(FactKind::Text, Revision::new(revision), value.as_bytes())
    });

    assert_eq!(taken, [true, false, true, false, false, false]);
    assert_eq!(store.get(FactKind::Text).value, "5");
}

#[test]
fn old_incarnation_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut tracker = MemberTracker::new(now);
    let mut newer = beat("a", 7);
    newer.incarnation = Incarnation::new(9);

    let taken = [tracker.hear(&newer, now), tracker.hear(&beat("a", 8), now)];

    assert_eq!(taken, [true, false]);
    assert_eq!(tracker.settled(&"a".parse().unwrap()), Revision::new(7));
}

/// Two members follow the same sets, each at its own time; their shares never exceed the slots.
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
    let mut keepers = ["a", "b"].map(|name| ShareKeeper::new(identity(name, "east"), start));
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
            let late = (random >> (20 + index)) % 40 == 0;
            if known[index] < (due + 1).min(sets.len()) && late {
                let set = sets[known[index]].clone();
                known[index] += 1;
                keepers[index].follow(Revision::new(known[index] as u64), set, now);
            }
            let other = ["b", "a"][index];
            let settled = keepers[1 - index].revision().get();
            trackers[index].hear(&beat(other, settled), now);
            // A look at the platform confirms only a set that is the newest one there.
            if known[index] == (due + 1).min(sets.len()) {
                keepers[index].confirm(now);
            }
            keepers[index].decide(&trackers[index], now);
        }
        for host in ["h1", "h2", "h3", "h4"] {
            let sum = share(&keepers[0], host, now) + share(&keepers[1], host, now);
            assert!(
                sum <= SLOTS,
                "{host}: {sum} slots at tick {tick}, sets {known:?}"
            );
        }
    }
    assert_eq!(
        share(&keepers[1], "h1", start + Duration::from_secs(200)),
        SLOTS
    );
}

#[test]
fn member_without_a_sign_falls_back_to_its_reserve() {
    let start = Instant::now();
    let set = members(&[("a", "east", false), ("b", "east", false)]);
    let mut keeper = ShareKeeper::new(identity("a", "east"), start);
    let mut tracker = MemberTracker::new(start);
    keeper.follow(Revision::new(1), set, start);
    tracker.hear(&beat("b", 1), start);
    keeper.decide(&tracker, start);

    let heard = share(&keeper, "h1", start);
    let silent = share(&keeper, "h1", start + Duration::from_secs(4));

    assert_eq!((heard, silent), (4, 2));
}

#[test]
fn servers_of_a_data_centre_without_live_members_go_to_the_others() {
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
