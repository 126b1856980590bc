//! When the effects of a commit of several transactions may be applied.

use std::collections::HashMap;

use crate::id::JobId;
use crate::id::WorkerId;
use crate::workflow::CommitEffect;

/// The effects of a commit, by the number of the transaction after which all rows that caused them are
/// durable.
pub(crate) struct EffectOrder {
    by_part: Vec<Vec<CommitEffect>>,
}

impl EffectOrder {
    /// Orders `effects` by the transactions of a commit; `parts` yields the jobs whose rows each of them
    /// writes. Effects of jobs without a row wait for the last one.
    pub(crate) fn new(effects: Vec<CommitEffect>, parts: &[Vec<JobId>]) -> Self {
        let last = parts.len().saturating_sub(1);
        let mut by_part: Vec<Vec<CommitEffect>> = Vec::with_capacity(last + 1);
        by_part.resize_with(last + 1, Vec::new);
        if last == 0 {
            by_part[0] = effects;
            return Self { by_part };
        }
        let numbered = parts.iter().enumerate();
        let part_of: HashMap<&JobId, usize> = numbered
            .flat_map(|(part, jobs)| jobs.iter().map(move |job| (job, part)))
            .collect();
        let part_of = |job: &JobId| part_of.get(job).copied().unwrap_or(last);
        // A worker discards all ends up to the acknowledged one.
        let mut acknowledged: HashMap<WorkerId, usize> = HashMap::new();
        for effect in effects {
            let part = match &effect {
                CommitEffect::Start(task, _) => part_of(&task.job),
                CommitEffect::Acknowledge(worker, _, _, jobs) => {
                    let own = jobs.iter().map(|(_, job)| part_of(job)).max();
                    let part = acknowledged.entry(worker.clone()).or_default();
                    *part = own.unwrap_or(last).max(*part);
                    *part
                }
            };
            by_part[part].push(effect);
        }
        Self { by_part }
    }

    /// Takes the effects that may be applied once the transaction with this number is durable.
    pub(crate) fn take(&mut self, part: usize) -> Vec<CommitEffect> {
        self.by_part
            .get_mut(part)
            .map(std::mem::take)
            .unwrap_or_default()
    }
}
