//! Replays a queue that asks for several times its pool's room.

use zincpier::id::JobId;
use zincpier::workflow::job_priority_weight;
use zincpier::workflow::select_deferred_jobs;
use zincpier::workflow::JobDemand;

/// The pool's room: eight hosts of 64 cores, in thousandths of a core.
const POOL_CAPACITY_MILLIS: u64 = 512_000;

/// A task's processor time, in thousandths of a core, and its duration in ms.
const TASK_MILLIS: u64 = 3_500;
const TASK_MS: u64 = 800;

/// The time from a job's arrival within which it should end, in ms.
const OBJECTIVE_MS: u64 = 1_880;

/// The time from a job's arrival after which its caller has no use for it, in ms.
const USEFUL_MS: u64 = 3 * OBJECTIVE_MS;

/// The step of the replay, in ms.
const STEP_MS: u64 = 20;

/// A job of one step.
struct ReplayedJob {
    number: u64,
    arrives_ms: u64,
    tasks: u64,
    started: u64,
    ends_ms: u64,
}

impl ReplayedJob {
    /// Returns the time until the job must have its room to end `time_ms` after its arrival.
    fn slack_ms(&self, now_ms: u64, time_ms: u64) -> Option<u64> {
        (self.arrives_ms + time_ms).checked_sub(now_ms + TASK_MS)
    }

    fn priority_weight(&self) -> u64 {
        let id: JobId = format!("{:016x}", self.number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .parse()
            .unwrap();
        job_priority_weight(&id)
    }

    fn work(&self) -> u64 {
        (self.tasks - self.started) * TASK_MILLIS * TASK_MS
    }
}

/// Returns jobs of 1 to 12 tasks that arrive for four seconds, `per_second` of them.
fn overload_jobs(per_second: u64) -> Vec<ReplayedJob> {
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let job = |number: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        ReplayedJob {
            number,
            arrives_ms: number * 1_000 / per_second,
            tasks: 1 + state % 12,
            started: 0,
            ends_ms: 0,
        }
    };
    (0..4 * per_second).map(job).collect()
}

/// Which jobs of a replay are left to be late.
#[derive(Clone, Copy, Eq, PartialEq)]
enum DeferralRule {
    /// None: the least slack goes first.
    LeastSlack,
    /// Those that `select_deferred_jobs` names among the jobs that can be in time.
    InTime,
    /// And those that it names among the late ones.
    InTimeAndLate,
}

/// Returns the positions of jobs that `select_deferred_jobs` names among those with slack.
fn named(
    jobs: &[ReplayedJob],
    open: &[usize],
    slack: impl Fn(&ReplayedJob) -> Option<u64>,
) -> Vec<usize> {
    let demand = |&number: &usize| {
        let job = &jobs[number];
        let slack_ms = slack(job)?;
        Some((
            number,
            JobDemand {
                slack_ms,
                work: job.work(),
                priority_weight_percent: job.priority_weight(),
            },
        ))
    };
    let (numbers, demands): (Vec<_>, Vec<_>) = open.iter().filter_map(demand).unzip();
    let late = select_deferred_jobs(&demands, POOL_CAPACITY_MILLIS).into_iter();
    late.map(|position| numbers[position]).collect()
}

/// Orders the open jobs of a replay.
fn order(
    jobs: &[ReplayedJob],
    mut open: Vec<usize>,
    rule: DeferralRule,
    now_ms: u64,
) -> Vec<usize> {
    let in_time = |job: &ReplayedJob| job.slack_ms(now_ms, OBJECTIVE_MS);
    let useful = |job: &ReplayedJob| job.slack_ms(now_ms, USEFUL_MS);
    let late = match rule {
        DeferralRule::LeastSlack => Vec::new(),
        _ => named(jobs, &open, in_time),
    };
    let is_late = |number: &usize| late.contains(number) || in_time(&jobs[*number]).is_none();
    let lost = match rule {
        DeferralRule::InTimeAndLate => {
            let behind: Vec<_> = open
                .iter()
                .copied()
                .filter(|number| is_late(number))
                .collect();
            named(jobs, &behind, useful)
        }
        _ => Vec::new(),
    };
    open.sort_by_key(|number| {
        let job = &jobs[*number];
        let class = u8::from(is_late(number)) + u8::from(lost.contains(number));
        (useful(job).is_none(), class, job.arrives_ms)
    });
    open
}

