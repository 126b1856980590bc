//! Guards against long-running tasks that wait for longer than their platform allows in one of the ways
//! in which a worker can be lost, and against runs elsewhere while the lease of a lost worker lasts.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::long_running;
use fixtures::step;
use fixtures::task;
use fixtures::worker_entry;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandRefusal;
use zincpier::workflow::CrashEvidence;
use zincpier::workflow::EndKind;
use zincpier::workflow::RunningTask;
use zincpier::workflow::SilentWorkers;
use zincpier::workflow::WorkerReport;

/// The platform counts a long-running task as lost from 6 s after its last run.
const MAX_GAP_MS: u64 = 6_000;

/// The length of the leases that holders request.
const LEASE_MS: u64 = 4_800;

/// From the last words of a holder to the first of the next one.
const HANDOVER_MS: u64 = 400;

/// The interval of the lists of hosts.
const LIST_MS: u64 = 200;

const STEP_MS: u64 = 50;

/// A fleet with a long-running task on `worker`, which is lost at `lost_ms`.
struct LossCourse {
    fleet: EngineFleet,
    worker: WorkerId,
    /// The workers that lists of hosts show.
    hosted: BTreeSet<WorkerId>,
    lost_ms: u64,
    listed_ms: u64,
}

impl LossCourse {
    fn new() -> Self {
        let mut fleet = EngineFleet::new(4);
        fleet.submit(JOB, vec![long_running(1, 1)]);
        fleet.start_all();
        fleet.report_all();
        // Its worker survives the start.
        fleet.advance(200);
        fleet.report_all();
        let worker = fleet.worker_of(&task(JOB, 0));
        let mut course = Self {
            lost_ms: fleet.now_ms,
            listed_ms: fleet.now_ms,
            hosted: (0..4).map(|index| worker_entry(index).id).collect(),
            fleet,
            worker,
        };
        course.renew();
        course
    }

    /// Requests a lease just before the loss.
    fn renew(&mut self) {
        let now_ms = self.fleet.now_ms;
        let worker = self.fleet.engine.workers.get_mut(&self.worker).unwrap();
        let lease_end_ms = worker.next_lease_end_ms(LEASE_MS, now_ms).unwrap();
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
    }

    /// Ends the worker without a word.
    fn lose(&mut self) {
        self.lost_ms = self.fleet.now_ms;
        self.fleet.mark_unresponsive_by_id(&self.worker);
    }

    /// Lets time pass; the other workers answer, and the lists of hosts are read.
    fn pass(&mut self, time_ms: u64) {
        let until_ms = self.fleet.now_ms + time_ms;
        while self.fleet.now_ms < until_ms {
            // A report takes 10 ms.
            self.fleet.advance(STEP_MS - 10);
            self.fleet.report_empty_but(&self.worker);
            let now_ms = self.fleet.now_ms;
            self.fleet.engine.expire_workers(now_ms);
            if now_ms >= self.listed_ms + LIST_MS {
                self.listed_ms = now_ms;
                let hosted = &self.hosted;
                self.fleet.engine.reconcile_hosted_workers(hosted, now_ms);
            }
        }
    }

    /// Replaces the holder by one that knows what it has released the lease with.
    fn take_over(&mut self) {
        let silent = self.fleet.engine.give_up_silent_workers(self.fleet.now_ms);
        self.take_over_with(&silent);
    }

    fn take_over_with(&mut self, silent: &SilentWorkers) {
        self.fleet.advance(HANDOVER_MS);
        self.fleet = self.fleet.successor();
        let now_ms = self.fleet.now_ms;
        self.fleet.engine.adopt_silent_workers(silent, now_ms);
        self.fleet.report_empty_but(&self.worker);
        self.fleet.mark_unresponsive_by_id(&self.worker);
    }

    /// Returns the time from the loss to the next accepted start, in ms.
    fn gap_ms(&mut self) -> u64 {
        let name = task(JOB, 0);
        let is_lost = |course: &Self| {
            let state = course.fleet.state(&name);
            state.worker().is_none_or(|worker| *worker == course.worker)
        };
        while is_lost(self) && self.fleet.now_ms < self.lost_ms + 30_000 {
            self.pass(STEP_MS);
            self.fleet.start_all();
        }
        self.fleet.now_ms - self.lost_ms
    }
}

fn is_removed(course: &mut LossCourse) {
    course.lose();
    course.fleet.engine.unlist_worker(&course.worker);
    course.hosted.remove(&course.worker);
}

