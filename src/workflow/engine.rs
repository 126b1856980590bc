//! State machine over all jobs and workers, free of I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use serde_json::Value;

use crate::id::IncarnationStart;
use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::cap_limits::CapLimits;
use crate::workflow::capped_arrivals::CappedArrivals;
use crate::workflow::crash::suspect_tasks::SuspectTasks;
use crate::workflow::engine_refusals::RefusedJob;
use crate::workflow::hosts::host_orders::HostOrders;
use crate::workflow::hosts::new_arrivals::NewArrivals;
use crate::workflow::incarnations::known_incarnations::IncarnationOrder;
use crate::workflow::incarnations::known_incarnations::KnownIncarnations;
use crate::workflow::incarnations::lost_runs::LostRuns;
use crate::workflow::incarnations::worker_epochs::WorkerEpochs;
use crate::workflow::long_task_monitor::LongTaskMonitor;
use crate::workflow::organisation_usage::OrganisationUsage;
use crate::workflow::placement::waiting_turns::WaitingTurns;
use crate::workflow::progress::full_rows::FullRows;
use crate::workflow::ArchivedJobs;
use crate::workflow::CommandPhase;
use crate::workflow::CordonReason;
use crate::workflow::DurationTracker;
use crate::workflow::EarlyCancels;
use crate::workflow::FleetConfig;
use crate::workflow::FleetHealth;
use crate::workflow::JobMemory;
use crate::workflow::JobPhase;
use crate::workflow::JobSpec;
use crate::workflow::JobState;
use crate::workflow::PeakForecast;
use crate::workflow::RateMeter;
use crate::workflow::RowLimit;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerState;

/// How long a run may continue unobserved after its controller lost the lease without releasing
/// it. A run is unobserved while its worker has not answered a later controller. The limit is the
/// time for which a controller renews worker leases without the table, plus the longest worker
/// lease that it requests.
pub const INHERITED_RUN_MS: u64 = 17_000;

/// Like [`INHERITED_RUN_MS`], but after the controller released the lease: the longest worker
/// lease that it requests, on a slow clock, plus a renewal in flight.
pub const RELEASED_RUN_MS: u64 = 6_000;

/// The number of tasks in the rows of one commit from which the others wait for the next one: rows take some 30
/// bytes of memory for each task until they are encoded.
const MAX_TAKEN_TASKS: usize = 100_000;

/// An action that must wait until the rows that caused it are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitEffect {
    /// Send the start command of this run of the task. A later run has an effect of its own, since
    /// its placement is committed later.
    Start(TaskName, u64),
    /// Acknowledge the worker's task ends up to this sequence number, which the incarnation with
    /// this start has counted; with the number and job of each.
    Acknowledge(WorkerId, Option<IncarnationStart>, u64, Vec<(u64, JobId)>),
}

/// A stop command to send; it does not wait for a commit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopRequest {
    /// The worker that runs the task.
    pub worker: WorkerId,
    /// The start of the incarnation that the stop is meant for, as far as it is known.
    pub incarnation_start: Option<IncarnationStart>,
    /// The task to stop.
    pub task: TaskName,
    /// The number of the run to stop.
    pub run: u64,
    /// The reason, for the log.
    pub reason: &'static str,
}

