//! Jobs whose durable rows the table refuses; see docs/design/refused-rows.md.
//!
//! None of the effects of a decision may happen before it is durable. A job whose row is refused
//! must keep neither the jobs that share its workers from going on, nor later controllers.

use crate::id::JobId;
use crate::workflow::commit::refused_rows::FIRST_PAUSE_MS;
use crate::workflow::commit::refused_rows::MAX_PAUSE_MS;
use crate::workflow::CommandPhase;
use crate::workflow::CommitEffect;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;

/// Time for which a job's row may be refused before the job fails, in ms. Its ends are not
/// acknowledged meanwhile, and a worker that ends 30 tasks a second lists no others after 17 s.
const MAX_UNSAVED_MS: u64 = 5_000;

/// A job whose row was refused.
#[derive(Clone, Debug)]
pub(crate) struct RefusedJob {
    /// Since when the state in memory is not durable, in ms; `None` if it is.
    unsaved_since_ms: Option<u64>,
    /// Time until which no task is placed, in ms.
    held_until_ms: u64,
    pause_ms: u64,
}

impl JobEngine {
    /// Records that the table refused a job's row. Returns whether the row has become smaller and can
    /// be sent at once.
    pub fn record_refused_row(&mut self, id: &JobId, now_ms: u64) -> bool {
        if !self.jobs.contains_key(id) {
            return false;
        }
        let refused = self.refused_jobs.entry(id.clone()).or_insert(RefusedJob {
            unsaved_since_ms: None,
            held_until_ms: 0,
            pause_ms: FIRST_PAUSE_MS,
        });
        refused.held_until_ms = now_ms + refused.pause_ms;
        refused.pause_ms = (refused.pause_ms * 2).min(MAX_PAUSE_MS);
        let since_ms = refused.unsaved_since_ms;
        refused.unsaved_since_ms = Some(since_ms.unwrap_or(now_ms));
        match since_ms {
            None => self.reduce_job(id),
            Some(since_ms) if now_ms >= since_ms + MAX_UNSAVED_MS => self.give_up_job(id, now_ms),
            Some(_) => false,
        }
    }

    /// Records that the table accepted a job's row.
    pub fn record_saved_row(&mut self, id: &JobId, now_ms: u64) {
        let Some(refused) = self.refused_jobs.get_mut(id) else {
            return;
        };
        refused.unsaved_since_ms = None;
        if now_ms >= refused.held_until_ms {
            self.refused_jobs.remove(id);
        }
    }

    /// Returns whether rows of jobs were refused lately.
    pub(crate) fn has_refused_jobs(&self) -> bool {
        !self.refused_jobs.is_empty()
    }

    /// Returns whether the table refuses to store a job's state.
    pub fn is_unsaved(&self, id: &JobId) -> bool {
        let refused = self.refused_jobs.get(id);
        refused.is_some_and(|refused| refused.unsaved_since_ms.is_some())
    }

    /// Returns whether no task of a job may be placed because its row was refused.
    pub(crate) fn is_held(&self, id: &JobId, now_ms: u64) -> bool {
        let refused = self.refused_jobs.get(id);
        refused.is_some_and(|one| one.unsaved_since_ms.is_some() || now_ms < one.held_until_ms)
    }

    /// Returns those effects of a commit whose decisions are durable. Acknowledgements from the first
    /// end on that isn't are kept for the next commit; starts are dropped.
    pub fn permitted_effects(&mut self, effects: Vec<CommitEffect>) -> Vec<CommitEffect> {
        if self.refused_jobs.is_empty() {
            return effects;
        }
        let mut permitted = Vec::with_capacity(effects.len());
        let mut withheld = Vec::new();
        // An earlier transaction of the same commit may have withheld some.
        let earlier = self
            .withheld_effects
            .iter()
            .filter_map(|effect| match effect {
                CommitEffect::Acknowledge(worker, start, ..) => Some((worker.clone(), *start)),
                CommitEffect::Start(..) => None,
            });
        let mut blocked: Vec<_> = earlier.collect();
        for effect in effects {
            let (worker, start, last, mut jobs) = match effect {
                CommitEffect::Start(task, _) if self.is_unsaved(&task.job) => continue,
                CommitEffect::Start(..) => {
                    permitted.push(effect);
                    continue;
                }
                CommitEffect::Acknowledge(worker, start, last, jobs) => (worker, start, last, jobs),
            };
            let unsaved = jobs.iter().position(|(_, job)| self.is_unsaved(job));
            let unsaved = match blocked.contains(&(worker.clone(), start)) {
                true => Some(0),
                false => unsaved,
            };
            let Some(position) = unsaved else {
                permitted.push(CommitEffect::Acknowledge(worker, start, last, jobs));
                continue;
            };
            blocked.push((worker.clone(), start));
            let rest = jobs.split_off(position);
            if let Some((number, _)) = jobs.last() {
                let number = *number;
                permitted.push(CommitEffect::Acknowledge(
                    worker.clone(),
                    start,
                    number,
                    jobs,
                ));
            }
            withheld.push(CommitEffect::Acknowledge(worker, start, last, rest));
        }
        // Later effects were added while the commit was under way, and come behind these.
        self.withheld_effects.append(&mut withheld);
        permitted
    }

    /// Takes back placements whose starts were not sent, and drops checkpoints.
    fn reduce_job(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        job.drop_checkpoints();
        let placed = job.placed_tasks();
        let unsent =
            placed.filter(|(_, state)| state.command_phase() == Some(CommandPhase::Committing));
        let unsent: Vec<_> = unsent.map(|(name, _)| name).collect();
        for name in unsent {
            self.release_task(&name);
        }
        self.changed.insert(id.clone());
        true
    }

    /// Ends a job that can't be stored, and stores only its phase.
    fn give_up_job(&mut self, id: &JobId, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.omits_tasks()) else {
            return false;
        };
        job.omit_tasks();
        let has_ended = job.phase.has_ended();
        self.changed.insert(id.clone());
        if !has_ended {
            log::error!(
                "event=job_failed job={id} reason=\"the table refuses to store its state\""
            );
            self.end_job(id, JobPhase::Failed, now_ms);
        }
        true
    }
}
