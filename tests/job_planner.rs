//! Tests the job planner, the fault detector and the size estimator on small fleets.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use zincpier::id::HostId;
use zincpier::id::JobId;
use zincpier::job::FaultDetector;
use zincpier::job::JobDecision;
use zincpier::job::JobFleet;
use zincpier::job::JobPlanner;
use zincpier::job::JobRecord;
use zincpier::job::JobSize;
use zincpier::job::JobSpec;
use zincpier::job::QuotaTracker;
use zincpier::job::SizeEstimator;
use zincpier::job::TaskView;
use zincpier::job::WaitingJob;
use zincpier::job::WorkerTrust;
use zincpier::job::WorkerView;
use zincpier::version::ServiceText;

const DEADLINE_MS: u64 = 1_000_000;

/// A service text with two teams, each with a quota of four cores.
fn text() -> Arc<ServiceText> {
    let text = "deployment = \"test\"\n\
        [[data_centres]]\nname = \"east\"\nregion = \"one\"\n\
        [[services]]\nname = \"notices\"\npath = \"/notices\"\navailability = \"99\"\n\
        [[racks]]\nname = \"r1\"\ndata_centre = \"east\"\nhosts = [\"k1\"]\n\
        [[pools]]\nname = \"workers\"\nservice = \"notices\"\nrole = \"worker\"\nneeded = 0\nhosts = [\"k1\"]\n\
        [[teams]]\nname = \"bays\"\nquota = \"4/8192/1\"\n\
        [[teams]]\nname = \"digests\"\nquota = \"4/8192/1\"\n";
    Arc::new(ServiceText::parse("text", text).unwrap())
}

fn worker(host: &str) -> WorkerView {
    WorkerView {
        host: host.parse().unwrap(),
        service: "notices".parse().unwrap(),
        size: JobSize::new(4, 8_192, 0),
        open: true,
        closes_soon: false,
        trust: WorkerTrust::Trusted,
    }
}

fn task(job: &str, host: &str, team: &str, loss_ms: Option<u64>) -> TaskView {
    TaskView {
        job: job.parse().unwrap(),
        host: host.parse().unwrap(),
        team: team.parse().unwrap(),
        size: JobSize::new(4, 1_024, 0),
        urgent: false,
        stopping: false,
        loss_ms,
    }
}

fn waiting(job: &str, team: &str) -> WaitingJob {
    WaitingJob {
        id: job.parse().unwrap(),
        team: team.parse().unwrap(),
        service: "notices".parse().unwrap(),
        size: JobSize::new(4, 1_024, 0),
        run_ms: 1_000,
        deadline_ms: DEADLINE_MS,
        urgent: false,
        can_move: true,
        avoided: BTreeSet::new(),
    }
}

fn plan(workers: Vec<WorkerView>, tasks: Vec<TaskView>, jobs: Vec<WaitingJob>) -> Vec<JobDecision> {
    let mut fleet = JobFleet::new(workers);
    let mut quotas = QuotaTracker::new(&text());
    for task in tasks {
        quotas.add(&task.team, &task.size);
        fleet.add(task);
    }
    JobPlanner::new(fleet, quotas).plan(jobs)
}

fn place(job: &str, host: &str) -> JobDecision {
    JobDecision::Place {
        job: job.parse().unwrap(),
        host: host.parse().unwrap(),
    }
}

fn stop(job: &str, host: &str, for_job: &str) -> JobDecision {
    JobDecision::Stop {
        job: job.parse().unwrap(),
        host: host.parse().unwrap(),
        for_job: for_job.parse().unwrap(),
    }
}

fn spec(kind: &str, size: JobSize, run_ms: u64) -> JobSpec {
    JobSpec {
        team: "bays".parse().unwrap(),
        service: "notices".parse().unwrap(),
        kind: kind.to_owned(),
        size,
        run_ms,
        deadline_ms: DEADLINE_MS,
        urgent: false,
        repeatable: true,
        checkpoints: false,
        work: String::new(),
    }
}

/// Guards against needless loss of work, and against stopping a job that must not be stopped.
#[test]
fn urgent_job_preempts_the_job_that_loses_least_work() {
    let tasks = vec![
        task("long", "k1", "digests", Some(90_000)),
        task("short", "k2", "digests", Some(3_000)),
        task("once", "k3", "digests", None),
    ];
    let urgent = WaitingJob {
        urgent: true,
        ..waiting("red-tag", "bays")
    };

    let decisions = plan(
        vec![worker("k1"), worker("k2"), worker("k3")],
        tasks,
        vec![urgent],
    );

    assert_eq!(decisions, [stop("short", "k2", "red-tag")]);
}

/// Guards against a second preemption for the same job: the victim of an earlier pass is still
/// stopping, and its capacity will be enough.
#[test]
fn no_job_is_preempted_while_capacity_is_being_released() {
    let mut stopping = task("short", "k2", "digests", Some(3_000));
    stopping.stopping = true;
    let tasks = vec![task("long", "k1", "digests", Some(1)), stopping];
    let urgent = WaitingJob {
        urgent: true,
        ..waiting("red-tag", "bays")
    };

    let decisions = plan(vec![worker("k1"), worker("k2")], tasks, vec![urgent]);

    assert_eq!(decisions, []);
}

/// Guards against a team that borrows capacity and so keeps another team from using its quota.
#[test]
fn team_within_its_quota_preempts_one_beyond_it() {
    let tasks = vec![
        task("first", "k1", "digests", Some(10)),
        task("second", "k2", "digests", Some(20)),
    ];

    let decisions = plan(
        vec![worker("k1"), worker("k2")],
        tasks,
        vec![waiting("own", "bays")],
    );

    assert_eq!(decisions, [stop("first", "k1", "own")]);
}

