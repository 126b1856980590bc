//! Passes on to the next holder for how long runs on workers that don't answer may continue.
//!
//! Entry hosts are restarted one after another. A holder that knew nothing of the lease of a silent worker
//! would wait for the longest one that its predecessor may have requested, and each further holder
//! would begin to wait anew.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::WorkerState;

/// The limit on stated workers, for which the leader row has room. Others are waited for as if nothing
/// were known of them.
const MAX_SILENT_WORKERS: usize = 100;

/// Workers that don't answer a holder, with the time for which runs on them may continue, in ms.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentWorkers(BTreeMap<WorkerId, u64>);

impl SilentWorkers {
    /// Returns whether no worker is stated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the time for which runs on a worker may continue, in ms; `None` if it isn't stated.
    pub fn run_ms(&self, id: &WorkerId) -> Option<u64> {
        self.0.get(id).copied()
    }
}

impl JobEngine {
    /// Adopts what the last holder stated when it released the lease.
    pub fn adopt_silent_workers(&mut self, silent: &SilentWorkers, now_ms: u64) {
        let until = silent.0.iter().map(|(id, &ms)| (id.clone(), now_ms + ms));
        self.silent_until_ms.extend(until);
    }

    /// Gives up the workers that don't answer, and states for how long runs on them may continue. From now
    /// on no lease is requested from them and no task started there, even if they answer.
    pub fn give_up_silent_workers(&mut self, now_ms: u64) -> SilentWorkers {
        let known = self.workers.iter().filter_map(|(id, worker)| {
            let run_ms = self.silent_run_ms(id, worker, now_ms)?;
            Some((id.clone(), run_ms))
        });
        let unknown = self.restored_placements.keys().map(|id| {
            let until_ms = self.unobserved_until_ms(id);
            (id.clone(), until_ms.saturating_sub(now_ms))
        });
        let stated: BTreeMap<_, _> = known.chain(unknown).take(MAX_SILENT_WORKERS).collect();
        self.given_up_workers.extend(stated.keys().cloned());
        SilentWorkers(stated)
    }

    /// Returns whether this holder has given up a worker.
    pub(crate) fn has_given_up(&self, id: &WorkerId) -> bool {
        self.given_up_workers.contains(id)
    }

    /// Returns the time until which runs of earlier controllers may continue on a worker that has not
    /// answered this one, in ms.
    pub(crate) fn unobserved_until_ms(&self, id: &WorkerId) -> u64 {
        let stated_ms = self.silent_until_ms.get(id).copied();
        let inherited_ms = stated_ms.unwrap_or(u64::MAX).min(self.inherited_until_ms);
        inherited_ms.max(self.early_lease_until_ms(id))
    }

    /// Returns for how long runs on a worker that doesn't answer may continue, in ms; `None` if it answers,
    /// has no tasks, or may run those of an earlier incarnation for longer than its lease.
    fn silent_run_ms(&self, id: &WorkerId, worker: &WorkerState, now_ms: u64) -> Option<u64> {
        let is_silent = worker.unresponsive_since_ms > 0 && !worker.tasks.is_empty();
        if !is_silent || worker.has_carried_tasks() {
            return None;
        }
        match worker.has_accepted_epoch {
            true => worker.lease_left_ms(now_ms),
            false => Some(self.unobserved_until_ms(id).saturating_sub(now_ms)),
        }
    }
}