/// The jobs and workers of the controller that holds the lease.
pub struct JobEngine {
    /// The active configuration; `None` before the first was read.
    pub config: Option<Rc<FleetConfig>>,
    /// All jobs that have not been archived, ended ones included.
    pub jobs: BTreeMap<JobId, JobState>,
    /// All known workers, including unlisted ones that still have tasks.
    pub workers: BTreeMap<WorkerId, WorkerState>,
    /// Ended jobs that are no longer among `jobs`.
    pub(crate) archived: ArchivedJobs,
    /// Cancellations that were answered before their jobs were stored.
    pub early_cancels: EarlyCancels,
    /// Jobs with loaded progress but without submissions, since their move was not finished.
    pub(crate) leftover_progress: Vec<JobId>,
    /// Jobs whose progress rows must be written with the next commit.
    pub(crate) changed: BTreeSet<JobId>,
    /// Effects of the next commit.
    pub(crate) effects: Vec<CommitEffect>,
    /// Effects of decisions that the table refuses to store.
    pub(crate) withheld_effects: Vec<CommitEffect>,
    /// The limit on the durable row of a job.
    pub(crate) row_limit: RowLimit,
    pub(crate) full_rows: FullRows,
    /// Jobs whose rows the table has refused.
    pub(crate) refused_jobs: BTreeMap<JobId, RefusedJob>,
    pub(crate) stops: Vec<StopRequest>,
    /// Jobs that have not ended, and ended ones that still have placed tasks.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Open jobs that may have unplaced tasks.
    pub(crate) waiting_jobs: BTreeSet<JobId>,
    /// The largest CPU capacity, in millicores, of each pool's workers in this term, and when it was noted.
    pub(crate) pool_capacities: BTreeMap<ServiceId, u64>,
    pub(crate) capacities_ms: u64,
    pub(crate) forecast: PeakForecast,
    pub(crate) durations: DurationTracker,
    /// The rates of organisations in this term.
    pub(crate) rates: RateMeter,
    /// The last placement pass left tasks without a worker.
    pub(crate) has_waiting: bool,
    /// Whose turn it is among the jobs that passes leave out, and how many the last one left out.
    pub(crate) turns: WaitingTurns,
    pub(crate) left_out: usize,
    /// What the regular check of all workers keeps.
    pub fleet_health: FleetHealth,
    pub(crate) long_tasks: LongTaskMonitor,
    /// The newest incarnation of each worker. Ended ones are not added again if still listed.
    pub(crate) incarnations: KnownIncarnations,
    /// The epochs of incarnations that follow an earlier one.
    pub(crate) worker_epochs: WorkerEpochs,
    /// The runs that were lost with the lease of their worker, which has not reported since.
    pub(crate) lost_runs: BTreeMap<WorkerId, LostRuns>,
    /// The time until which runs of earlier controllers may continue unobserved, in ms.
    pub(crate) inherited_until_ms: u64,
    /// The same for workers of which the last holder stated it.
    pub(crate) silent_until_ms: BTreeMap<WorkerId, u64>,
    /// The time up to which leases may last that were requested while the state was loaded, in ms.
    pub(crate) early_leases_ms: BTreeMap<WorkerId, u64>,
    /// Workers that this holder leaves to the next one.
    pub(crate) given_up_workers: BTreeSet<WorkerId>,
    /// Tasks that were restored as placed on workers that are not known yet.
    pub(crate) restored_placements: BTreeMap<WorkerId, Vec<TaskName>>,
    /// What was ordered of hosts, and which workers that may have ended.
    pub(crate) host_orders: HostOrders,
    pub(crate) arrivals: NewArrivals,
    /// The cordons of workers that are not listed yet.
    pub(crate) early_cordons: BTreeMap<WorkerId, CordonReason>,
    /// Workers with long-running tasks that are about to leave, and since when this is known, in ms.
    pub(crate) leaving_workers: BTreeMap<WorkerId, u64>,
    /// Workers that the last list of hosts showed on no host, although they may have runs.
    pub(crate) unhosted: BTreeSet<WorkerId>,
    /// Whether `config` was confirmed as the newest version within the time in which a new one must
    /// be in force. Otherwise, a lower cap may be, and organisations with a cap start nothing.
    pub is_config_recent: bool,
    pub(crate) suspects: SuspectTasks,
    pub(crate) usage: OrganisationUsage,
    pub(crate) caps: CapLimits,
    pub(crate) capped_arrivals: CappedArrivals,
    pub(crate) job_memory: JobMemory,
    /// Jobs of which a task or gang exceeds its organisation's cap, so that they are logged once.
    pub(crate) oversized_jobs: BTreeSet<JobId>,
}

impl JobEngine {
    /// Creates the engine of a controller that started at `now_ms`; runs of earlier
    /// controllers may continue unobserved for `inherited_ms`.
    pub fn new(now_ms: u64, inherited_ms: u64) -> Self {
        Self {
            config: None,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            archived: ArchivedJobs::new(),
            early_cancels: EarlyCancels::new(),
            leftover_progress: Vec::new(),
            changed: BTreeSet::new(),
            effects: Vec::new(),
            withheld_effects: Vec::new(),
            row_limit: RowLimit::default(),
            full_rows: FullRows::default(),
            refused_jobs: BTreeMap::new(),
            stops: Vec::new(),
            open_jobs: BTreeSet::new(),
            waiting_jobs: BTreeSet::new(),
            pool_capacities: BTreeMap::new(),
            capacities_ms: 0,
            forecast: PeakForecast::new(),
            durations: DurationTracker::new(),
            rates: RateMeter::new(),
            has_waiting: false,
            turns: WaitingTurns::default(),
            left_out: 0,
            fleet_health: FleetHealth::default(),
            long_tasks: LongTaskMonitor::default(),
            incarnations: KnownIncarnations::default(),
            worker_epochs: WorkerEpochs::default(),
            lost_runs: BTreeMap::new(),
            inherited_until_ms: now_ms + inherited_ms,
            silent_until_ms: BTreeMap::new(),
            early_leases_ms: BTreeMap::new(),
            given_up_workers: BTreeSet::new(),
            restored_placements: BTreeMap::new(),
            host_orders: HostOrders::default(),
            arrivals: NewArrivals::default(),
            early_cordons: BTreeMap::new(),
            leaving_workers: BTreeMap::new(),
            unhosted: BTreeSet::new(),
            is_config_recent: true,
            suspects: SuspectTasks::default(),
            usage: OrganisationUsage::default(),
            caps: CapLimits::default(),
            capped_arrivals: CappedArrivals::default(),
            job_memory: JobMemory::default(),
            oversized_jobs: BTreeSet::new(),
        }
    }

