//! A workflow engine whose workers' reports and answers are simulated, without I/O.

#![allow(dead_code)] // Each test file uses only some of the fixtures.

use std::collections::BTreeMap;
use std::rc::Rc;

use zincpier::id::JobId;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::PoolConfig;
use zincpier::workflow::QueueConfig;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::RunningTask;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::WorkerResources;
use zincpier::workflow::INHERITED_RUN_MS;

pub(crate) const JOB: &str = "00000000000000a1";
/// Failed runs of a task after which its job fails.
pub(crate) const ATTEMPTS: u32 = 3;
/// The length of a worker's lease.
pub(crate) const LEASE_MS: u64 = 4_000;
pub(crate) const QUEUE: &str = "r-one";
pub(crate) const SERVICE: &str = "grading";

/// An engine and its simulated workers, which answer only when a test lets them report.
pub(crate) struct EngineFleet {
    pub(crate) engine: JobEngine,
    pub(crate) now_ms: u64,
    workers: Vec<WorkerEntry>,
    /// The sequence number of the last task end of each worker.
    ends: BTreeMap<WorkerId, u64>,
}

impl EngineFleet {
    pub(crate) fn new(workers: usize) -> Self {
        let workers: Vec<_> = (0..workers).map(worker_entry).collect();
        let now_ms = 1_000_000;
        let mut fleet = Self {
            engine: JobEngine::new(now_ms, 0),
            now_ms,
            workers,
            ends: BTreeMap::new(),
        };
        fleet.list_workers();
        fleet
    }

    fn list_workers(&mut self) {
        self.engine.config = Some(Rc::new(config()));
        for worker in &self.workers {
            self.engine.set_worker(worker.clone(), self.now_ms);
        }
        self.report_empty();
    }