/// Plays the jobs and returns how many end in time, and how many end while they are useful.
fn play(mut jobs: Vec<ReplayedJob>, rule: DeferralRule) -> (usize, usize) {
    run_to_end(&mut jobs, rule);
    let within = |time_ms: u64| {
        let ended = jobs
            .iter()
            .filter(|job| job.ends_ms <= job.arrives_ms + time_ms);
        ended.count()
    };
    (within(OBJECTIVE_MS), within(USEFUL_MS))
}

/// Plays the jobs until all have ended.
fn run_to_end(jobs: &mut [ReplayedJob], rule: DeferralRule) {
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        running.retain(|(ends_ms, _)| *ends_ms > now_ms);
        let open: Vec<usize> = (0..jobs.len())
            .filter(|&number| jobs[number].arrives_ms <= now_ms)
            .filter(|&number| jobs[number].started < jobs[number].tasks)
            .collect();
        let used: u64 = running.iter().map(|(_, millis)| millis).sum();
        let mut free = (POOL_CAPACITY_MILLIS - used) / TASK_MILLIS;
        for number in order(jobs, open, rule, now_ms) {
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
}

#[test]
fn more_jobs_are_in_time_when_the_largest_wait_in_an_overload() {
    for per_second in [40, 60, 90] {
        let (before, _) = play(overload_jobs(per_second), DeferralRule::LeastSlack);
        let (after, _) = play(overload_jobs(per_second), DeferralRule::InTime);

        assert!(after > before, "{per_second} a second: {before}, {after}");
    }
}

#[test]
fn more_late_jobs_are_of_use_when_the_largest_of_them_wait() {
    for per_second in [90, 140, 200] {
        let (_, before) = play(overload_jobs(per_second), DeferralRule::InTime);
        let (_, after) = play(overload_jobs(per_second), DeferralRule::InTimeAndLate);

        assert!(after > before, "{per_second} a second: {before}, {after}");
    }
}

#[test]
fn nothing_waits_while_there_is_room_for_all() {
    let all = overload_jobs(20).len();

    assert_eq!(play(overload_jobs(20), DeferralRule::InTime).0, all);
}

#[test]
fn the_largest_job_waits_and_the_rest_is_feasible() {
    let demands =
        [(100, 500), (200, 900), (300, 400), (400, 300)].map(|(slack_ms, work)| JobDemand {
            slack_ms,
            work,
            priority_weight_percent: 100,
        });

    let late = select_deferred_jobs(&demands, 4);

    // 500 before 200 ms is within 800; 1,400 before 300 ms is above 1,200.
    assert_eq!(late, [1]);
}

#[test]
fn a_pool_without_room_leaves_all_but_the_smallest() {
    let demands = [(100, 5), (200, 3), (300, 9)].map(|(slack_ms, work)| JobDemand {
        slack_ms,
        work,
        priority_weight_percent: 100,
    });

    assert_eq!(select_deferred_jobs(&demands, 0), [0, 2]);
}

#[test]
fn the_largest_jobs_are_served_half_as_often_as_all_at_least() {
    for per_second in [40, 60, 90] {
        let served = |smallest: u64| {
            let mut jobs = overload_jobs(per_second);
            let all = jobs.iter().filter(|job| job.tasks >= smallest).count();
            run_to_end(&mut jobs, DeferralRule::InTimeAndLate);
            let useful = jobs.iter().filter(|job| job.tasks >= smallest);
            let useful = useful.filter(|job| job.ends_ms <= job.arrives_ms + USEFUL_MS);
            useful.count() as f64 / all as f64
        };

        // The jobs of 12 tasks are about a tenth.
        let (all, largest) = (served(1), served(12));

        assert!(
            largest * 2.0 >= all,
            "{per_second} a second: {largest:.2} of {all:.2}"
        );
    }
}
