//! Estimates resource use and run time of jobs from earlier runs.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::TeamId;
use crate::job::JobSize;
use crate::job::JobSpec;

/// Estimates are based on at most this number of latest runs of a team and kind.
const MAX_RUNS: usize = 8;
/// Safety factor on the largest observed use.
const SIZE_MARGIN: f64 = 1.1;

/// Measurements of one finished run.
#[derive(Clone, Copy, Debug)]
struct ObservedRun {
    usage: JobSize,
    ran_ms: u64,
}

/// Records the latest runs of each team and kind of job.
///
/// Declared sizes and times are used only until a job of the same team and kind has finished.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    kinds: HashMap<(TeamId, String), VecDeque<ObservedRun>>,
}

impl SizeEstimator {
    /// Creates an estimator without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the last run of a finished job. `ran_ms` is the job's total run time in
    /// milliseconds, including progress saved by earlier runs.
    pub fn record_run(&mut self, spec: &JobSpec, usage: JobSize, ran_ms: u64) {
        let kind = (spec.team.clone(), spec.kind.clone());
        let runs = self.kinds.entry(kind).or_default();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(ObservedRun { usage, ran_ms });
    }

    /// Returns the expected use of a job.
    ///
    /// Accelerators are allocated whole, so their number is always the declared one.
    pub fn size(&self, spec: &JobSpec) -> JobSize {
        let Some(runs) = self.runs(spec) else {
            return spec.size;
        };
        let peak = runs
            .iter()
            .fold(JobSize::default(), |peak, run| peak.max(&run.usage));
        // The margin must not raise the estimate above both declared and observed use: a job that
        // uses a full worker would then fit none.
        let bound = peak.max(&spec.size);
        JobSize {
            accelerators: spec.size.accelerators,
            ..peak.scaled(SIZE_MARGIN).min(&bound)
        }
    }

    /// Returns the expected run time, in milliseconds: the median of the latest runs.
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
