//! The workers on which tasks are tried that may crash them, which get no other tasks meanwhile.
//!
//! A worker is kept only for a trial that has room on it, and is quiet within about a second: no start
//! is sent to it, so that it reports that it has survived the last ones. A bound on the time ends a wait for
//! a report that doesn't come, and then gives the other tasks of the service their turn.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::TaskName;

/// The time for which a worker is kept, in ms, after which no further trial begins there. Workers with tasks
/// report at least once a second.
const MAX_KEPT_MS: u64 = 1_500;

/// The time for which a worker is open to all tasks after it was kept for that long, in ms.
const MIN_OPEN_MS: u64 = 1_500;

/// What a worker is kept for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeptWorker {
    /// The suspect, or the first member of its gang.
    pub(crate) task: TaskName,
    /// Its trial has begun.
    pub(crate) is_tried: bool,
}

#[derive(Clone, Debug)]
struct TrialWorker {
    service: ServiceId,
    kept: KeptWorker,
    /// Since when the worker has got no other tasks, in ms.
    since_ms: u64,
}

/// The workers that are kept for trials.
#[derive(Debug, Default)]
pub(crate) struct TrialWorkers {
    workers: BTreeMap<WorkerId, TrialWorker>,
    /// When workers may be kept again that were kept for too long, in ms.
    open_until_ms: BTreeMap<WorkerId, u64>,
}

impl TrialWorkers {
    /// Returns the number of kept workers.
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether a worker is kept.
    pub(crate) fn contains(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Returns whether a worker may be kept now.
    pub(crate) fn may_keep(&self, id: &WorkerId) -> bool {
        !self.open_until_ms.contains_key(id)
    }

    /// Opens the workers that were kept for too long to all tasks; returns the suspects that they were kept
    /// for in vain.
    pub(crate) fn open_expired(&mut self, now_ms: u64) -> Vec<TaskName> {
        self.open_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let mut suspects = Vec::new();
        for (id, worker) in &self.workers {
            let kept_ms = now_ms.saturating_sub(worker.since_ms);
            if kept_ms < MAX_KEPT_MS {
                continue;
            }
            // A trial that has begun goes on, but no other one follows it.
            self.open_until_ms.insert(id.clone(), now_ms + MIN_OPEN_MS);
            if !worker.kept.is_tried {
                let (service, task) = (&worker.service, &worker.kept.task);
                log::warn!(
                    "event=trial_expired worker={id} service={service} task={task} kept_ms={kept_ms}"
                );
                suspects.push(task.clone());
            }
        }
        suspects
    }

    /// Replaces the workers of a service that are kept.
    pub(crate) fn replace(
        &mut self,
        service: &ServiceId,
        kept: BTreeMap<WorkerId, KeptWorker>,
        now_ms: u64,
    ) {
        self.workers.retain(|id, worker| {
            let stays = worker.service != *service || kept.contains_key(id);
            if !stays {
                let kept_ms = now_ms.saturating_sub(worker.since_ms);
                log::info!("event=worker_opened worker={id} service={service} kept_ms={kept_ms}");
            }
            stays
        });
        for (id, kept) in kept {
            let known = self.workers.get(&id);
            if known.is_none() {
                let task = &kept.task;
                log::info!("event=worker_kept worker={id} service={service} task={task}");
            }
            let worker = TrialWorker {
                service: service.clone(),
                since_ms: known.map_or(now_ms, |worker| worker.since_ms),
                kept,
            };
            self.workers.insert(id, worker);
        }
    }

    /// Opens the workers of services that `has_pool` says have none any more.
    pub(crate) fn retain_services(&mut self, has_pool: impl Fn(&ServiceId) -> bool) {
        self.workers.retain(|_, worker| has_pool(&worker.service));
    }
}
