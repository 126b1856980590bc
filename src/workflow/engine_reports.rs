//! Applies workers' reports and the outcomes of start and stop commands to the engine.

use std::collections::HashSet;

use crate::id::WorkerId;
use crate::workflow::engine_log::log_target;
use crate::workflow::CommandOutcome;
use crate::workflow::CommandPhase;
use crate::workflow::CommandRefusal;
use crate::workflow::CommitEffect;
use crate::workflow::CrashEvidence;
use crate::workflow::EndKind;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::RunningTask;
use crate::workflow::StopRequest;
use crate::workflow::TaskEnd;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerResources;

/// How long a run may still be listed after its stop was answered. The platform allows
/// 400 ms for this, and a report may be as old as one long poll.
const STOP_GRACE_MS: u64 = 1_500;

impl JobEngine {
    /// Applies a worker's report, the answer to a request that was sent at `sent_ms`. Returns
    /// whether it was applied: not if the worker is unknown or has started again since.
    pub fn apply_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let epoch = self.worker_epoch(id);
        self.apply_report_to(id, report, epoch, sent_ms, now_ms)
    }

    /// Like [`JobEngine::apply_report`], for a request that bore `epoch`.
    pub fn apply_report_to(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        epoch: u64,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        if !self.workers.contains_key(id) || !self.accept_report(id, report, now_ms) {
            return false;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        worker.record_answer(report.clock_ms, now_ms);
        let applied = worker.applied_end;
        self.record_accepted_epoch(id, report, (epoch, now_ms));
        let mut last = applied;
        let mut jobs = Vec::new();
        for end in report.ends.iter().filter(|end| end.number > applied) {
            self.apply_end(id, end, now_ms);
            last = last.max(end.number);
            jobs.push((end.number, end.task.job.clone()));
        }
        let last = self.apply_held_ends(id, report, last, now_ms);
        if last > applied {
            let start = self.incarnations.start(id);
            self.effects
                .push(CommitEffect::Acknowledge(id.clone(), start, last, jobs));
            if let Some(worker) = self.workers.get_mut(id) {
                worker.applied_end = last;
            }
        }
        self.reconcile_running(id, report, sent_ms, now_ms);
        self.resolve_listed_runs(id, report, sent_ms);
        true
    }

    /// Applies the outcome of a start command; one that was refused or not sent releases the task.
    pub fn apply_start(
        &mut self,
        name: &TaskName,
        run: u64,
        outcome: &CommandOutcome,
        now_ms: u64,
    ) {
        let Some(phase) = self.placed_command_phase(name, run) else {
            return;
        };
        // A report may have listed the run before its start command was answered.
        if matches!(phase, CommandPhase::Stopping | CommandPhase::Running) {
            return;
        }
        // An accepted stop is final, whatever became of the start.
        let is_stopped = matches!(phase, CommandPhase::Stopped(_));
        match outcome {
            CommandOutcome::Accepted(_) | CommandOutcome::Unknown(_) if is_stopped => {}
            CommandOutcome::Accepted(_) => {
                self.record_begun(name, now_ms);
                self.set_command_phase(name, CommandPhase::Accepted(now_ms))
            }
            CommandOutcome::Unknown(_) => {
                self.record_unanswered_start(name, now_ms);
                self.set_command_phase(name, CommandPhase::Unknown(now_ms))
            }
            CommandOutcome::NotSent(_) | CommandOutcome::Refused(_) => {
                self.avoid_refusing_worker(name, outcome);
                self.withdraw_start(name);
            }
        }
    }

    /// Records that a worker has answered that it has begun a run.
    fn record_begun(&mut self, name: &TaskName, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        job.has_begun = true;
        let Some(state) = job.task_mut(name) else {
            return;
        };
        state.started_ms = state.started_ms.or(Some(now_ms));
        let worker = state.worker().and_then(|id| self.workers.get_mut(id));
        if let Some(worker) = worker {
            worker.alive_ms = worker.alive_ms.max(now_ms);
        }
    }

    /// Applies the outcome of a stop command. Unless it was accepted or another incarnation
    /// answered, it is sent again. The outcome of a stop that was meant for an earlier incarnation
    /// says nothing about the present one, for which a stop of its own was requested.
    pub fn apply_stop(&mut self, request: &StopRequest, outcome: &CommandOutcome, now_ms: u64) {
        if !self.is_current(request) {
            return;
        }
        if self.placed_command_phase(&request.task, request.run) != Some(CommandPhase::Stopping) {
            return;
        }
        match outcome {
            CommandOutcome::Accepted(_) => {
                self.set_command_phase(&request.task, CommandPhase::Stopped(now_ms));
            }
            CommandOutcome::Refused(CommandRefusal::OtherIncarnation) => {
                let evidence = CrashEvidence::OtherIncarnation;
                self.crash_worker(&request.worker, evidence, now_ms, now_ms);
            }
            _ => self.stops.push(request.clone()),
        }
    }

    pub(crate) fn apply_end(&mut self, worker: &WorkerId, end: &TaskEnd, now_ms: u64) {
        let name = &end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let long_running = job.step(name.step).is_some_and(|step| step.long_running);
        let Some(state) = job.task(name) else {
            return;
        };
        if state.last_run != end.run {
            return;
        }
        let placed_here = state.worker() == Some(worker);
        if !placed_here && !self.resolve_lost_run(name, worker) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        job.has_begun = true;
        job.set_checkpoint(name, &end.checkpoint);
        let run = end.run;
        log::info!(
            target: log_target(long_running),
            "event=task_ended task={name} run={run} worker={worker} how={:?}",
            end.kind
        );
        if end.kind == EndKind::Done {
            self.record_pace(worker, name, now_ms);
        }
        self.record_run_end(worker, name, end.kind, now_ms);
        match end.kind {
            EndKind::Done if !long_running => self.finish_task(name, now_ms),
            EndKind::Failed => {
                self.record_failed_unit(name, worker);
                self.fail_task(name, end.run, now_ms);
            }
            _ => self.release_task(name),
        }
    }

    fn finish_task(&mut self, name: &TaskName, now_ms: u64) {
        self.record_task_duration(name, now_ms);
        self.release_task(name);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let gang = job.step(name.step).is_some_and(|step| step.gang);
        job.mark_done(name);
        if gang {
            self.finish_gang(name);
        }
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        self.changed.insert(name.job.clone());
        if job.is_done() && !job.phase.has_ended() {
            let took_ms = now_ms.saturating_sub(job.first_read_ms);
            log::info!("event=job_complete job={} took_ms={took_ms}", name.job);
            self.end_job(&name.job.clone(), JobPhase::Complete, now_ms);
        }
    }

    /// Adds the duration of a task that is done to its queue's history. Those on slow workers are left
    /// out, since they would raise the expected duration for all workers.
    fn record_task_duration(&mut self, name: &TaskName, now_ms: u64) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let is_slow = |id| {
            let worker = self.workers.get(id);
            worker.is_some_and(|worker| worker.health.pace.is_slow())
        };
        let since_ms = job.task(name).and_then(|state| match &state.phase {
            TaskPhase::Placed {
                worker, since_ms, ..
            } if !is_slow(worker) => Some(*since_ms),
            _ => None,
        });
        if let Some(since_ms) = since_ms {
            let took_ms = now_ms.saturating_sub(since_ms);
            self.durations.record_duration(&job.spec.queue, took_ms);
        }
    }

    /// Marks all members of a gang as done, because they end together.
    fn finish_gang(&mut self, name: &TaskName) {
        for member in self.gang_members(name) {
            self.release_task(&member);
            if let Some(job) = self.jobs.get_mut(&name.job) {
                job.mark_done(&member);
            }
        }
    }

    fn fail_task(&mut self, name: &TaskName, run: u64, now_ms: u64) {
        self.release_task(name);
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.record_failure(name, run);
        }
        self.end_exhausted_job(name, now_ms);
    }

    /// Records that a task failed on a worker; the other members of its gang avoid it too, since they start
    /// again with it.
    fn record_failed_unit(&mut self, name: &TaskName, worker: &WorkerId) {
        let job = self.jobs.get(&name.job);
        let is_gang = job.is_some_and(|job| job.step(name.step).is_some_and(|step| step.gang));
        match is_gang {
            true => self
                .gang_members(name)
                .iter()
                .for_each(|member| self.record_failed_on(member, worker)),
            false => self.record_failed_on(name, worker),
        }
    }

    fn gang_members(&self, name: &TaskName) -> Vec<TaskName> {
        let Some(job) = self.jobs.get(&name.job) else {
            return Vec::new();
        };
        let tasks = job.step(name.step).map_or(0, |step| step.tasks);
        let member = |index| TaskName {
            index,
            ..name.clone()
        };
        (0..tasks).map(member).collect()
    }

    /// Stops reported runs that are not placed on the worker, and resolves placed tasks that the
    /// report does not list.
    fn reconcile_running(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let mut listed = HashSet::with_capacity(report.running.len());
        listed.extend(report.unreadable_tasks());
        let mut unplaced = HashSet::new();
        let mut unplaced_demand = Some(WorkerResources::default());
        for running in &report.running {
            let known = self.apply_running(id, running, now_ms);
            if known {
                listed.insert(&running.task);
            } else {
                if self.worker_epochs.is_waiting(id) {
                    let (task, run) = (&running.task, running.run);
                    log::warn!("event=late_start_found worker={id} task={task} run={run}");
                }
                let job = self.jobs.get(&running.task.job);
                let spec = job.map(|job| job.spec.as_ref());
                unplaced.insert((&running.task, running.run));
                let step = spec.and_then(|spec| spec.steps.get(running.task.step as usize));
                unplaced_demand = unplaced_demand.zip(step).map(|(mut sum, step)| {
                    sum.add(&step.reserved());
                    sum
                });
                self.usage
                    .add_unplaced_run(id, &running.task, running.run, spec);
                self.push_stop(id, &running.task, running.run, "unknown run");
            }
        }
        self.usage
            .retain_unplaced_runs(id, |task, run| unplaced.contains(&(task, run)));
        let guards = self.guards_capacity(id);
        if let Some(worker) = self.workers.get_mut(id) {
            let demand = unplaced_demand.unwrap_or(worker.entry.capacity);
            // A worker that guards its capacity refuses what those runs leave no room for.
            worker.unplaced = match guards {
                true => WorkerResources::default(),
                false => demand,
            };
        }
        // A missing run may be among the ends that the report leaves out.
        if report.has_more_ends {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let missing = worker.tasks.iter().filter(|task| !listed.contains(task));
        let missing: Vec<_> = missing.cloned().collect();
        for name in missing {
            self.resolve_missing_run(&name, sent_ms);
        }
    }

    /// Applies the report of a running task; returns whether this run is placed on the worker.
    fn apply_running(&mut self, id: &WorkerId, running: &RunningTask, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return false;
        };
        let ended = job.phase.has_ended();
        let Some(state) = job.task(&running.task) else {
            return false;
        };
        if state.worker() != Some(id) || state.last_run != running.run {
            return false;
        }
        job.has_begun = true;
        job.set_checkpoint(&running.task, &running.checkpoint);
        let Some(state) = job.task_mut(&running.task) else {
            return false;
        };
        state.percent = running.percent;
        state.load = running.load;
        state.started_ms = state.started_ms.or(Some(now_ms));
        match state.command_phase() {
            Some(CommandPhase::Stopping | CommandPhase::Committing) => {}
            Some(CommandPhase::Stopped(at_ms)) if now_ms < at_ms + STOP_GRACE_MS => {}
            Some(CommandPhase::Stopped(_)) => {
                state.set_command_phase(CommandPhase::Running);
                self.request_stop(
                    &running.task,
                    "the run continues after its stop was answered",
                );
            }
            _ => {
                state.set_command_phase(CommandPhase::Running);
                if ended {
                    self.request_stop(&running.task, "the job has ended");
                }
            }
        }
        true
    }

    /// Releases or stops a placed task that its worker lists neither as running nor as ended.
    fn resolve_missing_run(&mut self, name: &TaskName, sent_ms: u64) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let Some(phase) = job.task(name).and_then(|state| state.command_phase()) else {
            return;
        };
        match phase {
            CommandPhase::Inherited(at_ms) | CommandPhase::Stopped(at_ms) if at_ms <= sent_ms => {
                log::info!(
                    "event=task_released task={name} reason=\"the worker does not list the run\""
                );
                self.release_task(name);
            }
            CommandPhase::Unknown(at_ms) | CommandPhase::Accepted(at_ms) if at_ms < sent_ms => {
                self.request_stop(name, "the worker does not list the run after its start");
            }
            CommandPhase::Running => {
                self.request_stop(name, "the worker no longer lists the run");
            }
            _ => {}
        }
    }

    fn placed_command_phase(&self, name: &TaskName, run: u64) -> Option<CommandPhase> {
        let state = self.jobs.get(&name.job)?.task(name)?;
        let TaskPhase::Placed { command, .. } = &state.phase else {
            return None;
        };
        (state.last_run == run).then_some(*command)
    }

    fn set_command_phase(&mut self, name: &TaskName, phase: CommandPhase) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(state) = job.and_then(|job| job.task_mut(name)) {
            state.set_command_phase(phase);
        }
    }
}