    pub(crate) fn submit(&mut self, id: &str, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            queue: QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps,
            schedule: None,
        };
        let id = id.parse().unwrap();
        self.engine.add_job(id, spec, None, self.now_ms);
    }

    /// Submits a job of an organisation.
    pub(crate) fn submit_for(&mut self, organisation: &str, id: &str, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            queue: QUEUE.to_owned(),
            organisation: Some(organisation.parse().unwrap()),
            payload: "text".to_owned(),
            steps,
            schedule: None,
        };
        let id = id.parse().unwrap();
        self.engine.add_job(id, spec, None, self.now_ms);
    }

    /// Puts a new version of the configuration with these organisations in force.
    pub(crate) fn set_organisations(&mut self, organisations: Vec<Organisation>) {
        let mut next = FleetConfig::clone(self.engine.config.as_ref().unwrap());
        next.version += 1;
        next.organisations = Some(OrganisationDirectory::new(organisations));
        self.engine.config = Some(Rc::new(next));
    }

    pub(crate) fn advance(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
    }

    /// Runs a placement pass without sending starts; returns the newly placed tasks.
    pub(crate) fn place(&mut self) -> Vec<TaskName> {
        let before = self.placed_names();
        self.engine.place_tasks(self.now_ms, 0);
        self.engine.take_changes();
        let after = self.placed_names();
        after
            .into_iter()
            .filter(|name| !before.contains(name))
            .collect()
    }

    /// Records that the start of a placed task was sent and is not answered yet.
    pub(crate) fn send(&mut self, name: &TaskName) {
        let job = self.engine.jobs.get_mut(&name.job).unwrap();
        job.task_mut(name).unwrap().set_sent(self.now_ms);
    }

    /// Runs a placement pass with starts that all succeed; returns the number of placed tasks.
    pub(crate) fn start_all(&mut self) -> usize {
        let placed = self.place();
        for name in &placed {
            let run = self.state(name).last_run;
            let outcome = CommandOutcome::Accepted(self.now_ms);
            let worker = self.worker_of(name);
            let worker = self.engine.workers.get_mut(&worker).unwrap();
            worker.lease_end_ms = self.now_ms + LEASE_MS;
            self.engine.apply_start(name, run, &outcome, self.now_ms);
        }
        placed.len()
    }

    /// Reports the end of every placed task.
    pub(crate) fn end_all(&mut self, kind: EndKind) {
        for name in self.placed_names() {
            self.end(&name, kind);
        }
    }

    /// Reports the end of the first placed task.
    pub(crate) fn end_first(&mut self, kind: EndKind) {
        let name = self.placed_names().into_iter().next().unwrap();
        self.end(&name, kind);
    }

    /// Reports the end of a placed task and all other tasks of its worker as running.
    pub(crate) fn end(&mut self, name: &TaskName, kind: EndKind) {
        self.advance(10);
        let worker = self.worker_of(name);
        let run = self.state(name).last_run;
        let end = self.next_end(&worker, name, run, kind);
        let mut report = self.running_report(&worker);
        report.running.retain(|running| running.task != *name);
        report.ends.push(end);
        self.engine
            .apply_report(&worker, &report, self.now_ms, self.now_ms);
    }

    /// Reports the end of the first run of the first task of [`JOB`] from a worker that runs nothing.
    pub(crate) fn report_end(&mut self, worker: &WorkerId, kind: EndKind) {
        self.advance(10);
        let ends = vec![self.next_end(worker, &task(JOB, 0), 1, kind)];
        self.report_idle(worker, ends);
    }

    /// Reports that no task runs, from all workers but one.
    pub(crate) fn report_empty_but(&mut self, silent: &WorkerId) {
        self.advance(10);
        let workers = self.workers.clone();
        for worker in workers.iter().filter(|worker| worker.id != *silent) {
            self.report_idle(&worker.id, Vec::new());
        }
    }

    fn report_idle(&mut self, worker: &WorkerId, ends: Vec<TaskEnd>) {
        let report = WorkerReport {
            clock_ms: self.now_ms,
            ends,
            ..WorkerReport::default()
        };
        self.engine
            .apply_report(worker, &report, self.now_ms, self.now_ms);
    }

    fn next_end(&mut self, worker: &WorkerId, name: &TaskName, run: u64, kind: EndKind) -> TaskEnd {
        let number = self.ends.entry(worker.clone()).or_default();
        *number += 1;
        TaskEnd {
            number: *number,
            task: name.clone(),
            run,
            kind,
            checkpoint: String::new(),
        }
    }

    /// Reports every placed task as running.
    pub(crate) fn report_all(&mut self) {
        self.advance(10);
        for worker in self.workers.clone() {
            let report = self.running_report(&worker.id);
            self.engine
                .apply_report(&worker.id, &report, self.now_ms, self.now_ms);
        }
    }

    /// Reports for each worker that no task runs.
    pub(crate) fn report_empty(&mut self) {
        self.advance(10);
        for worker in self.workers.clone() {
            self.report_idle(&worker.id, Vec::new());
        }
    }

    fn running_report(&self, worker: &WorkerId) -> WorkerReport {
        let names = self.placed_names().into_iter();
        let here = names.filter(|name| self.state(name).worker() == Some(worker));
        let running = here.map(|name| RunningTask {
            run: self.state(&name).last_run,
            task: name,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
        });
        WorkerReport {
            incarnation_start: None,
            clock_ms: self.now_ms,
            running: running.collect(),
            ends: Vec::new(),
            held_ends: Vec::new(),
            has_more_ends: false,
        }
    }

    /// Stops a long-running task by draining its worker; the stop is accepted.
    pub(crate) fn stop(&mut self, name: &TaskName) {
        let worker = self.worker_of(name);
        self.engine.drain_worker(&worker, false);
        let stops = self.engine.take_stops();
        let stop = stops.iter().find(|stop| stop.task == *name).unwrap();
        self.engine
            .apply_stop(stop, &CommandOutcome::Accepted(1), self.now_ms);
    }

    pub(crate) fn mark_unresponsive(&mut self, index: usize) {
        let id = self.workers[index].id.clone();
        self.mark_unresponsive_by_id(&id);
    }

    pub(crate) fn mark_unresponsive_by_id(&mut self, id: &WorkerId) {
        let worker = self.engine.workers.get_mut(id).unwrap();
        worker.record_unresponsive(self.now_ms);
    }

    /// Lists a worker as about to leave.
    pub(crate) fn set_draining(&mut self, id: &WorkerId) {
        let entry = self.workers.iter_mut().find(|entry| entry.id == *id);
        let entry = entry.unwrap();
        entry.draining = true;
        self.engine.set_worker(entry.clone(), self.now_ms);
    }

    pub(crate) fn unlist_worker(&mut self, index: usize) {
        let id = self.workers[index].id.clone();
        self.engine.unlist_worker(&id);
    }

    /// Returns the end of the worker's next lease, if one would be requested.
    pub(crate) fn next_lease_end_ms(&self, index: usize) -> Option<u64> {
        let worker = &self.engine.workers[&self.workers[index].id];
        worker.next_lease_end_ms(LEASE_MS, self.now_ms)
    }

    /// Adds all workers to the engine and reports every placed task as running.
    pub(crate) fn list_and_report_running(&mut self) {
        for worker in &self.workers {
            self.engine.set_worker(worker.clone(), self.now_ms);
        }
        self.report_all();
    }

    /// Creates the next controller's engine from the durable rows.
    pub(crate) fn successor(&mut self) -> Self {
        let mut next = self.successor_without_workers();
        for worker in &next.workers {
            next.engine.set_worker(worker.clone(), next.now_ms);
        }
        next
    }

    /// Creates the next controller's engine before it has read the list of workers.
    pub(crate) fn successor_without_workers(&mut self) -> Self {
        let mut next = Self {
            engine: JobEngine::new(self.now_ms, INHERITED_RUN_MS),
            now_ms: self.now_ms,
            workers: self.workers.clone(),
            ends: self.ends.clone(),
        };
        for job in self.engine.jobs.values() {
            let progress = job.to_value();
            let spec = job.spec.as_ref().clone();
            let id = job.id.clone();
            next.engine.add_job(id, spec, Some(&progress), self.now_ms);
        }
        next.engine.config.clone_from(&self.engine.config);
        next
    }

    pub(crate) fn phase(&self, id: &str) -> JobPhase {
        let id: JobId = id.parse().unwrap();
        self.engine.jobs[&id].phase
    }

    /// Returns the phases of a job's tasks, by step and index.
    pub(crate) fn task_phases(&self, id: &str) -> Vec<TaskPhase> {
        let id: JobId = id.parse().unwrap();
        let job = &self.engine.jobs[&id];
        let names = job.task_names();
        names
            .map(|name| job.task(&name).unwrap().phase.clone())
            .collect()
    }

    pub(crate) fn state(&self, name: &TaskName) -> &zincpier::workflow::TaskState {
        self.engine.jobs[&name.job].task(name).unwrap()
    }

    pub(crate) fn command_phase(&self, name: &TaskName) -> Option<CommandPhase> {
        self.state(name).command_phase()
    }

    pub(crate) fn is_placed(&self, name: &TaskName) -> bool {
        self.state(name).worker().is_some()
    }

    pub(crate) fn worker_of(&self, name: &TaskName) -> WorkerId {
        self.state(name).worker().unwrap().clone()
    }

    pub(crate) fn placed_names(&self) -> Vec<TaskName> {
        let jobs = self.engine.jobs.values();
        jobs.flat_map(|job| job.placed_tasks().map(|(name, _)| name))
            .collect()
    }

    /// Returns the names of all placed tasks as text.
    pub(crate) fn placed(&self) -> Vec<String> {
        self.placed_names()
            .iter()
            .map(TaskName::to_string)
            .collect()
    }
}

