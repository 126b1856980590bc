//! Jobs that fail because a task has failed too often.

use crate::id::JobId;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::TaskName;

impl JobEngine {
    /// Ends a job as failed if a task has reached its queue's limit of failed attempts, which is unknown
    /// without a configuration. Returns whether it was ended.
    pub(crate) fn end_exhausted_job(&mut self, name: &TaskName, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let config = self.config.as_ref();
        let queue = config.and_then(|config| config.queue(&job.spec.queue));
        let (Some(queue), Some(step)) = (queue, job.step(name.step)) else {
            return false;
        };
        let limit = queue.attempts.max(1);
        let failures = job.failure_count(name);
        if step.long_running || failures < limit || job.phase.has_ended() {
            return false;
        }
        log::warn!(
            "event=job_failed job={} task={name} failures={failures} limit={limit}",
            name.job
        );
        self.end_job(&name.job.clone(), JobPhase::Failed, now_ms);
        true
    }

    /// Like [`JobEngine::end_exhausted_job`], for all tasks of steps of a job, given as occurrence and
    /// step: a failure may have been counted while no configuration was known.
    pub(crate) fn end_if_exhausted(
        &mut self,
        id: &JobId,
        steps: &[(u32, u32)],
        now_ms: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let failed = steps.iter().flat_map(|&(occurrence, step)| {
            let tasks = job.step_tasks(occurrence, step);
            let tasks = tasks.iter().enumerate();
            let failed = tasks.filter(|(_, task)| task.failures > 0);
            failed.map(move |(index, _)| TaskName {
                job: id.clone(),
                occurrence,
                step,
                index: index as u32,
            })
        });
        let failed: Vec<_> = failed.collect();
        failed
            .iter()
            .any(|name| self.end_exhausted_job(name, now_ms))
    }
}