    /// Sets the limit on the durable row of a job.
    #[must_use]
    pub fn with_row_limit(mut self, limit: RowLimit) -> Self {
        self.row_limit = limit;
        self
    }

    /// Sets the limit on the bytes that jobs take in memory.
    #[must_use]
    pub fn with_memory_limit(mut self, limit_bytes: Option<usize>) -> Self {
        self.job_memory.limit_bytes = limit_bytes;
        self
    }

    /// Adds a job and restores its durable progress; a job without progress counts as a new
    /// arrival, and one whose progress is unreadable runs nothing. No effect if the job is already
    /// known or archived: a feed that is read again from its start may deliver a submission that was
    /// archived meanwhile.
    pub fn add_job(&mut self, id: JobId, spec: JobSpec, progress: Option<&Value>, now_ms: u64) {
        if self.jobs.contains_key(&id) || self.archived.contains(&id) {
            return;
        }
        let job = JobState::new(id.clone(), Rc::new(spec), now_ms);
        let mut job = job.with_row_limit(self.row_limit);
        if progress.is_none() {
            job.is_over_rate = self.record_rate(&Rc::clone(&job.spec), now_ms);
            // Over-rate jobs request no hosts.
            if !job.is_over_rate {
                self.record_arrival(&Rc::clone(&job.spec), now_ms);
            }
        }
        if let Some(progress) = progress {
            if job.restore(progress, now_ms).is_none() {
                log::error!("event=progress_unreadable job={id} action=held");
                // Its tasks may be done, so none is open to placement until it is cancelled.
                let job = JobState::new(id.clone(), Rc::clone(&job.spec), now_ms);
                self.jobs.insert(id, job.with_row_limit(self.row_limit));
                return;
            }
        }
        let inherited: Vec<_> = job
            .placed_tasks()
            .filter_map(|(name, state)| Some((name, state.worker()?.clone())))
            .collect();
        if !job.phase.has_ended() || !inherited.is_empty() {
            self.open_jobs.insert(id.clone());
            self.waiting_jobs.insert(id.clone());
        }
        let spec = Rc::clone(&job.spec);
        self.jobs.insert(id.clone(), job);
        self.restore_suspects(&id, now_ms);
        for (name, worker) in inherited {
            self.usage.add(&spec, &spec.steps[name.step as usize]);
            match self.workers.get_mut(&worker) {
                Some(known) => known.add_task(name.clone(), &spec.steps[name.step as usize]),
                None => {
                    let placements = self.restored_placements.entry(worker).or_default();
                    placements.push(name);
                }
            }
        }
    }

    /// Cancels a job unless it is unknown or has ended.
    pub fn cancel_job(&mut self, id: &JobId, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.phase.has_ended() {
            return;
        }
        log::info!("event=job_cancelled job={id}");
        self.end_job(id, JobPhase::Cancelled, now_ms);
    }

    /// Adds or updates a worker from the platform's list, read at `now_ms`. Entries of incarnations
    /// that have ended or that a newer one has replaced are ignored.
    pub fn set_worker(&mut self, entry: WorkerEntry, now_ms: u64) {
        let id = entry.id.clone();
        let start = entry.incarnation_start;
        let order = self.incarnations.observe(&id, start, now_ms);
        if order == IncarnationOrder::Late || self.incarnations.has_ended(&id) {
            return;
        }
        if order == IncarnationOrder::New {
            self.begin_incarnation(&id, now_ms);
        }
        if entry.draining {
            self.record_leaving(&id, now_ms);
        }
        match self.workers.get_mut(&id) {
            Some(worker) => {
                if entry.draining && !worker.entry.draining {
                    log::info!("event=worker_draining worker={id}");
                }
                worker.log_capacity_change(&entry.capacity);
                worker.entry = Rc::new(entry);
                worker.listed = true;
            }
            None => {
                let service = &entry.service;
                log::info!("event=worker_listed worker={id} service={service}");
                let mut worker = WorkerState::new(entry);
                worker.cordon = self.early_cordons.remove(&id);
                self.add_restored_tasks(&mut worker);
                self.workers.insert(id.clone(), worker);
                self.record_new_worker(&id, now_ms);
            }
        }
    }

