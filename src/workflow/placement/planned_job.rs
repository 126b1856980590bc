//! A job as a placement pass sees it.

use crate::id::JobId;
use crate::workflow::job_priority_weight;
use crate::workflow::DurationTracker;
use crate::workflow::GroupDemand;
use crate::workflow::JobDemand;
use crate::workflow::JobState;
use crate::workflow::JobUrgency;
use crate::workflow::QueueConfig;
use crate::workflow::StepSpec;
use crate::workflow::TaskState;
use crate::workflow::WorkerResources;

/// Returns the time in ms within which a job must have its capacity, or `None` for a job that is
/// not considered.
pub(crate) type SlackRule = fn(&JobUrgency) -> Option<u64>;

/// The classes of jobs to which the deferral applies, in this order: a job that is deferred takes
/// part in the rule that follows.
pub(crate) const SLACK_RULES: [SlackRule; 4] = [
    JobUrgency::slack_ms,
    JobUrgency::late_slack_ms,
    JobUrgency::over_rate_slack_ms,
    JobUrgency::over_rate_late_slack_ms,
];

/// The unplaced tasks of a job: the resources times ms of all, and the resources of those that
/// could start now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitingAmounts {
    pub(crate) work: WorkerResources,
    pub(crate) ready: WorkerResources,
}

/// An open job of a service with unplaced tasks.
pub(crate) struct PlannedJob<'a> {
    pub(crate) id: &'a JobId,
    pub(crate) job: &'a JobState,
    pub(crate) queue: &'a QueueConfig,
    pub(crate) urgency: JobUrgency,
    /// The position of its organisation; all jobs without one are of one group.
    pub(crate) group: usize,
    /// It has unplaced tasks. The other jobs take part in the deferral, since their capacity is not
    /// free.
    pub(crate) is_waiting: bool,
    /// Its organisation's cap leaves no room for any of its tasks.
    pub(crate) is_blocked: bool,
    /// It begins beyond its organisation's share of the pool.
    pub(crate) is_beyond_share: bool,
}

impl<'a> PlannedJob<'a> {
    /// Returns the key by which the jobs of a service are placed, the smallest first.
    pub(crate) fn order_key(&self) -> (u8, bool, JobUrgency, &JobId) {
        let rank = self.urgency.rank();
        (rank, self.is_beyond_share, self.urgency, self.id)
    }

    /// Sums up the unplaced tasks; `amount` returns what a task of a step counts.
    pub(crate) fn waiting_amounts(
        &self,
        durations: &DurationTracker,
        amount: fn(&StepSpec) -> WorkerResources,
    ) -> WaitingAmounts {
        let mut amounts = WaitingAmounts::default();
        if !self.is_waiting {
            return amounts;
        }
        let history = durations.history(&self.queue.name);
        for (number, step) in self.job.spec.steps.iter().enumerate() {
            let tasks = self.job.step_tasks(0, number as u32);
            let waiting = tasks.waiting_count() as u64;
            let expected_ms = history.expected_ms(step.estimate_ms);
            let amount = amount(step);
            amounts.work.add(&amount.times(waiting * expected_ms));
            if self.job.is_step_ready(0, number as u32) {
                amounts.ready.add(&amount.times(waiting));
            }
        }
        amounts
    }

    /// Iterates over the steps that are ready, each with its number and the number of tasks that
    /// may be placed.
    pub(crate) fn ready_steps(&self) -> impl Iterator<Item = (u32, &'a StepSpec, u64)> + use<'a> {
        let job = self.job;
        let steps = job.spec.steps.iter().enumerate();
        let steps = steps.map(|(number, step)| (number as u32, step));
        let ready = steps.filter(move |(number, _)| job.is_step_ready(0, *number));
        let counted = ready.map(move |(number, step)| {
            let tasks = job.step_tasks(0, number);
            let placeable = tasks.count(TaskState::is_placeable);
            (number, step, placeable as u64)
        });
        counted.filter(|(_, _, placeable)| *placeable > 0)
    }

    /// Returns the job's part in the deferral, if the rule considers it.
    pub(crate) fn demand(
        &self,
        rule: SlackRule,
        group: usize,
        amounts: &WaitingAmounts,
    ) -> Option<GroupDemand> {
        let slack_ms = rule(&self.urgency)?;
        Some(GroupDemand {
            group,
            job: JobDemand {
                slack_ms,
                work: amounts.work.cpu_millis,
                priority_weight_percent: job_priority_weight(self.id),
            },
            work: amounts.work,
        })
    }
}
