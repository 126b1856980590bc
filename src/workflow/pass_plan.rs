//! The jobs that a placement pass tries, in their order.

use std::collections::BTreeMap;
use std::vec::IntoIter;

use crate::id::JobId;
use crate::id::ServiceId;

/// The number of steps with unplaced tasks after which the rest of a service's jobs wait for
/// the next pass; the little capacity that is left would serve few of them.
const MAX_UNPLACED_STEPS: u32 = 24;

/// The lower bound of that number for each of several organisations. An organisation whose jobs fit
/// nowhere then doesn't end the pass for the others.
const MIN_GROUP_UNPLACED_STEPS: u32 = 4;

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
    jobs: IntoIter<(JobId, usize)>,
    /// The unplaced steps that are left to each group of jobs until its rest waits.
    steps_left: Vec<u32>,
    /// The number of groups that have steps left.
    open_groups: usize,
    last_group: usize,
}

impl OrderedJobs {
    /// Creates the order of the jobs, each with the number of its group below `groups`.
    pub(crate) fn new(jobs: Vec<(JobId, usize)>, groups: usize) -> Self {
        let mut has_jobs = vec![false; groups];
        jobs.iter().for_each(|(_, group)| has_jobs[*group] = true);
        let open_groups = has_jobs.iter().filter(|has_jobs| **has_jobs).count();
        let limit = match open_groups {
            0 | 1 => MAX_UNPLACED_STEPS,
            _ => (MAX_UNPLACED_STEPS / open_groups as u32).max(MIN_GROUP_UNPLACED_STEPS),
        };
        Self {
            jobs: jobs.into_iter(),
            steps_left: vec![limit; groups],
            open_groups,
            last_group: 0,
        }
    }

    /// Returns the next job to place, without those of groups that have reached their limit.
    pub(crate) fn next(&mut self) -> Option<JobId> {
        if self.open_groups == 0 {
            return None;
        }
        let steps_left = &self.steps_left;
        let (id, group) = self.jobs.find(|(_, group)| steps_left[*group] > 0)?;
        self.last_group = group;
        Some(id)
    }

    /// Returns the jobs that were not tried.
    pub(crate) fn into_rest(self) -> impl Iterator<Item = JobId> {
        self.jobs.map(|(id, _)| id)
    }

    /// Records the number of steps with unplaced tasks of the job that was returned last.
    pub(crate) fn record_unplaced(&mut self, steps: u32) {
        let left = &mut self.steps_left[self.last_group];
        *left = left.saturating_sub(steps);
        self.open_groups -= usize::from(*left == 0);
    }
}
