//! What the engine learns from workers' answers.

use std::collections::HashSet;

use crate::id::WorkerId;
use crate::workflow::CommandOutcome;
use crate::workflow::CommandRefusal;
use crate::workflow::Effect;
use crate::workflow::EndKind;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::OrderPhase;
use crate::workflow::RunningTask;
use crate::workflow::StopRequest;
use crate::workflow::TaskEnd;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerReport;

/// The time after a stop's answer in which the run may still be listed, in ms: the platform
/// states 400 ms, and a report may be as old as a long poll.
const STOP_MS: u64 = 1_500;

impl JobEngine {
    /// Applies a worker's report to a call that was sent at `asked_ms`.
    pub fn apply_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        asked_ms: u64,
        now_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.note_answer(report.clock_ms, now_ms);
        worker.fenced = true;
        let applied = worker.applied_end;
        let mut last = applied;
        for end in report.ends.iter().filter(|end| end.number > applied) {
            self.apply_end(id, end, now_ms);
            last = last.max(end.number);
        }
        if last > applied {
            self.effects.push(Effect::Acknowledge(id.clone(), last));
            if let Some(worker) = self.workers.get_mut(id) {
                worker.applied_end = last;
            }
        }
        self.match_running(id, report, asked_ms, now_ms);
    }

    /// Applies the outcome of a start.
    pub fn apply_start(
        &mut self,
        name: &TaskName,
        run: u64,
        outcome: &CommandOutcome,
        now_ms: u64,
    ) {
        let Some(state) = self.placed_run(name, run) else {
            return;
        };
        // A report may have shown the run before its order was answered.
        if matches!(state, OrderPhase::Stopping | OrderPhase::Running) {
            return;
        }
        match outcome {
            CommandOutcome::Accepted(_) => self.set_order(name, OrderPhase::Settled(now_ms)),
            CommandOutcome::Unknown(_) => self.set_order(name, OrderPhase::Unknown(now_ms)),
            CommandOutcome::NotSent(_) | CommandOutcome::Refused(_) => {
                self.release_task(name);
            }
        }
    }

    /// Applies the outcome of a stop; without an answer it is sent again.
    pub fn apply_stop(&mut self, request: &StopRequest, outcome: &CommandOutcome, now_ms: u64) {
        if self.placed_run(&request.task, request.run) != Some(OrderPhase::Stopping) {
            return;
        }
        match outcome {
            CommandOutcome::Accepted(_) => {
                self.set_order(&request.task, OrderPhase::Stopped(now_ms));
            }
            CommandOutcome::Refused(CommandRefusal::OtherIncarnation) => {
                self.end_incarnation(&request.worker, "another incarnation answers", now_ms);
            }
            _ => self.stops.push(request.clone()),
        }
    }

    fn apply_end(&mut self, worker: &WorkerId, end: &TaskEnd, now_ms: u64) {
        let name = &end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let long_running = job.step(name.step).is_some_and(|step| step.long_running);
        let Some(state) = job.task_mut(name) else {
            return;
        };
        let placed_here = state.worker() == Some(worker) && state.last_run == end.run;
        if !placed_here {
            return;
        }
        if !end.checkpoint.is_empty() {
            state.checkpoint.clone_from(&end.checkpoint);
        }
        let run = end.run;
        log::info!(
            "event=task_ended task={name} run={run} worker={worker} how={:?}",
            end.kind
        );
        self.judge_worker(worker, end.kind, now_ms);
        match end.kind {
            EndKind::Done if !long_running => self.finish_task(name, now_ms),
            EndKind::Failed => {
                self.note_failed_on(name, worker);
                self.fail_task(name, now_ms);
            }
            _ => self.release_task(name),
        }
    }

    fn judge_worker(&mut self, id: &WorkerId, kind: EndKind, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match kind {
            EndKind::Done => worker.note_success(now_ms),
            EndKind::Failed if worker.note_failure(now_ms) => {
                log::warn!("event=worker_distrusted worker={id} reason=\"failures in a row\"");
            }
            _ => {}
        }
    }

    fn finish_task(&mut self, name: &TaskName, now_ms: u64) {
        self.note_duration(name, now_ms);
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
            let took_ms = now_ms.saturating_sub(job.seen_ms);
            log::info!("event=job_complete job={} took_ms={took_ms}", name.job);
            self.end_job(&name.job.clone(), JobPhase::Complete, now_ms);
        }
    }

    fn note_duration(&mut self, name: &TaskName, now_ms: u64) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let since_ms = job.task(name).and_then(|state| match state.phase {
            TaskPhase::Placed { since_ms, .. } => Some(since_ms),
            _ => None,
        });
        if let Some(since_ms) = since_ms {
            let took_ms = now_ms.saturating_sub(since_ms);
            self.durations.note(&job.spec.queue, took_ms);
        }
    }

    /// Marks all members of a gang as done, since they end together.
    fn finish_gang(&mut self, name: &TaskName) {
        for member in self.gang_members(name) {
            self.release_task(&member);
            if let Some(job) = self.jobs.get_mut(&name.job) {
                job.mark_done(&member);
            }
        }
    }

    fn fail_task(&mut self, name: &TaskName, now_ms: u64) {
        self.release_task(name);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let limit = self
            .config
            .as_ref()
            .and_then(|config| config.queue(&job.spec.queue))
            .map_or(u32::MAX, |queue| queue.attempts.max(1));
        let step = job.step(name.step);
        let long_running = step.is_some_and(|step| step.long_running);
        let gang = step.is_some_and(|step| step.gang);
        let Some(state) = job.task_mut(name) else {
            return;
        };
        state.failures += 1;
        let mut failures = state.failures;
        if gang {
            let members = job.step_tasks(name.occurrence, name.step).iter();
            failures = members.map(|member| member.failures).sum();
        }
        if !long_running && failures >= limit && !job.phase.has_ended() {
            log::warn!(
                "event=job_failed job={} task={name} failures={failures} limit={limit}",
                name.job
            );
            self.end_job(&name.job.clone(), JobPhase::Failed, now_ms);
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

    fn match_running(&mut self, id: &WorkerId, report: &WorkerReport, asked_ms: u64, now_ms: u64) {
        let mut seen = HashSet::with_capacity(report.running.len());
        for running in &report.running {
            let known = self.note_running(id, running, now_ms);
            if known {
                seen.insert(&running.task);
            } else {
                self.stops.push(StopRequest {
                    worker: id.clone(),
                    task: running.task.clone(),
                    run: running.run,
                    reason: "the run is not known",
                });
            }
        }
        if report.has_more_ends {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let missing = worker.tasks.iter().filter(|task| !seen.contains(task));
        let missing: Vec<_> = missing.cloned().collect();
        for name in missing {
            self.settle_missing(&name, asked_ms);
        }
    }

    fn note_running(&mut self, id: &WorkerId, running: &RunningTask, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return false;
        };
        let ended = job.phase.has_ended();
        let Some(state) = job.task_mut(&running.task) else {
            return false;
        };
        if state.worker() != Some(id) || state.last_run != running.run {
            return false;
        }
        if !running.checkpoint.is_empty() {
            state.checkpoint.clone_from(&running.checkpoint);
        }
        state.percent = running.percent;
        state.load = running.load;
        match state.order() {
            Some(OrderPhase::Stopping | OrderPhase::Committing) => {}
            Some(OrderPhase::Stopped(at)) if now_ms < at + STOP_MS => {}
            Some(OrderPhase::Stopped(_)) => {
                state.set_order(OrderPhase::Running);
                self.request_stop(&running.task, "it runs on after its stop");
            }
            _ => {
                state.set_order(OrderPhase::Running);
                if ended {
                    self.request_stop(&running.task, "the job has ended");
                }
            }
        }
        true
    }

    /// Decides about a placed task that a worker neither runs nor lists as ended.
    fn settle_missing(&mut self, name: &TaskName, asked_ms: u64) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let Some(order) = job.task(name).and_then(|state| state.order()) else {
            return;
        };
        match order {
            OrderPhase::Inherited(at) | OrderPhase::Stopped(at) if at <= asked_ms => {
                log::info!("event=task_released task={name} reason=\"it did not start\"");
                self.release_task(name);
            }
            OrderPhase::Unknown(at) | OrderPhase::Settled(at) if at < asked_ms => {
                self.request_stop(name, "the worker does not run it");
            }
            OrderPhase::Running => {
                self.request_stop(name, "the worker runs it no more");
            }
            _ => {}
        }
    }

    fn placed_run(&self, name: &TaskName, run: u64) -> Option<OrderPhase> {
        let state = self.jobs.get(&name.job)?.task(name)?;
        let TaskPhase::Placed { order, .. } = &state.phase else {
            return None;
        };
        (state.last_run == run).then_some(*order)
    }

    fn set_order(&mut self, name: &TaskName, order: OrderPhase) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(state) = job.and_then(|job| job.task_mut(name)) {
            state.set_order(order);
        }
    }
}
