//! Replays demand peaks of several times a pool's capacity. Guards against a deferral rule that
//! makes more jobs late, or starves the largest ones.

use zincpier::id::JobId;
use zincpier::workflow::job_priority_weight;
use zincpier::workflow::select_deferred_jobs;
use zincpier::workflow::JobDemand;

/// The pool's capacity in millicores: eight hosts of 64 cores.
const POOL_CAPACITY_MILLIS: u64 = 512_000;

/// A task's CPU demand, in millicores.
const TASK_MILLIS: u64 = 3_500;

const TASK_MS: u64 = 800;

/// The time from a job's arrival within which it should end.
const OBJECTIVE_MS: u64 = 1_880;

/// The time from a job's arrival after which its result is useless to the caller.
const USEFUL_MS: u64 = 3 * OBJECTIVE_MS;

/// The resolution of the replay's clock.
const TICK_MS: u64 = 20;

/// A job with a single step.
struct ReplayedJob {
    number: u64,
    arrives_ms: u64,
    tasks: u64,
    started: u64,
    ends_ms: u64,
}

impl ReplayedJob {
    /// Returns the time until the job must have its capacity to end `time_ms` after its arrival.
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

/// Generates `per_second` jobs of 1 to 12 tasks a second, arriving over four seconds.
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

/// The rule that selects the deferred jobs of a replay.
#[derive(Clone, Copy, Eq, PartialEq)]
enum DeferralRule {
    /// No job is deferred; the job with the least slack goes first.
    LeastSlack,
    /// `select_deferred_jobs` is applied to the jobs that can be on time.
    OnTime,
    /// `select_deferred_jobs` is applied to the jobs that can be on time, then to the late ones.
    OnTimeAndLate,
}

/// Returns the indices of the jobs that `select_deferred_jobs` selects from `open`, without those
/// for which `slack` returns `None`.
fn deferred_indices(
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
    let deferred = select_deferred_jobs(&demands, POOL_CAPACITY_MILLIS).into_iter();
    deferred.map(|position| numbers[position]).collect()
}

/// Sorts the open jobs of a replay by the order in which they get capacity.
fn sort_by_rule(
    jobs: &[ReplayedJob],
    mut open: Vec<usize>,
    rule: DeferralRule,
    now_ms: u64,
) -> Vec<usize> {
    let on_time_slack = |job: &ReplayedJob| job.slack_ms(now_ms, OBJECTIVE_MS);
    let useful_slack = |job: &ReplayedJob| job.slack_ms(now_ms, USEFUL_MS);
    let deferred = match rule {
        DeferralRule::LeastSlack => Vec::new(),
        _ => deferred_indices(jobs, &open, on_time_slack),
    };
    let is_late =
        |number: &usize| deferred.contains(number) || on_time_slack(&jobs[*number]).is_none();
    let deferred_late = match rule {
        DeferralRule::OnTimeAndLate => {
            let late_jobs: Vec<_> = open
                .iter()
                .copied()
                .filter(|number| is_late(number))
                .collect();
            deferred_indices(jobs, &late_jobs, useful_slack)
        }
        _ => Vec::new(),
    };
    open.sort_by_key(|number| {
        let job = &jobs[*number];
        let class = u8::from(is_late(number)) + u8::from(deferred_late.contains(number));
        (useful_slack(job).is_none(), class, job.arrives_ms)
    });
    open
}

/// Replays the jobs. Returns how many end on time, and how many while their result is useful.
fn replay(mut jobs: Vec<ReplayedJob>, rule: DeferralRule) -> (usize, usize) {
    run_to_end(&mut jobs, rule);
    let within = |time_ms: u64| {
        let ended = jobs
            .iter()
            .filter(|job| job.ends_ms <= job.arrives_ms + time_ms);
        ended.count()
    };
    (within(OBJECTIVE_MS), within(USEFUL_MS))
}

/// Runs a replay until all jobs have ended.
fn run_to_end(jobs: &mut [ReplayedJob], rule: DeferralRule) {
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now_ms in (0..60_000).step_by(TICK_MS as usize) {
        running.retain(|(ends_ms, _)| *ends_ms > now_ms);
        let open: Vec<usize> = (0..jobs.len())
            .filter(|&number| jobs[number].arrives_ms <= now_ms)
            .filter(|&number| jobs[number].started < jobs[number].tasks)
            .collect();
        let used: u64 = running.iter().map(|(_, millis)| millis).sum();
        let mut free = (POOL_CAPACITY_MILLIS - used) / TASK_MILLIS;
        for number in sort_by_rule(jobs, open, rule, now_ms) {
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
fn deferral_of_the_largest_jobs_raises_the_number_on_time() {
    for per_second in [40, 60, 90] {
        let (before, _) = replay(overload_jobs(per_second), DeferralRule::LeastSlack);
        let (after, _) = replay(overload_jobs(per_second), DeferralRule::OnTime);

        assert!(
            after > before,
            "{per_second} jobs a second: {before} without deferral, {after} with it"
        );
    }
}

#[test]
fn deferral_of_the_largest_late_jobs_raises_the_number_of_useful_ones() {
    for per_second in [90, 140, 200] {
        let (_, before) = replay(overload_jobs(per_second), DeferralRule::OnTime);
        let (_, after) = replay(overload_jobs(per_second), DeferralRule::OnTimeAndLate);

        assert!(
            after > before,
            "{per_second} jobs a second: {before} without deferral of late jobs, {after} with it"
        );
    }
}

#[test]
fn all_jobs_are_on_time_while_capacity_suffices() {
    let all = overload_jobs(20).len();

    assert_eq!(replay(overload_jobs(20), DeferralRule::OnTime).0, all);
}

#[test]
fn the_largest_job_is_deferred_and_the_rest_is_feasible() {
    let demands =
        [(100, 500), (200, 900), (300, 400), (400, 300)].map(|(slack_ms, work)| JobDemand {
            slack_ms,
            work,
            priority_weight_percent: 100,
        });

    let deferred = select_deferred_jobs(&demands, 4);

    // Until 200 ms, the pool can do 4 * 200 = 800, and 500 is required. Until 300 ms, it can do
    // 1,200, and 1,400 is required.
    assert_eq!(deferred, [1]);
}

#[test]
fn a_pool_without_capacity_defers_all_but_the_smallest_job() {
    let demands = [(100, 5), (200, 3), (300, 9)].map(|(slack_ms, work)| JobDemand {
        slack_ms,
        work,
        priority_weight_percent: 100,
    });

    assert_eq!(select_deferred_jobs(&demands, 0), [0, 2]);
}

#[test]
fn the_largest_jobs_are_served_at_least_half_as_often_as_all() {
    for per_second in [40, 60, 90] {
        let served = |smallest: u64| {
            let mut jobs = overload_jobs(per_second);
            let all = jobs.iter().filter(|job| job.tasks >= smallest).count();
            run_to_end(&mut jobs, DeferralRule::OnTimeAndLate);
            let useful = jobs.iter().filter(|job| job.tasks >= smallest);
            let useful = useful.filter(|job| job.ends_ms <= job.arrives_ms + USEFUL_MS);
            useful.count() as f64 / all as f64
        };

        // About a tenth of the jobs have 12 tasks.
        let (all, largest) = (served(1), served(12));

        assert!(
            largest * 2.0 >= all,
            "{per_second} jobs a second: {largest:.2} of the largest, {all:.2} of all"
        );
    }
}