pub(crate) fn worker_entry(index: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("w-{index}").parse().unwrap(),
        incarnation_start: None,
        service: SERVICE.parse().unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        draining: false,
        capacity: WorkerResources {
            cpu_millis: 8_000,
            memory_mb: 16_000,
            gpus: 0,
        },
        labels: vec!["a".to_owned(), format!("rack-{index}")],
    }
}

pub(crate) fn config() -> FleetConfig {
    FleetConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: QUEUE.to_owned(),
            host: "grading.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            service: SERVICE.parse().unwrap(),
            priority: 0,
            attempts: ATTEMPTS,
            stretch: 1.6,
            objective_ms: 600,
            is_public: false,
        }],
        pools: vec![PoolConfig {
            service: SERVICE.parse().unwrap(),
            rejects_overload: true,
            standby: false,
        }],
        limits: None,
        organisations: None,
    }
}

/// Returns an organisation without keys and without a limit.
pub(crate) fn organisation(id: &str, weight: f64) -> Organisation {
    Organisation {
        id: id.parse().unwrap(),
        keys: Vec::new(),
        priority: 0,
        weight: ShareWeight::new(weight),
        cap: ResourceCap::default(),
    }
}

/// Returns an organisation of weight 1 that may have `cores` cores running.
pub(crate) fn capped_organisation(id: &str, cores: u64) -> Organisation {
    let limits = WorkerResources {
        cpu_millis: cores * 1_000,
        ..WorkerResources::default()
    };
    Organisation {
        cap: ResourceCap::new(limits),
        ..organisation(id, 1.0)
    }
}

pub(crate) fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        demand: WorkerResources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            gpus: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

/// Returns a step whose tasks each take `cpu_millis`.
pub(crate) fn with_cpu(cpu_millis: u64, step: StepSpec) -> StepSpec {
    let demand = WorkerResources {
        cpu_millis,
        ..step.demand
    };
    StepSpec { demand, ..step }
}

/// Returns a step whose tasks, of `cpu_millis` each, work only together.
pub(crate) fn gang(members: u32, cpu_millis: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..with_cpu(cpu_millis, step(members))
    }
}

pub(crate) fn step_after(tasks: u32, before: u32) -> StepSpec {
    StepSpec {
        after: vec![before],
        ..step(tasks)
    }
}

pub(crate) fn long_running(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(max_unavailable),
        ..step(tasks)
    }
}

/// Returns the name of a task of the first step.
pub(crate) fn task(id: &str, index: u32) -> TaskName {
    TaskName {
        job: id.parse().unwrap(),
        occurrence: 0,
        step: 0,
        index,
    }
}