    /// Marks a worker as removed from the platform's list; it is kept while it has tasks or is to
    /// report lost runs.
    pub fn unlist_worker(&mut self, id: &WorkerId) {
        let is_needed = self.has_lost_runs(id) || self.usage.has_unplaced_runs(id);
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!("event=worker_unlisted worker={id}");
            worker.listed = false;
            if worker.tasks.is_empty() && !is_needed {
                self.workers.remove(id);
            }
        }
    }

    /// Takes a placed task off its worker and returns it to the waiting state.
    pub(crate) fn release_task(&mut self, name: &TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let Some(state) = job.task_mut(name) else {
            return;
        };
        if let TaskPhase::Placed { worker, .. } = &state.phase {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.remove_task(name, &spec.steps[name.step as usize]);
            }
            self.usage.remove(&spec, &spec.steps[name.step as usize]);
            state.phase = TaskPhase::Waiting;
            state.percent = 0;
            self.changed.insert(name.job.clone());
            self.waiting_jobs.insert(name.job.clone());
        }
        self.close_if_finished(&name.job);
    }

    /// Ends a job and requests a stop of its placed tasks.
    pub(crate) fn end_job(&mut self, id: &JobId, phase: JobPhase, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        job.ended_ms = now_ms;
        self.changed.insert(id.clone());
        let placed: Vec<_> = job.placed_tasks().map(|(name, _)| name).collect();
        for name in placed {
            self.request_stop(&name, "the job has ended");
        }
        self.close_if_finished(id);
    }

    /// Requests a stop of a placed task; a task whose start was not sent is released instead.
    pub(crate) fn request_stop(&mut self, name: &TaskName, reason: &'static str) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let Some(state) = job.task_mut(name) else {
            return;
        };
        let TaskPhase::Placed {
            worker, command, ..
        } = &mut state.phase
        else {
            return;
        };
        match command {
            CommandPhase::Committing => self.release_task(name),
            // An inherited run is stopped once its worker reports it.
            CommandPhase::Inherited(_) | CommandPhase::Stopping | CommandPhase::Stopped(_) => {}
            _ => {
                *command = CommandPhase::Stopping;
                let worker = worker.clone();
                let run = state.last_run;
                self.push_stop(&worker, name, run, reason);
            }
        }
    }

    /// Takes changed rows, and the effects to apply once they are durable. Rows that list more tasks than
    /// [`MAX_TAKEN_TASKS`] together are left for the next call, with their effects.
    pub fn take_changes(&mut self) -> (Vec<(JobId, Value)>, Vec<CommitEffect>) {
        let mut changed = std::mem::take(&mut self.changed);
        let mut rows = Vec::new();
        let mut tasks = 0;
        while tasks < MAX_TAKEN_TASKS {
            let Some(id) = changed.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.get(&id) {
                tasks += job.task_count();
                rows.push((id, job.to_value()));
            }
        }
        self.changed = changed;
        // Withheld acknowledgements come before later ones of the same worker.
        let mut effects = std::mem::take(&mut self.withheld_effects);
        effects.append(&mut self.effects);
        if !self.changed.is_empty() {
            effects = self.keep_effects_of_changed(effects);
        }
        (rows, effects)
    }

    /// Keeps the effects of decisions whose rows are not taken yet; returns the others. An acknowledgement covers
    /// all earlier ends of its worker, so later ones wait for one that is kept.
    fn keep_effects_of_changed(&mut self, effects: Vec<CommitEffect>) -> Vec<CommitEffect> {
        let mut waiting_workers = BTreeSet::new();
        let (kept, taken) = effects.into_iter().partition(|effect| match effect {
            CommitEffect::Start(task, _) => self.changed.contains(&task.job),
            CommitEffect::Acknowledge(worker, _, _, jobs) => {
                let mut jobs = jobs.iter();
                let is_kept = waiting_workers.contains(worker)
                    || jobs.any(|(_, job)| self.changed.contains(job));
                if is_kept {
                    waiting_workers.insert(worker.clone());
                }
                is_kept
            }
        });
        self.effects = kept;
        taken
    }

    /// Returns whether rows were left for the next commit.
    pub(crate) fn has_untaken_rows(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns whether rows, effects or restarted workers wait for a commit.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.effects.is_empty() || self.is_epoch_due()
    }

    /// Returns whether the last placement pass left tasks without a worker.
    pub fn has_waiting_tasks(&self) -> bool {
        self.has_waiting
    }

    /// Returns the remaining time for which runs of earlier controllers may continue unobserved,
    /// in ms.
    pub fn inherited_ms(&self, now_ms: u64) -> u64 {
        self.inherited_until_ms.saturating_sub(now_ms)
    }

    /// Takes the stop commands to send.
    pub fn take_stops(&mut self) -> Vec<StopRequest> {
        std::mem::take(&mut self.stops)
    }

    /// Removes an ended job without placed tasks from the open jobs.
    fn close_if_finished(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.phase.has_ended() && job.placed_tasks().next().is_none() {
            self.open_jobs.remove(id);
        }
    }
}
