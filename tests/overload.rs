//! Replays a queue that asks for several times its pool's room.

use zincpier::workflow::choose_late;
use zincpier::workflow::JobDemand;

/// The pool's room: eight hosts of 64 cores, in thousandths of a core.
const ROOM_MILLIS: u64 = 512_000;

/// A task's processor time, in thousandths of a core, and its duration in ms.
const TASK_MILLIS: u64 = 3_500;
const TASK_MS: u64 = 800;

/// The time from a job's arrival within which it should end, in ms.
const OBJECTIVE_MS: u64 = 1_880;

/// The step of the replay, in ms.
const TICK_MS: u64 = 20;

/// A job of one step.
struct ReplayedJob {
    arrives_ms: u64,
    tasks: u64,
    started: u64,
    ends_ms: u64,
}

impl ReplayedJob {
    fn slack_ms(&self, now_ms: u64) -> Option<u64> {
        (self.arrives_ms + OBJECTIVE_MS).checked_sub(now_ms + TASK_MS)
    }

    fn demand(&self, now_ms: u64) -> Option<JobDemand> {
        Some(JobDemand {
            slack_ms: self.slack_ms(now_ms)?,
            work: (self.tasks - self.started) * TASK_MILLIS * TASK_MS,
        })
    }
}

/// Returns jobs of 1 to 12 tasks that arrive for four seconds, `per_second` of them.
fn turn(per_second: u64) -> Vec<ReplayedJob> {
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let job = |number: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        ReplayedJob {
            arrives_ms: number * 1_000 / per_second,
            tasks: 1 + state % 12,
            started: 0,
            ends_ms: 0,
        }
    };
    (0..4 * per_second).map(job).collect()
}

/// Plays the jobs, least slack first; returns how many end in time. With `leave_late` the
/// jobs that `choose_late` names come last.
fn jobs_in_time(mut jobs: Vec<ReplayedJob>, leave_late: bool) -> usize {
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now_ms in (0..30_000).step_by(TICK_MS as usize) {
        running.retain(|(ends_ms, _)| *ends_ms > now_ms);
        let open: Vec<usize> = (0..jobs.len())
            .filter(|&number| jobs[number].arrives_ms <= now_ms)
            .filter(|&number| jobs[number].started < jobs[number].tasks)
            .collect();
        let hopeful: Vec<usize> = open
            .iter()
            .copied()
            .filter(|&number| jobs[number].slack_ms(now_ms).is_some())
            .collect();
        let demands: Vec<_> = hopeful
            .iter()
            .filter_map(|&number| jobs[number].demand(now_ms))
            .collect();
        let late: Vec<usize> = match leave_late {
            true => choose_late(&demands, ROOM_MILLIS),
            false => Vec::new(),
        };
        let late: Vec<usize> = late.into_iter().map(|position| hopeful[position]).collect();
        let mut order = open;
        order.sort_by_key(|number| {
            let slack_ms = jobs[*number].slack_ms(now_ms);
            (slack_ms.is_none() || late.contains(number), slack_ms)
        });
        let used: u64 = running.iter().map(|(_, millis)| millis).sum();
        let mut free = (ROOM_MILLIS - used) / TASK_MILLIS;
        for number in order {
            let job = &mut jobs[number];
            let starts = free.min(job.tasks - job.started);
            free -= starts;
            job.started += starts;
            if starts > 0 {
                running.push((now_ms + TASK_MS, starts * TASK_MILLIS));
                job.ends_ms = now_ms + TASK_MS;
            }
        }
    }
    let in_time = |job: &&ReplayedJob| job.ends_ms <= job.arrives_ms + OBJECTIVE_MS;
    jobs.iter().filter(in_time).count()
}

#[test]
fn more_jobs_are_in_time_when_the_largest_wait_in_an_overload() {
    for per_second in [40, 60, 90] {
        let before = jobs_in_time(turn(per_second), false);
        let after = jobs_in_time(turn(per_second), true);

        assert!(after > before, "{per_second} a second: {before}, {after}");
    }
}

#[test]
fn nothing_waits_while_there_is_room_for_all() {
    let all = turn(20).len();

    assert_eq!(jobs_in_time(turn(20), true), all);
}

#[test]
fn the_largest_job_waits_and_the_rest_is_feasible() {
    let demands = [(100, 500), (200, 900), (300, 400), (400, 300)]
        .map(|(slack_ms, work)| JobDemand { slack_ms, work });

    let late = choose_late(&demands, 4);

    // 500 before 200 ms is within 800; 1,400 before 300 ms is above 1,200.
    assert_eq!(late, [1]);
}

#[test]
fn a_pool_without_room_leaves_all_but_the_smallest() {
    let demands =
        [(100, 5), (200, 3), (300, 9)].map(|(slack_ms, work)| JobDemand { slack_ms, work });

    assert_eq!(choose_late(&demands, 0), [0, 2]);
}