/// Guards against urgent jobs as a way around quotas: only a team within its quota may preempt.
#[test]
fn team_beyond_its_quota_preempts_no_job() {
    let tasks = vec![
        task("first", "k1", "bays", Some(10)),
        task("second", "k2", "digests", Some(20)),
    ];
    let urgent = WaitingJob {
        urgent: true,
        ..waiting("more", "bays")
    };

    let decisions = plan(vec![worker("k1"), worker("k2")], tasks, vec![urgent]);

    assert_eq!(decisions, []);
}

/// Guards against a borrowing job that takes the capacity of a job within its team's quota, because
/// its id sorts first.
#[test]
fn idle_capacity_is_lent_after_jobs_within_quota_are_placed() {
    let tasks = vec![task("first", "k1", "digests", Some(10))];
    let workers = vec![worker("k1"), worker("k2"), worker("k3")];
    let jobs = vec![waiting("a-borrowed", "digests"), waiting("own", "bays")];

    let decisions = plan(workers, tasks, jobs);

    assert_eq!(decisions, [place("own", "k2"), place("a-borrowed", "k3")]);
}

/// Guards against a job that waits forever because it fits no worker.
#[test]
fn job_larger_than_every_worker_is_refused() {
    let mut large = waiting("large", "bays");
    large.size = JobSize::new(1, 9_000, 0);

    let decisions = plan(vec![worker("k1")], Vec::new(), vec![large]);

    let [JobDecision::Refuse { reason, .. }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(reason, "no worker of notices holds 1/9000/0");
}

/// Guards against a job without accelerators that takes the only worker with one.
#[test]
fn jobs_without_accelerators_avoid_workers_that_have_them() {
    let mut accelerated = worker("k1");
    accelerated.size.accelerators = 1;
    let mut accelerated_job = waiting("with-accelerator", "bays");
    accelerated_job.size.accelerators = 1;

    let decisions = plan(
        vec![accelerated, worker("k2")],
        Vec::new(),
        vec![waiting("a-plain", "digests"), accelerated_job],
    );

    assert_eq!(
        decisions,
        [place("a-plain", "k2"), place("with-accelerator", "k1")]
    );
}

/// Guards against a wave that waits for a long, unmovable job placed on a host shortly before it
/// closes.
#[test]
fn long_unmovable_job_avoids_host_that_a_wave_closes_soon() {
    let mut leaving = worker("k1");
    leaving.closes_soon = true;
    let mut unmovable = waiting("fixed", "bays");
    unmovable.can_move = false;
    unmovable.run_ms = 600_000;

    let decisions = plan(
        vec![leaving],
        Vec::new(),
        vec![unmovable, waiting("movable", "digests")],
    );

    assert_eq!(decisions, [place("movable", "k1")]);
}

/// Guards against quarantine because one job fails repeatedly, and against quarantine without end.
#[test]
fn worker_that_fails_several_jobs_is_quarantined_then_on_probation() {
    let now = Instant::now();
    let host = "k1".parse::<HostId>().unwrap();
    let mut detector = FaultDetector::new();

    let quarantined = ["a", "a", "b", "c"].map(|job| {
        let job = job.parse::<JobId>().unwrap();
        detector.record_failure(&host, &job, now)
    });
    let at_once = detector.trust(&host, now);
    let later = detector.trust(&host, now + Duration::from_secs(30));
    detector.record_success(&host);

    assert_eq!(quarantined, [false, false, false, true]);
    assert_eq!(at_once, WorkerTrust::Quarantined);
    assert_eq!(later, WorkerTrust::OnProbation);
    assert_eq!(detector.trust(&host, now), WorkerTrust::Trusted);
}

/// Guards against ending a working job as failed because it was placed on broken workers.
#[test]
fn failures_on_quarantined_workers_do_not_count_against_a_job() {
    let now = Instant::now();
    let mut detector = FaultDetector::new();
    let spec = spec("frames", JobSize::new(1, 1, 0), 1);
    let mut record = JobRecord::new("job".parse().unwrap(), spec, 0);
    record.failed_on = ["k1", "k2", "k3"].map(|host| host.parse().unwrap()).into();

    let at_fault_before = detector.is_at_fault(&record, now);
    for job in ["a", "b", "c"] {
        detector.record_failure(&"k1".parse().unwrap(), &job.parse().unwrap(), now);
    }
    let at_fault_after = detector.is_at_fault(&record, now);

    assert!(at_fault_before);
    assert!(!at_fault_after);
}

/// Guards against reserving capacity by declared sizes that are far from the actual use.
#[test]
fn observed_sizes_and_times_replace_declared_ones() {
    let declared = spec("frames", JobSize::new(32, 65_536, 1), 1_000);
    let mut estimator = SizeEstimator::new();

    let before = (estimator.size(&declared), estimator.run_ms(&declared));
    for ran_ms in [9_000, 10_000, 12_000] {
        estimator.record_run(&declared, JobSize::new(2, 1_000, 1), ran_ms);
    }
    let after = (estimator.size(&declared), estimator.run_ms(&declared));

    assert_eq!(before, (declared.size, 1_000));
    assert_eq!(after.0.to_string(), "2.2/1100/1");
    assert_eq!(after.1, 10_000);
}

/// Guards against an estimate larger than any worker: the margin on a job that uses a full worker
/// would make it impossible to place.
#[test]
fn margin_never_exceeds_declared_and_observed_size() {
    let declared = spec("frames", JobSize::new(4, 8_192, 0), 1_000);
    let mut estimator = SizeEstimator::new();

    estimator.record_run(&declared, JobSize::new(4, 1_000, 0), 1_000);

    assert_eq!(estimator.size(&declared).to_string(), "4/1100/0");
}