fn is_shown_as_down(course: &mut LossCourse) {
    course.lose();
    course.pass(LIST_MS);
    let now_ms = course.fleet.now_ms;
    let engine = &mut course.fleet.engine;
    engine.crash_unhosted_worker(&course.worker, CrashEvidence::HostDown, now_ms);
}

fn is_silent(course: &mut LossCourse) {
    course.lose();
}

fn is_silent_after_its_first_answer_to_a_new_holder(course: &mut LossCourse) {
    course.fleet = course.fleet.successor();
    course.fleet.report_all();
    course.renew();
    course.lose();
}

fn is_silent_before_a_planned_restart(course: &mut LossCourse) {
    course.lose();
    course.pass(1_000);
    course.take_over();
}

fn is_silent_before_restarts_in_turn(course: &mut LossCourse) {
    course.lose();
    for _ in 0..2 {
        course.pass(1_600);
        course.take_over();
    }
}

fn is_silent_and_unlisted_before_restarts_in_turn(course: &mut LossCourse) {
    course.fleet.engine.unlist_worker(&course.worker);
    is_silent_before_restarts_in_turn(course);
}

fn ends_before_it_answers_a_new_holder(course: &mut LossCourse) {
    course.lose();
    course.hosted.remove(&course.worker);
    course.take_over_with(&SilentWorkers::default());
}

fn ends_between_holders_killed_in_turn(course: &mut LossCourse) {
    course.lose();
    course.hosted.remove(&course.worker);
    for _ in 0..2 {
        course.take_over_with(&SilentWorkers::default());
        course.pass(1_600);
    }
}

fn leaves_a_pool_full_of_ordinary_tasks(course: &mut LossCourse) {
    course.fleet.submit("00000000000000b1", vec![step(200)]);
    course.fleet.start_all();
    course.fleet.report_all();
    // The workers survive the starts.
    course.fleet.advance(200);
    course.fleet.report_all();
    let ordinary = course.fleet.placed_names().into_iter();
    let mut elsewhere =
        ordinary.filter(|name| course.fleet.state(name).worker() != Some(&course.worker));
    let ended = elsewhere.next().unwrap();
    course.lose();
    let now_ms = course.fleet.now_ms;
    let engine = &mut course.fleet.engine;
    engine.crash_unhosted_worker(&course.worker, CrashEvidence::HostDown, now_ms);
    course.fleet.start_all();
    assert!(!course.fleet.is_placed(&task(JOB, 0)));
    course.fleet.end(&ended, EndKind::Done);
    course.fleet.start_all();
}

fn is_followed_by_a_refused_start(course: &mut LossCourse) {
    is_shown_as_down(course);
    let name = task(JOB, 0);
    course.fleet.place();
    course.fleet.send(&name);
    let run = course.fleet.state(&name).last_run;
    let refusal = CommandOutcome::Refused(CommandRefusal::NoRoom);
    let now_ms = course.fleet.now_ms;
    course
        .fleet
        .engine
        .apply_start(&name, run, &refusal, now_ms);
}

/// Each wait may be within its limit while their sum isn't.
#[test]
fn waits_from_the_loss_of_a_worker_to_the_next_run_add_up_to_less_than_the_platform_allows() {
    type Event = fn(&mut LossCourse);
    let courses: [(&str, Event, u64); 11] = [
        ("removed", is_removed, 1_500),
        ("host down", is_shown_as_down, 500),
        ("silent", is_silent, 5_200),
        (
            "after a first answer",
            is_silent_after_its_first_answer_to_a_new_holder,
            5_900,
        ),
        (
            "before a restart",
            is_silent_before_a_planned_restart,
            5_600,
        ),
        (
            "before restarts in turn",
            is_silent_before_restarts_in_turn,
            MAX_GAP_MS,
        ),
        (
            "unlisted before restarts in turn",
            is_silent_and_unlisted_before_restarts_in_turn,
            MAX_GAP_MS,
        ),
        (
            "during a takeover",
            ends_before_it_answers_a_new_holder,
            1_200,
        ),
        (
            "between killed holders",
            ends_between_holders_killed_in_turn,
            MAX_GAP_MS,
        ),
        ("full pool", leaves_a_pool_full_of_ordinary_tasks, 100),
        ("refused start", is_followed_by_a_refused_start, 1_000),
    ];
    let mut late = Vec::new();
    for (name, event, limit_ms) in courses {
        let mut course = LossCourse::new();
        event(&mut course);
        let gap_ms = course.gap_ms();
        println!("{name}: {gap_ms} ms of {limit_ms} ms");
        if gap_ms > limit_ms {
            late.push((name, gap_ms, limit_ms));
        }
    }
    assert_eq!(late, []);
}

