//! Test fixtures: carriers, their orders and reports.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;

use rand::rngs::SmallRng;
use rand::Rng;
use zincpier::carrier::CallExecutor;
use zincpier::carrier::CallOrder;
use zincpier::carrier::CallOutcome;
use zincpier::carrier::CallResult;
use zincpier::carrier::CarrierBoard;
use zincpier::carrier::CarrierOffer;
use zincpier::carrier::CarrierPool;
use zincpier::carrier::RunUpdate;
use zincpier::carrier::SentOutcome;
use zincpier::carrier::SentReport;
use zincpier::carrier::SentResult;
use zincpier::carrier::WorkerCall;
use zincpier::carrier::WorkerTarget;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::HostResources;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::RunningTask;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::WorkerResources;

/// Runs a future on a runtime with the timers of the board.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().build().unwrap().block_on(future)
}

pub(crate) fn offer(name: &str, data_centre: &str, processor_millis: u64) -> CarrierOffer {
    CarrierOffer {
        name: name.to_owned(),
        data_centre: data_centre.parse().unwrap(),
        processor_millis,
        link_kbps: 10_000,
    }
}

pub(crate) fn stop_call() -> WorkerCall {
    WorkerCall::Stop {
        task: "5c0e7a21d94b36f8.0.1.17".parse().unwrap(),
        run: 1,
        epoch: 1,
    }
}

pub(crate) fn order(number: u64) -> CallOrder {
    CallOrder {
        age_ms: 0,
        number,
        target: WorkerTarget::from(&worker(1)),
        call: stop_call(),
    }
}

pub(crate) fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("w-{number}").parse().unwrap(),
        incarnation_start: None,
        service: "s-1".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        draining: false,
        capacity: WorkerResources {
            cpu_millis: 8_000,
            memory_mb: 16_000,
            gpus: 0,
        },
        labels: Vec::new(),
    }
}

/// Returns the open pool of a holder that calls no worker itself.
pub(crate) fn pool(board: &Arc<CarrierBoard>) -> Rc<CarrierPool> {
    let resources = HostResources {
        processor_share: Some(0.001),
        link_mbps: None,
        memory_mb: None,
    };
    let pool = CarrierPool::new(Arc::clone(board), resources);
    pool.open();
    pool.set_fleet(BTreeMap::from([("hall-a".parse().unwrap(), 8)]));
    pool
}

/// Starts a carrier on a thread of its own, which answers orders with `answer`. Returns the receiver of
/// the numbers of its orders.
pub(crate) fn spawn_carrier(
    board: &Arc<CarrierBoard>,
    name: &str,
    answer: impl Fn(&CallOrder) -> Option<CallOutcome> + Send + 'static,
) -> mpsc::Receiver<u64> {
    let (board, name) = (Arc::clone(board), name.to_owned());
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        block_on(async {
            loop {
                let batch = board.take(offer(&name, "hall-a", 1_000), 1).await;
                if !batch.is_holder {
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
                for order in &batch.orders {
                    let number = order.number;
                    // A test that doesn't look at numbers has dropped the receiver.
                    let _ = sender.send(number);
                    if let Some(outcome) = answer(order) {
                        let outcome = SentOutcome::Other(outcome);
                        board.deliver(&name, 1, vec![SentResult { number, outcome }]);
                    }
                }
            }
        });
    });
    receiver
}

pub(crate) fn accepted(number: u64) -> SentResult {
    let outcome = CallOutcome::Command(CommandOutcome::Accepted(1));
    SentResult {
        number,
        outcome: SentOutcome::Other(outcome),
    }
}

pub(crate) fn run_of(run: u64) -> RunningTask {
    RunningTask {
        task: "5c0e7a21d94b36f8.0.1.17".parse().unwrap(),
        run,
        checkpoint: "c".to_owned(),
        percent: 1,
        load: 1,
    }
}

/// Returns runs of which some differ in one part only, and some are listed twice.
pub(crate) fn random_report(random: &mut SmallRng) -> Vec<RunningTask> {
    let count = random.random_range(0..8);
    let runs = (0..count).map(|_| RunningTask {
        checkpoint: random.random_range(0..2).to_string(),
        percent: random.random_range(0..2),
        load: random.random_range(0..2),
        ..run_of(random.random_range(0..6))
    });
    runs.collect()
}

pub(crate) fn report_of(number: u64, running: Vec<RunningTask>) -> CallResult {
    let report = WorkerReport {
        clock_ms: number,
        running,
        ..WorkerReport::default()
    };
    CallResult {
        number,
        outcome: CallOutcome::Renewal(RenewalOutcome::Report(report)),
    }
}

pub(crate) fn sent_report(number: u64, runs: Vec<RunUpdate>) -> SentResult {
    let report = SentReport {
        worker: "w-1".parse().unwrap(),
        incarnation_start: None,
        clock_ms: 1,
        runs,
        ends: Vec::new(),
        held_ends: Vec::new(),
        has_more_ends: false,
    };
    SentResult {
        number,
        outcome: SentOutcome::Report(Box::new(report)),
    }
}

/// Counts calls and accepts each.
#[derive(Default)]
pub(crate) struct CountingExecutor {
    pub(crate) calls: Cell<usize>,
}

impl CallExecutor for CountingExecutor {
    async fn execute(&self, _: &WorkerTarget, _: &WorkerCall) -> CallOutcome {
        self.calls.set(self.calls.get() + 1);
        CallOutcome::Command(CommandOutcome::Accepted(1))
    }
}
