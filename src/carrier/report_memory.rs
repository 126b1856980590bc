//! The runs of the last report of each worker, which both ends of a connection keep.

use std::collections::HashMap;

use crate::carrier::call_order::SentOutcome;
use crate::carrier::call_order::SentReport;
use crate::carrier::call_order::SentResult;
use crate::carrier::CallOutcome;
use crate::carrier::CallResult;
use crate::carrier::RunUpdate;
use crate::id::WorkerId;
use crate::workflow::RenewalOutcome;
use crate::workflow::RunningTask;
use crate::workflow::WorkerReport;

/// The limit on workers whose runs are kept. Beyond it, reports are sent in full.
const MAX_WORKERS: usize = 2_000;

/// The limit on the bytes of the runs that are kept. Beyond it, reports are sent in full.
const MAX_KEPT_BYTES: usize = 2_000_000;

/// The bytes of a kept run without its checkpoint, estimated.
const RUN_BYTES: usize = 150;

/// The runs of the last report of each worker that passed a connection, in either direction. Results
/// must be decoded in the order in which they were encoded; a new connection needs a new memory.
#[derive(Debug, Default)]
pub struct ReportMemory {
    runs: HashMap<WorkerId, Vec<RunningTask>>,
    kept_bytes: usize,
    has_unreadable: bool,
}

impl ReportMemory {
    /// Creates the memory of a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a report could not be decoded. Those that follow may refer to its runs.
    pub fn has_unreadable(&self) -> bool {
        self.has_unreadable
    }

    /// Encodes a result of a call to `worker`.
    pub fn encode(&mut self, worker: &WorkerId, result: CallResult) -> SentResult {
        let CallResult { number, outcome } = result;
        let outcome = match outcome {
            CallOutcome::Renewal(RenewalOutcome::Report(report)) => {
                SentOutcome::Report(Box::new(self.encode_report(worker, report)))
            }
            other => SentOutcome::Other(other),
        };
        SentResult { number, outcome }
    }

    fn encode_report(&mut self, worker: &WorkerId, report: WorkerReport) -> SentReport {
        let last = self.runs.get(worker).map_or(&[][..], Vec::as_slice);
        let mut used = vec![false; last.len()];
        let runs = report.running.iter().map(|run| {
            let update = RunUpdate::between(last, run.clone());
            match use_once(&mut used, &update) {
                true => update,
                false => RunUpdate::New(run.clone()),
            }
        });
        let runs = runs.collect();
        self.keep(worker, report.running);
        SentReport {
            worker: worker.clone(),
            incarnation_start: report.incarnation_start,
            clock_ms: report.clock_ms,
            runs,
            ends: report.ends,
            held_ends: report.held_ends,
            has_more_ends: report.has_more_ends,
        }
    }

    /// Decodes a result. A report that refers to a run that is not known counts as no answer.
    pub fn decode(&mut self, sent: SentResult) -> CallResult {
        let SentResult { number, outcome } = sent;
        let outcome = match outcome {
            SentOutcome::Other(outcome) => outcome,
            SentOutcome::Report(report) => {
                let decoded = self.decode_report(*report);
                self.has_unreadable |= decoded.is_none();
                let unreadable = || RenewalOutcome::Unknown("unreadable report".to_owned());
                CallOutcome::Renewal(decoded.map_or_else(unreadable, RenewalOutcome::Report))
            }
        };
        CallResult { number, outcome }
    }

    fn decode_report(&mut self, sent: SentReport) -> Option<WorkerReport> {
        let last = self.runs.get(&sent.worker).map_or(&[][..], Vec::as_slice);
        // Without this, a short message could stand for a report of any size.
        let mut used = vec![false; last.len()];
        if !sent.runs.iter().all(|run| use_once(&mut used, run)) {
            return None;
        }
        let runs = sent.runs.into_iter().map(|run| run.apply(last));
        let running: Vec<_> = runs.collect::<Option<_>>()?;
        self.keep(&sent.worker, running.clone());
        Some(WorkerReport {
            incarnation_start: sent.incarnation_start,
            clock_ms: sent.clock_ms,
            running,
            ends: sent.ends,
            held_ends: sent.held_ends,
            has_more_ends: sent.has_more_ends,
        })
    }

    /// Keeps the runs of the last report. Both ends keep those of the same workers.
    fn keep(&mut self, worker: &WorkerId, runs: Vec<RunningTask>) {
        if let Some(earlier) = self.runs.remove(worker) {
            self.kept_bytes -= bytes_of(&earlier);
        }
        let bytes = self.kept_bytes + bytes_of(&runs);
        if self.runs.len() < MAX_WORKERS && bytes <= MAX_KEPT_BYTES {
            self.kept_bytes = bytes;
            self.runs.insert(worker.clone(), runs);
        }
    }
}

/// Returns whether an update refers to no run of the last report, or to one that no other refers to.
fn use_once(used: &mut [bool], update: &RunUpdate) -> bool {
    let index = match update {
        RunUpdate::New(_) => return true,
        RunUpdate::Same(index) | RunUpdate::Figures { index, .. } => *index,
    };
    let entry = used.get_mut(index as usize);
    entry.is_some_and(|is_used| !std::mem::replace(is_used, true))
}

fn bytes_of(runs: &[RunningTask]) -> usize {
    let sizes = runs.iter().map(|run| RUN_BYTES + run.checkpoint.len());
    sizes.sum()
}
