//! Calls to workers that other entry hosts carry: who carries which, what becomes of an order whose
//! carrier is slow, cut off or lost, and what a hostile carrier can do.

#[path = "common/carriers.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use monoio::time::sleep;
use monoio::time::timeout;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::carrier::run_carrier;
use zincpier::carrier::start_carrier_thread;
use zincpier::carrier::CallOutcome;
use zincpier::carrier::CallResult;
use zincpier::carrier::CarriedCall;
use zincpier::carrier::CarrierBoard;
use zincpier::carrier::CarrierPlan;
use zincpier::carrier::HolderAddress;
use zincpier::carrier::ReportMemory;
use zincpier::carrier::RunUpdate;
use zincpier::carrier::SentOutcome;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::RunningTask;

use crate::fixtures::accepted;
use crate::fixtures::block_on;
use crate::fixtures::offer;
use crate::fixtures::order;
use crate::fixtures::pool;
use crate::fixtures::random_report;
use crate::fixtures::report_of;
use crate::fixtures::run_of;
use crate::fixtures::sent_report;
use crate::fixtures::spawn_carrier;
use crate::fixtures::stop_call;
use crate::fixtures::worker;
use crate::fixtures::CountingExecutor;
use crate::runtime::run;

fn worker_id(number: usize) -> WorkerId {
    format!("w-{number}").parse().unwrap()
}

fn open_board() -> Arc<CarrierBoard> {
    let board = Arc::new(CarrierBoard::new());
    board.open();
    board
}

#[test]
fn strongest_carriers_of_the_workers_data_centre_come_first() {
    let offers = [
        offer("far", "hall-b", 9_000),
        offer("weak", "hall-a", 100),
        offer("strong", "hall-a", 4_000),
        offer("middle", "hall-a", 1_000),
    ];
    let workers = BTreeMap::from([("hall-a".parse().unwrap(), 10)]);

    let plan = CarrierPlan::new(&offers, &workers);

    let used: Vec<_> = offers.iter().map(|offer| plan.uses(&offer.name)).collect();
    assert_eq!(used, [false, false, true, true]);
}

#[test]
fn few_workers_change_their_carrier_when_one_goes() {
    // Arrange.
    let hall = "hall-a".parse().unwrap();
    let workers = BTreeMap::from([("hall-a".parse().unwrap(), 5_120)]);
    let offers: Vec<_> = (0..10)
        .map(|number| offer(&format!("edge-{number}"), "hall-a", 1_000))
        .collect();
    let before = CarrierPlan::new(&offers, &workers);

    // Act.
    let after = CarrierPlan::new(&offers[1..], &workers);

    // Assert: only those of the lost carrier move.
    let moved = (0..600).map(worker_id).filter(|worker| {
        let carrier = before.carrier_for(worker, &hall, 0);
        carrier != Some("edge-0") && carrier != after.carrier_for(worker, &hall, 0)
    });
    assert_eq!(moved.count(), 0);
    let names: BTreeSet<_> = (0..10)
        .map(|failures| before.carrier_for(&worker_id(1), &hall, failures))
        .collect();
    assert_eq!(names.len(), 10);
    assert!(CarrierPlan::new(&[], &workers).is_empty());
}

/// Guards against an order that is sent by two connections of a carrier.
#[test]
fn order_is_handed_out_once() {
    block_on(async {
        let board = open_board();
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        board.submit("edge-1", order(1)).unwrap();

        let first = board.take(offer("edge-1", "hall-a", 1), 1).await;
        let second = board.take(offer("edge-1", "hall-a", 1), 2).await;

        assert_eq!(first.orders.len(), 1);
        assert!(second.orders.is_empty());
        assert!(!board.withdraw("edge-1", 1));
    });
}

