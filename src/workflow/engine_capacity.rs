//! Keeps what is started on a worker within the capacity that it states.
//!
//! The capacity may shrink while a worker runs, and a worker may start whatever it is told to.

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::WorkerState;

impl JobEngine {
    /// Returns why the start of a placed task may exceed its worker's capacity, if it may: the capacity may
    /// have shrunk since the placement. `is_list_recent` tells whether the list of workers, which
    /// states the capacities, is.
    pub(crate) fn capacity_doubt(
        &self,
        name: &TaskName,
        is_list_recent: bool,
    ) -> Option<&'static str> {
        let worker = self.workers.get(self.task_state(name)?.worker()?)?;
        if !worker.is_within_capacity() {
            return Some("the worker's capacity has shrunk");
        }
        if !self.guards_capacity(&worker.entry.id) && !is_list_recent {
            return Some("the worker's capacity is not known to be current");
        }
        None
    }

    /// Returns whether a worker's entry is of its newest known incarnation, which may have less capacity
    /// than earlier ones, or the worker guards its capacity.
    pub(crate) fn has_current_entry(&self, worker: &WorkerState) -> bool {
        let id = &worker.entry.id;
        let listed = worker.entry.incarnation_start;
        let is_current = listed.is_none() || listed == self.incarnation_start(id);
        is_current || self.guards_capacity(id)
    }

    /// Returns whether a worker refuses tasks beyond its capacity, as far as the configuration says so.
    pub(crate) fn guards_capacity(&self, id: &WorkerId) -> bool {
        let service = self.workers.get(id).map(|worker| &worker.entry.service);
        let config = self.config.as_ref();
        let pool = config.and_then(|config| config.pool(service?));
        pool.is_some_and(|pool| pool.rejects_overload)
    }

    /// Takes back a placement whose start was not sent, and with it those of the other members of a gang,
    /// which would wait for it in vain.
    pub(crate) fn withdraw_start(&mut self, name: &TaskName) {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|job| job.step(name.step));
        let members = step.filter(|step| step.gang).map_or(0, |step| step.tasks);
        self.release_task(name);
        for index in 0..members {
            let member = TaskName {
                index,
                ..name.clone()
            };
            self.request_stop(&member, "a member of its gang can't start");
        }
    }
}
