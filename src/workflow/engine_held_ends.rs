//! Applies run ends that are listed after one that can't be decoded.
//!
//! Such a run may have ended as done, so its task must not start again, and its end must not be
//! acknowledged together with a later one. The later ones are applied with each report: an end whose run
//! is over has no effect.

use crate::id::WorkerId;
use crate::workflow::EndKind;
use crate::workflow::HeldEnd;
use crate::workflow::JobEngine;
use crate::workflow::TaskEnd;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerReport;

impl JobEngine {
    /// Applies the held ends of a report. Returns the number of the last end that may be acknowledged;
    /// `last` is that of the last one before them.
    pub(crate) fn apply_held_ends(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        mut last: u64,
        now_ms: u64,
    ) -> u64 {
        let held = report.held_ends.iter().filter(|end| end.number() > last);
        let held: Vec<_> = held.collect();
        // The runs of later ends are over, which may show that none is left for an unreadable one.
        for end in &held {
            if let HeldEnd::Readable(end) = end {
                self.apply_end(id, end, now_ms);
            }
        }
        let mut blocked = held.len();
        for end in held {
            let may_pass = match end {
                HeldEnd::Readable(_) => true,
                HeldEnd::Unreadable { run, .. } => {
                    self.pass_unreadable_end(id, report, run.as_ref(), now_ms)
                }
            };
            if !may_pass {
                break;
            }
            last = last.max(end.number());
            blocked -= 1;
        }
        self.record_held_ends(id, blocked, last);
        last
    }

    /// Returns whether an end may be forgotten of which it isn't known how the run ended: not if its
    /// task would start again and may be done. A long-running task starts again however it ends.
    fn pass_unreadable_end(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        run: Option<&(TaskName, u64)>,
        now_ms: u64,
    ) -> bool {
        let Some((name, run)) = run else {
            return self.has_no_unlisted_run(id, report);
        };
        let Some(job) = self.jobs.get(&name.job) else {
            return true;
        };
        let long_running = job.step(name.step).is_some_and(|step| step.long_running);
        let has_ended = job.phase.has_ended();
        let Some(state) = job.task(name) else {
            return true;
        };
        let is_over = state.last_run != *run || state.phase == TaskPhase::Done;
        let is_here = state.worker() == Some(id) || state.lost_on.as_ref() == Some(id);
        if is_over || !is_here {
            return true;
        }
        if long_running || has_ended {
            let end = TaskEnd {
                number: 0,
                task: name.clone(),
                run: *run,
                kind: EndKind::Stopped,
                checkpoint: String::new(),
            };
            self.apply_end(id, &end, now_ms);
            return true;
        }
        false
    }

    /// Returns whether a worker lists all runs that it may have, so that an end without a name is of
    /// none of them.
    fn has_no_unlisted_run(&self, id: &WorkerId, report: &WorkerReport) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let is_listed = |name: &TaskName| report.running.iter().any(|run| run.task == *name);
        !self.has_lost_runs(id) && worker.tasks.iter().all(is_listed)
    }

    /// Records how many ends a worker keeps listing, and logs when there are some or none any more.
    fn record_held_ends(&mut self, id: &WorkerId, count: usize, last: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let had_any = std::mem::replace(&mut worker.held_ends, count) > 0;
        if count > 0 && !had_any {
            log::error!("event=ends_held worker={id} ends={count} acknowledged={last} reason=\"an end can't be decoded\"");
        } else if had_any && count == 0 {
            log::info!("event=ends_released worker={id} acknowledged={last}");
        }
    }
}