/// Guards against a late request of a broken connection, which takes the orders of the next one.
#[test]
fn request_of_an_earlier_connection_gets_no_orders() {
    block_on(async {
        let board = open_board();
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        drop(board.take(offer("edge-1", "hall-a", 1), 2).await);
        board.submit("edge-1", order(1)).unwrap();

        let late = board.take(offer("edge-1", "hall-a", 1), 1).await;
        let current = board.take(offer("edge-1", "hall-a", 1), 2).await;

        assert!(late.orders.is_empty());
        assert!(!late.is_holder);
        assert_eq!(current.orders.len(), 1);
        assert!(!board.deliver("edge-1", 1, Vec::new()));
        assert!(board.deliver("edge-1", 2, Vec::new()));
    });
}

#[test]
fn withdrawn_order_is_not_handed_out() {
    block_on(async {
        let board = open_board();
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        board.submit("edge-1", order(1)).unwrap();

        assert!(board.withdraw("edge-1", 1));

        let batch = board.take(offer("edge-1", "hall-a", 1), 1).await;
        assert!(batch.orders.is_empty());
    });
}

#[test]
fn closed_board_hands_out_nothing_and_takes_no_results() {
    block_on(async {
        let board = open_board();
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        board.submit("edge-1", order(1)).unwrap();

        board.close();

        let batch = board.take(offer("edge-1", "hall-a", 1), 1).await;
        assert!(batch.orders.is_empty());
        assert!(!batch.is_holder);
        assert!(!board.deliver("edge-1", 1, Vec::new()));
        assert!(board.submit("edge-1", order(2)).is_err());
        assert!(board.next_results().await.is_empty());
    });
}

/// Guards against a carrier that counts as present for ever because its connection broke in a request.
#[test]
fn carrier_of_a_dropped_request_is_lost() {
    block_on(async {
        let board = open_board();
        let taken = board.take(offer("edge-1", "hall-a", 1), 1);
        drop(tokio::time::timeout(Duration::from_millis(50), taken).await);
        assert_eq!(board.offers().len(), 1);

        tokio::time::sleep(Duration::from_millis(500)).await;

        assert!(board.offers().is_empty());
        assert_eq!(board.drop_absent(), ["edge-1"]);
    });
}

#[test]
fn orders_and_results_are_bounded() {
    block_on(async {
        let board = open_board();
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);

        let queued = (0..5_000).filter(|number| board.submit("edge-1", order(*number)).is_ok());
        assert!(queued.count() <= 2_000);
        for _ in 0..100 {
            let results = (0..1_000).map(accepted).collect();
            board.deliver("edge-1", 1, results);
        }

        assert!(board.next_results().await.len() <= 20_000);
    });
}

/// Guards against names that take much memory or forge lines of the log.
#[test]
fn carrier_with_an_invalid_name_gets_no_seat() {
    block_on(async {
        let board = open_board();
        for name in ["", "a\nevent=forged", &"x".repeat(1_000_000)] {
            let batch = board.take(offer(name, "hall-a", 1), 1).await;
            assert!(!batch.is_holder);
        }
        assert!(board.offers().is_empty());
    });
}

/// Guards against reports that stay unreadable for as long as a connection lasts, after the holder has
/// forgotten a carrier that was paused.
#[test]
fn carrier_whose_reports_cannot_be_read_is_told_to_connect_anew() {
    block_on(async {
        // Arrange.
        let board = open_board();
        let mut memory = ReportMemory::new();
        let result = |number| report_of(number, vec![run_of(1)]);
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        assert!(board.deliver("edge-1", 1, vec![memory.encode(&worker_id(1), result(1))]));

        // Act: the holder forgets the carrier, which goes on.
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(board.drop_absent().len(), 1);
        drop(board.take(offer("edge-1", "hall-a", 1), 1).await);
        let is_current = board.deliver("edge-1", 1, vec![memory.encode(&worker_id(1), result(2))]);

        // Assert.
        assert!(!is_current);
    });
}