/// A new holder can't tell a predecessor that was killed from one that is cut off from the table, which goes
/// on to renew leases.
#[test]
fn silent_worker_of_a_killed_holder_is_waited_for_no_longer_than_its_lease() {
    // Arrange.
    let mut course = LossCourse::new();

    // Act.
    course.lose();
    course.take_over_with(&SilentWorkers::default());
    let gap_ms = course.gap_ms();

    // Assert.
    assert!(gap_ms <= MAX_GAP_MS, "{gap_ms} ms without a run");
}

/// A sequence of pseudo-random numbers, the same for each seed (Park and Miller, 1988).
struct RandomSequence(u64);

impl RandomSequence {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0 * 48_271 % 2_147_483_647;
        self.0 % limit
    }
}

/// The time on a clock that runs 2% slow.
fn slow_clock_ms(now_ms: u64) -> u64 {
    now_ms * 98 / 100
}

fn answer(fleet: &mut EngineFleet, worker: &WorkerId) {
    let now_ms = fleet.now_ms;
    let report = WorkerReport {
        clock_ms: slow_clock_ms(now_ms),
        running: vec![RunningTask {
            task: task(JOB, 0),
            run: 1,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
        }],
        ..WorkerReport::default()
    };
    let applied = fleet.engine.apply_report(worker, &report, now_ms, now_ms);
    assert!(applied);
}

/// A worker with a slow clock that answers now and then, with answers that are lost, to holders in turn. A
/// holder goes on for a moment after it has said its last words.
fn check_lease_of_a_slow_worker(seed: u64) -> bool {
    let mut random = RandomSequence(seed * 7_919 + 1);
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    let worker = worker_entry(0).id;
    // The time of the fixture's answers is not that of the slow clock.
    fleet = fleet.successor();
    answer(&mut fleet, &worker);
    let mut granted_ms = slow_clock_ms(fleet.now_ms) + LEASE_MS;
    let mut silent: Option<(SilentWorkers, u64)> = None;
    let cut_ms = fleet.now_ms + 1_000 + random.below(8_000);
    let end_ms = fleet.now_ms + 40_000;
    while fleet.now_ms < end_ms {
        fleet.advance(STEP_MS);
        let now_ms = fleet.now_ms;
        match &silent {
            None if random.below(40) == 0 => {
                let stated = fleet.engine.give_up_silent_workers(now_ms);
                silent = Some((stated, now_ms + random.below(2 * STEP_MS)));
            }
            Some((stated, until_ms)) if now_ms >= *until_ms => {
                let stated = stated.clone();
                fleet = fleet.successor();
                fleet.engine.adopt_silent_workers(&stated, now_ms);
                silent = None;
            }
            _ => {}
        }
        let is_called = random.below(6) == 0;
        let is_given_up = silent
            .as_ref()
            .is_some_and(|(stated, _)| stated.run_ms(&worker).is_some());
        if is_called {
            let is_reached = now_ms < cut_ms && random.below(4) > 0;
            let state = fleet.engine.workers.get_mut(&worker).unwrap();
            let lease_end_ms = state.next_lease_end_ms(LEASE_MS, now_ms);
            if let Some(lease_end_ms) = lease_end_ms.filter(|_| !is_given_up) {
                state.lease_end_ms = state.lease_end_ms.max(lease_end_ms);
                if is_reached && slow_clock_ms(now_ms) <= granted_ms {
                    granted_ms = granted_ms.max(lease_end_ms);
                }
            }
            match is_reached && random.below(3) > 0 {
                true if slow_clock_ms(now_ms) <= granted_ms => answer(&mut fleet, &worker),
                _ => fleet.mark_unresponsive_by_id(&worker),
            }
        }
        fleet.engine.expire_workers(now_ms);
        if !fleet.is_placed(&task(JOB, 0)) {
            assert!(
                slow_clock_ms(now_ms) > granted_ms,
                "seed {seed}: released {} ms before the end of the lease",
                granted_ms - slow_clock_ms(now_ms)
            );
            return true;
        }
    }
    false
}

/// A task that is released before the lease of its worker is over runs twice if the worker is only cut
/// off.
#[test]
fn task_of_a_worker_that_is_cut_off_is_not_released_before_its_lease_is_over() {
    let released = (0..1_000).filter(|&seed| check_lease_of_a_slow_worker(seed));

    assert!(released.count() > 900, "too few releases to tell");
}
