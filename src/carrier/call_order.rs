//! Messages between the holder of the lease and its carriers.

use serde::Deserialize;
use serde::Serialize;

use crate::carrier::CallOutcome;
use crate::carrier::RunUpdate;
use crate::carrier::WorkerCall;
use crate::carrier::WorkerTarget;
use crate::id::IncarnationStart;
use crate::id::WorkerId;
use crate::workflow::HeldEnd;
use crate::workflow::TaskEnd;

/// A call to a worker that a carrier is to make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallOrder {
    /// The order's number. Those of two processes differ.
    pub number: u64,
    /// How long the order waited before it was handed out, in ms.
    pub age_ms: u64,
    /// The worker to call.
    pub target: WorkerTarget,
    /// What to send.
    pub call: WorkerCall,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// The order's number.
    pub number: u64,
    /// What became of the call.
    pub outcome: CallOutcome,
}

/// Orders for one carrier.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrderBatch {
    /// The orders; none after a wait without any.
    pub orders: Vec<CallOrder>,
    /// For how long the holder kept the request before it answered, in ms. Without it the carrier could
    /// not tell how old the orders are at most.
    pub held_ms: u64,
    /// How long results may wait for others, in ms.
    pub window_ms: u64,
    /// Whether the answering process holds the lease.
    pub is_holder: bool,
}

/// A result as it is sent: the runs of a report as differences from the last one of this worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SentResult {
    /// The order's number.
    pub number: u64,
    /// What became of the call.
    pub outcome: SentOutcome,
}

/// The outcome in a [`SentResult`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SentOutcome {
    /// A report of the worker with this id.
    Report(Box<SentReport>),
    /// Any other outcome.
    Other(CallOutcome),
}

/// A worker's report with its runs as differences from the last one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SentReport {
    /// The worker that sent it.
    pub worker: WorkerId,
    /// When the incarnation that answers started, if it is known.
    pub incarnation_start: Option<IncarnationStart>,
    /// The worker's clock, in ms.
    pub clock_ms: u64,
    /// All runs, in order.
    pub runs: Vec<RunUpdate>,
    /// See [`crate::workflow::WorkerReport::ends`].
    pub ends: Vec<TaskEnd>,
    /// See [`crate::workflow::WorkerReport::held_ends`].
    pub held_ends: Vec<HeldEnd>,
    /// See [`crate::workflow::WorkerReport::has_more_ends`].
    pub has_more_ends: bool,
}
