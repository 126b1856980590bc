//! Keeps what each organisation has running within its cap.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::placement::planned_job::PlannedJob;
use crate::workflow::placement::planned_job::SLACK_RULES;
use crate::workflow::select_group_deferrals;
use crate::workflow::FleetView;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::ResourceCap;
use crate::workflow::ShareWeight;
use crate::workflow::StepSpec;
use crate::workflow::WorkerResources;

impl JobEngine {
    /// Takes over the caps of the versions that the view has seen, so that a cap that was raised just
    /// before this controller's term is known to be new.
    pub fn adopt_caps(&mut self, view: &FleetView) {
        self.caps = view.caps();
    }

    /// Returns what an organisation has running: the full demand of all its runs that are not
    /// certain to be over.
    pub fn organisation_usage(&self, id: &OrganisationId) -> WorkerResources {
        self.usage.get(id)
    }

    /// Returns how many tasks of a job's step may be started under the cap of its organisation.
    pub(crate) fn cap_room(&self, id: &JobId, step: u32) -> u64 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let organisation = job.spec.organisation.as_ref();
        let (Some(organisation), Some(step)) = (organisation, job.step(step)) else {
            return u64::MAX;
        };
        match self.caps.get(organisation) {
            Some(_) if !self.is_config_recent => 0,
            Some(cap) => cap.room_for(&self.usage.get(organisation), &step.demand),
            None => u64::MAX,
        }
    }

    /// Returns the cap of a job's organisation, if it has one.
    pub(crate) fn cap_of<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> Option<(&'a OrganisationId, &'a ResourceCap)> {
        let id = spec.organisation.as_ref()?;
        Some((id, self.caps.get(id)?))
    }

    /// Returns which part of `wanted` resources an organisation may run beside its running tasks,
    /// from 0 to 1.
    pub(crate) fn cap_fraction(&self, id: &OrganisationId, wanted: &WorkerResources) -> f64 {
        let used = self.usage.get(id);
        let cap = self.caps.get(id);
        cap.map_or(1.0, |cap| cap.fraction(&used, wanted))
    }

    /// Marks the waiting jobs for which there is no room under the cap of their organisation, so
    /// that work that can't run defers no other job. Returns the jobs with a step that can never
    /// run, each with the number of the step.
    pub(crate) fn block_capped_jobs(
        &self,
        by_service: &mut BTreeMap<ServiceId, Vec<PlannedJob<'_>>>,
    ) -> Vec<(JobId, u32)> {
        let mut by_organisation = BTreeMap::<_, Vec<_>>::new();
        let jobs = by_service.values_mut().flatten();
        for job in jobs.filter(|job| job.is_waiting) {
            let organisation = job.job.spec.organisation.as_ref();
            if let Some(id) = organisation.filter(|id| self.caps.get(id).is_some()) {
                by_organisation.entry(id).or_default().push(job);
            }
        }
        let capped = by_organisation.into_iter().filter_map(|(id, jobs)| {
            let cap = self.caps.get(id)?;
            Some(self.block_jobs_of(id, cap, jobs))
        });
        capped.flatten().collect()
    }

    /// Marks the jobs of one organisation for which its cap leaves no room. Its jobs are first
    /// deferred as if the cap were the capacity of a pool.
    fn block_jobs_of(
        &self,
        id: &OrganisationId,
        cap: &ResourceCap,
        mut jobs: Vec<&mut PlannedJob<'_>>,
    ) -> Vec<(JobId, u32)> {
        let mut used = self.usage.get(id);
        let mut wanted = used;
        for job in &jobs {
            for (_, step, tasks) in job.ready_steps() {
                wanted.add(&step.demand.times(tasks));
            }
        }
        if self.is_config_recent && cap.allows(&wanted) {
            return Vec::new();
        }
        let mut oversized = Vec::new();
        for job in &mut jobs {
            let too_large = |(number, step, _)| exceeds_cap(cap, step).then_some(number);
            let number = job.ready_steps().find_map(too_large);
            let Some(number) = number else {
                continue;
            };
            oversized.push((job.id.clone(), number));
            let are_too_large = job.ready_steps().all(|(_, step, _)| exceeds_cap(cap, step));
            job.is_blocked = are_too_large;
        }
        jobs.retain(|job| !job.is_blocked);
        self.defer_under_cap(cap, &mut jobs);
        jobs.sort_by(|first, second| first.order_key().cmp(&second.order_key()));
        for job in jobs {
            let mut ready_tasks = 0;
            let mut granted_tasks = 0;
            for (_, step, tasks) in job.ready_steps() {
                let room = match self.is_config_recent {
                    true => cap.room_for(&used, &step.demand).min(tasks),
                    false => 0,
                };
                let granted = if step.gang && room < tasks { 0 } else { room };
                used.add(&step.demand.times(granted));
                ready_tasks += tasks;
                granted_tasks += granted;
            }
            job.is_blocked = ready_tasks > 0 && granted_tasks == 0;
        }
        oversized
    }

    fn defer_under_cap(&self, cap: &ResourceCap, jobs: &mut [&mut PlannedJob<'_>]) {
        let unlimited = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        let limits = cap.limits();
        let capacity = WorkerResources {
            cpu_millis: unlimited(limits.cpu_millis),
            memory_mb: unlimited(limits.memory_mb),
            gpus: unlimited(limits.gpus),
        };
        let amounts: Vec<_> = jobs
            .iter()
            .map(|job| job.waiting_amounts(&self.durations, |step| step.demand))
            .collect();
        for rule in SLACK_RULES {
            let considered = jobs.iter().zip(&amounts).enumerate();
            let considered = considered.filter_map(|(position, (job, amounts))| {
                Some((position, job.demand(rule, 0, amounts)?))
            });
            let (positions, demands): (Vec<_>, Vec<_>) = considered.unzip();
            let weights = [ShareWeight::default()];
            for deferred in select_group_deferrals(&demands, &capacity, &weights) {
                jobs[positions[deferred]].urgency.defer();
            }
        }
    }

    /// Logs the jobs that can never run under their organisation's cap, each once.
    pub(crate) fn log_oversized(&mut self, oversized: Vec<(JobId, u32)>) {
        for (id, step) in oversized {
            let job = self.jobs.get(&id);
            let organisation = job.and_then(|job| job.spec.organisation.as_ref());
            let Some(organisation) = organisation.filter(|_| !self.oversized_jobs.contains(&id))
            else {
                continue;
            };
            log::warn!(
                "event=job_exceeds_cap job={id} organisation={organisation} step={step} reason=\"it waits until the cap is raised\""
            );
            self.oversized_jobs.insert(id);
        }
    }
}

/// Returns whether a step can't run under the cap even if nothing else does: one of its tasks or,
/// for a gang, all of them together.
pub(crate) fn exceeds_cap(cap: &ResourceCap, step: &StepSpec) -> bool {
    let needed = if step.gang { u64::from(step.tasks) } else { 1 };
    cap.room_for(&WorkerResources::default(), &step.demand) < needed
}
