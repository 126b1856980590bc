//! The resources that each organisation has in use.
//!
//! A placement counts from the decision, before its start is sent, until its task is released, so
//! starts that are in transit, unanswered or inherited count. A run that a worker reports although
//! no task is placed for it, such as a start that was executed late, counts while it is listed.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::JobId;
use crate::id::OrganisationId;
use crate::id::WorkerId;
use crate::workflow::JobSpec;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::WorkerResources;

/// How long the demand of an archived job's tasks is kept, in ms, because a start may be executed
/// up to 12 s late.
const LATE_START_MS: u64 = 15_000;

/// What one organisation has in use.
#[derive(Debug, Default)]
struct UsageEntry {
    /// The full demand of its tasks, including the CPU that backfill tasks do not reserve.
    demand: WorkerResources,
    /// The resources that its placed tasks reserve on workers, by queue.
    reserved_by_queue: HashMap<String, WorkerResources>,
}

/// A run without a placed task.
#[derive(Debug)]
struct UnplacedRun {
    task: TaskName,
    run: u64,
    organisation: OrganisationId,
    demand: WorkerResources,
}

/// What is kept of an archived job in case that one of its starts is executed late.
#[derive(Debug)]
struct ArchivedDemand {
    organisation: OrganisationId,
    step_demands: Vec<WorkerResources>,
    until_ms: u64,
}

/// The usage of all organisations, updated with each placement and release.
#[derive(Debug, Default)]
pub(crate) struct OrganisationUsage {
    entries: HashMap<OrganisationId, UsageEntry>,
    unplaced_runs: BTreeMap<WorkerId, Vec<UnplacedRun>>,
    archived: BTreeMap<JobId, ArchivedDemand>,
}

impl OrganisationUsage {
    /// Counts a placed task of the job's organisation, if it has one.
    pub(crate) fn add(&mut self, spec: &JobSpec, step: &StepSpec) {
        let Some(organisation) = &spec.organisation else {
            return;
        };
        let entry = self.entry(organisation);
        entry.demand.add(&step.demand);
        match entry.reserved_by_queue.get_mut(&spec.queue) {
            Some(reserved) => reserved.add(&step.reserved()),
            None => {
                let reserved = step.reserved();
                entry.reserved_by_queue.insert(spec.queue.clone(), reserved);
            }
        }
    }

    /// Takes back a placed task that was counted by [`OrganisationUsage::add`].
    pub(crate) fn remove(&mut self, spec: &JobSpec, step: &StepSpec) {
        let organisation = spec.organisation.as_ref();
        let Some(entry) = organisation.and_then(|id| self.entries.get_mut(id)) else {
            return;
        };
        entry.demand = entry.demand.saturating_sub(&step.demand);
        let Some(reserved) = entry.reserved_by_queue.get_mut(&spec.queue) else {
            return;
        };
        *reserved = reserved.saturating_sub(&step.reserved());
        // A configuration may have thousands of queues, of which few are in use.
        if *reserved == WorkerResources::default() {
            entry.reserved_by_queue.remove(&spec.queue);
        }
    }

    /// Returns the full demand of all runs of an organisation that are not certain to be over.
    pub(crate) fn get(&self, organisation: &OrganisationId) -> WorkerResources {
        let entry = self.entries.get(organisation);
        entry.map_or_else(WorkerResources::default, |entry| entry.demand)
    }

    /// Returns the resources that an organisation's placed tasks reserve, by queue.
    pub(crate) fn reserved_by_queue(
        &self,
        organisation: &OrganisationId,
    ) -> impl Iterator<Item = (&String, &WorkerResources)> {
        let entry = self.entries.get(organisation).into_iter();
        entry.flat_map(|entry| &entry.reserved_by_queue)
    }

    /// Counts a run that a worker lists and for which no task is placed there. `spec` is the job's
    /// specification, if the job is known. No effect if the run is already counted.
    pub(crate) fn add_unplaced_run(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        run: u64,
        spec: Option<&JobSpec>,
    ) {
        let mut known = self.unplaced_runs.get(worker).into_iter().flatten();
        if known.any(|one| one.task == *task && one.run == run) {
            return;
        }
        let Some((organisation, demand)) = self.demand_of(task, spec) else {
            return;
        };
        log::warn!(
            "event=unplaced_run_counted organisation={organisation} task={task} run={run} worker={worker}"
        );
        self.entry(&organisation).demand.add(&demand);
        let runs = self.unplaced_runs.entry(worker.clone()).or_default();
        runs.push(UnplacedRun {
            task: task.clone(),
            run,
            organisation,
            demand,
        });
    }

    /// Stops counting those unplaced runs of a worker for which `is_listed` returns `false`.
    pub(crate) fn retain_unplaced_runs(
        &mut self,
        worker: &WorkerId,
        is_listed: impl Fn(&TaskName, u64) -> bool,
    ) {
        let Some(runs) = self.unplaced_runs.remove(worker) else {
            return;
        };
        let (listed, over): (Vec<_>, Vec<_>) = runs
            .into_iter()
            .partition(|one| is_listed(&one.task, one.run));
        for one in over {
            let entry = self.entry(&one.organisation);
            entry.demand = entry.demand.saturating_sub(&one.demand);
        }
        if !listed.is_empty() {
            self.unplaced_runs.insert(worker.clone(), listed);
        }
    }

    /// Returns whether a worker lists runs without placed tasks.
    pub(crate) fn has_unplaced_runs(&self, worker: &WorkerId) -> bool {
        self.unplaced_runs.contains_key(worker)
    }

    /// Keeps the demand of an archived job's tasks for as long as a start may be executed late.
    pub(crate) fn record_archived(&mut self, id: &JobId, spec: &JobSpec, now_ms: u64) {
        self.archived.retain(|_, job| now_ms <= job.until_ms);
        if let Some(organisation) = &spec.organisation {
            let archived = ArchivedDemand {
                organisation: organisation.clone(),
                step_demands: spec.steps.iter().map(|step| step.demand).collect(),
                until_ms: now_ms + LATE_START_MS,
            };
            self.archived.insert(id.clone(), archived);
        }
    }

    fn entry(&mut self, organisation: &OrganisationId) -> &mut UsageEntry {
        self.entries.entry(organisation.clone()).or_default()
    }

    fn demand_of(
        &self,
        task: &TaskName,
        spec: Option<&JobSpec>,
    ) -> Option<(OrganisationId, WorkerResources)> {
        let step = task.step as usize;
        match spec {
            Some(spec) => Some((spec.organisation.clone()?, spec.steps.get(step)?.demand)),
            None => {
                let job = self.archived.get(&task.job)?;
                Some((job.organisation.clone(), *job.step_demands.get(step)?))
            }
        }
    }
}