#[test]
fn reports_survive_their_encoding() {
    let mut random = SmallRng::seed_from_u64(7);
    let (mut sender, mut receiver) = (ReportMemory::new(), ReportMemory::new());
    for number in 0..2_000 {
        let worker = worker_id(random.random_range(0..5));
        let result = report_of(number, random_report(&mut random));

        let sent = sender.encode(&worker, result.clone());

        assert_eq!(receiver.decode(sent), result);
    }
}

#[test]
fn report_of_an_unknown_run_counts_as_no_answer() {
    let mut memory = ReportMemory::new();
    let sent = sent_report(1, vec![RunUpdate::Same(0)]);

    let CallResult { outcome, .. } = memory.decode(sent);

    let unknown = matches!(outcome, CallOutcome::Renewal(RenewalOutcome::Unknown(_)));
    assert!(unknown);
}

/// Guards against a short message that stands for a report of gigabytes.
#[test]
fn report_that_names_a_run_many_times_counts_as_no_answer() {
    let mut memory = ReportMemory::new();
    let large_run = RunningTask {
        checkpoint: "x".repeat(100_000),
        ..run_of(1)
    };
    memory.decode(sent_report(1, vec![RunUpdate::New(large_run)]));

    let CallResult { outcome, .. } = memory.decode(sent_report(2, vec![RunUpdate::Same(0); 1_000]));

    let unknown = matches!(outcome, CallOutcome::Renewal(RenewalOutcome::Unknown(_)));
    assert!(unknown);
}

/// Guards against a memory that grows with what a connection sends.
#[test]
fn memory_of_reports_is_bounded() {
    let (mut sender, mut receiver) = (ReportMemory::new(), ReportMemory::new());
    let large_run = RunningTask {
        checkpoint: "x".repeat(100_000),
        ..run_of(1)
    };
    let mut repeated = 0;
    for number in 0..200 {
        let id = worker_id(number % 100);
        let result = report_of(number as u64, vec![large_run.clone()]);
        let sent = sender.encode(&id, result.clone());
        if let SentOutcome::Report(report) = &sent.outcome {
            repeated += usize::from(report.runs == [RunUpdate::Same(0)]);
        }
        assert_eq!(receiver.decode(sent), result);
    }
    assert!((1..=40).contains(&repeated), "{repeated}");
}

#[test]
fn call_that_a_carrier_took_and_did_not_answer_is_unknown() {
    run(async {
        let board = Arc::new(CarrierBoard::new());
        let pool = pool(&board);
        spawn_carrier(&board, "edge-1", |_| None);

        let called = pool.call(&worker(1), stop_call()).await;

        assert!(matches!(called, CarriedCall::Unanswered), "{called:?}");
    });
}

