//! What jobs use and how long they run, learnt from those that ran.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::TeamId;
use crate::job::JobSize;
use crate::job::JobSpec;

/// The newest runs of a kind that count.
const MAX_RUNS: usize = 8;
/// The part by which the greatest use seen is exceeded, to be sure.
const SIZE_MARGIN: f64 = 1.1;

/// What was seen of one run.
#[derive(Clone, Copy, Debug)]
struct ObservedRun {
    usage: JobSize,
    ran_ms: u64,
}

/// Keeps the newest runs of each team's kinds of job.
///
/// Declared sizes and times count only until a job of the kind has run.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    kinds: HashMap<(TeamId, String), VecDeque<ObservedRun>>,
}

impl SizeEstimator {
    /// Creates an estimator that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a run that came to its end.
    pub fn record_run(&mut self, spec: &JobSpec, usage: JobSize, ran_ms: u64) {
        let kind = (spec.team.clone(), spec.kind.clone());
        let runs = self.kinds.entry(kind).or_default();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(ObservedRun { usage, ran_ms });
    }

    /// Returns what a job is expected to use.
    ///
    /// Accelerators are given whole, so that their number is as declared.
    pub fn size(&self, spec: &JobSpec) -> JobSize {
        let Some(runs) = self.runs(spec) else {
            return spec.size;
        };
        let peak = runs
            .iter()
            .fold(JobSize::default(), |peak, run| peak.max(&run.usage));
        // The margin never asks for more than what was declared and seen.
        let bound = peak.max(&spec.size);
        JobSize {
            accelerators: spec.size.accelerators,
            ..peak.scaled(SIZE_MARGIN).min(&bound)
        }
    }

    /// Returns how long a job is expected to run, in milliseconds.
    pub fn run_ms(&self, spec: &JobSpec) -> u64 {
        let Some(runs) = self.runs(spec) else {
            return spec.run_ms;
        };
        let mut times = runs.iter().map(|run| run.ran_ms).collect::<Vec<_>>();
        times.sort_unstable();
        times[times.len() / 2]
    }

    fn runs(&self, spec: &JobSpec) -> Option<&VecDeque<ObservedRun>> {
        self.kinds.get(&(spec.team.clone(), spec.kind.clone()))
    }
}
