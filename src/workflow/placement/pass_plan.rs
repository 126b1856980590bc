//! The jobs that a placement pass tries, in their order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::vec::IntoIter;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::workflow::placement::planned_job::PlannedJob;
use crate::workflow::placement::unplaced_steps::UnplacedSteps;

/// The number of steps with unplaced tasks after which the rest of a lane's jobs wait for the next
/// pass; the little capacity that is left would serve few of them.
const MAX_UNPLACED_STEPS: u32 = 24;

/// The lower bound of that number for each of several organisations. An organisation whose jobs fit
/// nowhere then doesn't end the pass for the others.
const MIN_GROUP_UNPLACED_STEPS: u32 = 4;

/// The number of steps that no worker could hold after which they count like the others. Until then they
/// keep no job of their lane from being tried.
const MAX_TOO_LARGE_STEPS: u32 = 64;

/// What decides whether jobs that come later in a pass are likely to fit nowhere, too. Jobs that wait
/// for other workers, or long-running ones for another gap, are in different lanes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlacementLane<'a> {
    group: usize,
    required_label: Option<&'a str>,
    needs_accelerator: bool,
    /// The amounts that a task of a long-running job reserves. These jobs come first and wait for
    /// long; the others have the same gaps a moment later.
    long_running: Option<[u64; 3]>,
    /// A long-running job with a limit on its tasks for each worker: it may be only its own tasks
    /// that keep it from the workers.
    job: Option<&'a JobId>,
}

impl<'a> PlacementLane<'a> {
    /// Returns the lane of a job, by the first of its steps that could start now.
    pub(crate) fn new(planned: &PlannedJob<'a>) -> Self {
        let ready = planned.ready_steps().next().map(|(_, step, _)| step);
        let step = ready.or(planned.job.spec.steps.first());
        let long_running = step.filter(|step| step.long_running);
        let spread = long_running.filter(|step| step.max_per_worker > 0);
        Self {
            group: planned.group,
            required_label: step.and_then(|step| step.required_label.as_deref()),
            needs_accelerator: step.is_some_and(|step| step.demand.gpus > 0),
            long_running: long_running.map(|step| step.reserved().amounts()),
            job: spread.map(|_| planned.id),
        }
    }
}

/// What a placement pass is to do.
#[derive(Default)]
pub(crate) struct PassPlan {
    /// The jobs with unplaced tasks of each service.
    pub(crate) by_service: BTreeMap<ServiceId, OrderedJobs>,
    /// Jobs with the number of a step that can never run under their organisation's cap.
    pub(crate) oversized: Vec<(JobId, u32)>,
}

/// The jobs of one service with unplaced tasks, the first one to place first.
pub(crate) struct OrderedJobs {
    /// Each job with the number of its lane.
    jobs: IntoIter<(JobId, usize)>,
    /// The unplaced steps that are left to each lane until its rest waits.
    steps_left: Vec<u32>,
    /// The steps too large for all workers that are left until more of them count.
    too_large_left: u32,
    last_lane: usize,
    /// The jobs of lanes that have reached their limit.
    skipped: Vec<JobId>,
}

impl OrderedJobs {
    /// Creates the order of the jobs, each with its lane.
    pub(crate) fn new(jobs: Vec<(JobId, PlacementLane<'_>)>) -> Self {
        let groups: BTreeSet<_> = jobs.iter().map(|(_, lane)| lane.group).collect();
        let limit = match groups.len() as u32 {
            0 | 1 => MAX_UNPLACED_STEPS,
            groups => (MAX_UNPLACED_STEPS / groups).max(MIN_GROUP_UNPLACED_STEPS),
        };
        let mut lanes = BTreeMap::new();
        let numbered = jobs.into_iter().map(|(id, lane)| {
            let next = lanes.len();
            (id, *lanes.entry(lane).or_insert(next))
        });
        let numbered: Vec<_> = numbered.collect();
        Self {
            jobs: numbered.into_iter(),
            steps_left: vec![limit; lanes.len()],
            too_large_left: MAX_TOO_LARGE_STEPS,
            last_lane: 0,
            skipped: Vec::new(),
        }
    }

    /// Returns the next job to place, without those of lanes that have reached their limit.
    pub(crate) fn next(&mut self) -> Option<JobId> {
        for (id, lane) in self.jobs.by_ref() {
            if self.steps_left[lane] > 0 {
                self.last_lane = lane;
                return Some(id);
            }
            self.skipped.push(id);
        }
        None
    }

    /// Returns the jobs that were not tried.
    pub(crate) fn into_rest(self) -> impl Iterator<Item = JobId> {
        let rest = self.jobs.map(|(id, _)| id);
        self.skipped.into_iter().chain(rest)
    }

    /// Records the steps with unplaced tasks of the job that was returned last.
    pub(crate) fn record_unplaced(&mut self, unplaced: UnplacedSteps) {
        let uncounted = unplaced.too_large.min(self.too_large_left);
        self.too_large_left -= uncounted;
        let steps = unplaced.waiting + unplaced.too_large - uncounted;
        let left = &mut self.steps_left[self.last_lane];
        *left = left.saturating_sub(steps);
    }
}