#[test]
fn call_without_carriers_is_not_handed_out() {
    run(async {
        let board = Arc::new(CarrierBoard::new());
        let pool = pool(&board);
        let started = Instant::now();

        let called = pool.call(&worker(1), stop_call()).await;

        assert!(matches!(called, CarriedCall::NotHandedOut), "{called:?}");
        assert!(started.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against every second call of a worker going to a carrier that can't reach it.
#[test]
fn worker_keeps_the_carrier_that_reaches_it() {
    run(async {
        let board = Arc::new(CarrierBoard::new());
        let pool = pool(&board);
        let unknown = || CallOutcome::Command(CommandOutcome::Unknown("cut off".to_owned()));
        spawn_carrier(&board, "edge-1", move |_| Some(unknown()));
        spawn_carrier(&board, "edge-2", |_| {
            Some(CallOutcome::Command(CommandOutcome::Accepted(1)))
        });
        sleep(Duration::from_millis(300)).await;

        let mut failed = 0;
        for number in 0..80 {
            let called = pool.call(&worker(number % 8), stop_call()).await;
            let CarriedCall::Done(outcome) = called else {
                panic!("{called:?}");
            };
            failed += usize::from(!outcome.is_answer());
        }

        assert!(failed <= 8, "{failed} of 80 calls to 8 workers");
    });
}

/// Guards against a result of an earlier process at the same address that settles another call.
#[test]
fn numbers_of_orders_differ_between_processes() {
    run(async {
        let mut numbers = BTreeSet::new();
        for _ in 0..4 {
            let board = Arc::new(CarrierBoard::new());
            let pool = pool(&board);
            let taken = spawn_carrier(&board, "edge-1", |_| {
                Some(CallOutcome::Command(CommandOutcome::Accepted(1)))
            });
            drop(pool.call(&worker(1), stop_call()).await);
            numbers.insert(taken.recv().unwrap());
        }
        assert_eq!(numbers.len(), 4);
    });
}

#[test]
fn results_of_an_earlier_term_reach_no_call_of_the_next() {
    run(async {
        // Arrange: a call of the first term is on its way when the term ends.
        let board = Arc::new(CarrierBoard::new());
        let pool = pool(&board);
        let taken = spawn_carrier(&board, "edge-1", |_| None);
        let first = {
            let pool = Rc::clone(&pool);
            monoio::spawn(async move { pool.call(&worker(1), stop_call()).await })
        };
        sleep(Duration::from_millis(300)).await;
        let number = taken.try_recv().unwrap();

        // Act.
        pool.close();
        pool.open();
        pool.set_fleet(BTreeMap::from([("hall-a".parse().unwrap(), 1)]));
        sleep(Duration::from_millis(400)).await;
        board.deliver("edge-1", 1, vec![accepted(number)]);
        let second = pool.call(&worker(1), stop_call()).await;

        // Assert.
        assert!(matches!(first.await, CarriedCall::Unanswered));
        assert!(!matches!(second, CarriedCall::Done(_)), "{second:?}");
        assert_ne!(taken.try_recv().ok(), Some(number));
    });
}

/// Guards against loops that stay from term to term.
#[test]
fn loops_of_a_term_end_with_it() {
    run(async {
        let board = Arc::new(CarrierBoard::new());
        let pool = pool(&board);
        for _ in 0..5 {
            sleep(Duration::from_millis(10)).await;
            pool.close();
            pool.open();
        }

        sleep(Duration::from_millis(500)).await;

        // This test, and the two loops of the last term.
        assert_eq!(Rc::strong_count(&pool), 3);
    });
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a carrier that was paused and sends an order whose permission has run out.
#[test]
fn order_that_waited_in_a_paused_carrier_is_not_sent() {
    // Arrange: the thread that makes calls stands still while an order arrives.
    let board = open_board();
    let address = free_address();
    let holder_offer = offer("edge-1", "hall-a", 1);
    let _holder = start_carrier_thread(address, Arc::clone(&board), holder_offer).unwrap();
    let idle_board = Arc::new(CarrierBoard::new());
    let carrier_offer = offer("edge-2", "hall-a", 1);
    let channels = start_carrier_thread(free_address(), idle_board, carrier_offer).unwrap();
    let holder = HolderAddress { epoch: 1, address };
    let holder_sender = channels.holder_sender();
    holder_sender.send_replace(Some(holder));
    while board.submit("edge-2", order(1)).is_err() {
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(900));

    // Act.
    let executor = Rc::new(CountingExecutor::default());
    let results = run(async {
        monoio::spawn(run_carrier(Rc::clone(&executor), channels));
        loop {
            // The other thread's results wake no thread of this runtime.
            let waiting = timeout(Duration::from_millis(50), board.next_results());
            if let Ok(results) = waiting.await {
                return results;
            }
        }
    });

    // Assert.
    assert_eq!(executor.calls.get(), 0);
    let [result] = results.as_slice() else {
        panic!("{results:?}");
    };
    let unsent = CommandOutcome::NotSent("the order is too old".to_owned());
    assert_eq!(result.outcome, CallOutcome::Command(unsent));
}
