//! Tests of job diagnosis on log lines in the format that entry hosts write.

use zincpier::operator::jobs_not_completed_in_time;
use zincpier::operator::JobDiagnosis;
use zincpier::operator::JobTimeline;
use zincpier::operator::LogLine;
use zincpier::process::JobSampler;

/// Jobs that take longer count as late in these tests.
const LATE_MS: u64 = 5_000;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

fn diagnose(text: &str, job: &str) -> JobDiagnosis {
    JobTimeline::new(&lines(text), job).diagnose(LATE_MS)
}

/// Fails if the parser loses the host name or cuts a quoted value at a space, or if the line is
/// also matched to another job whose id starts with `a`.
#[test]
fn log_line_keeps_host_and_quoted_values() {
    let text = "  4.0005 edge-1 time_ms=17 level=WARN event=task_stop task=a.0.0.1 reason=\"no progress\" outcome=Accepted";

    let line = LogLine::parse(text).unwrap();

    assert_eq!(line.host.as_deref(), Some("edge-1"));
    assert_eq!((line.time_ms, line.event.as_str()), (17, "task_stop"));
    assert_eq!(line.field("reason"), "no progress");
    assert!(line.is_about_job("a") && !line.is_about_job("aa"));
}

#[test]
fn lines_of_other_programs_are_ignored() {
    assert_eq!(LogLine::parse("Dec 4 kernel: time_ms= out of memory"), None);
    assert_eq!(LogLine::parse(""), None);
}

/// Fails if hosts are not counted by their `dependency_lost` lines, or if the time is not that of
/// the submission without an answer.
#[test]
fn refusal_during_outage_counts_hosts_that_lost_the_table() {
    let text = "
e-1 time_ms=1000 level=WARN event=dependency_lost name=platform_table reason=\"reset\"
e-2 time_ms=1001 level=WARN event=dependency_lost name=platform_table reason=\"reset\"
e-1 time_ms=1900 level=INFO event=submit job=aa queue=q outcome=Unknown
e-2 time_ms=3200 level=INFO event=submit job=aa outcome=CutOff silence_ms=2199
";

    let expected = JobDiagnosis::TableUnreachable {
        hosts: 2,
        unanswered_ms: 2_199,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

#[test]
fn refusal_for_a_backlog_names_the_wait() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Hopeless wait_ms=9100 useful_ms=4200 age_ms=310 retry_s=6
";

    let expected = JobDiagnosis::BacklogTooLong {
        wait_ms: 9_100,
        useful_ms: 4_200,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Fails if a wait for the controller is blamed on the pool, which is short as well.
#[test]
fn delay_by_a_controller_that_is_behind_names_its_lag() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-2 time_ms=1100 level=INFO event=job_seen job=aa queue=q service=s
e-2 time_ms=2000 level=WARN event=control_lag epoch=3 lag_ms=240
e-2 time_ms=2500 level=INFO event=pool name=s hosts=1 pinned=0 room_millis=100 used_millis=100 demand_millis=900
e-2 time_ms=3000 level=WARN event=control_lag epoch=3 lag_ms=910
e-2 time_ms=9000 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=3 try=1 outcome=Accepted(7)
e-2 time_ms=9900 level=INFO event=job_complete job=aa took_ms=8800
";

    let expected = JobDiagnosis::ControllerBehind {
        waited_ms: 8_000,
        lag_ms: 910,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Fails if a task that failed on two workers is blamed on one of them.
#[test]
fn failures_on_several_workers_are_the_fault_of_the_job() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1001 level=INFO event=job_seen job=aa queue=q service=s
e-1 time_ms=1100 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Failed
e-1 time_ms=1200 level=INFO event=task_ended task=aa.0.0.0 run=2 worker=w-2 how=Failed
e-1 time_ms=1200 level=WARN event=job_failed job=aa task=aa.0.0.0 failures=2 limit=2
";

    let expected = JobDiagnosis::JobAtFault {
        task: "aa.0.0.0".to_owned(),
        failures: 2,
        workers: 2,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Fails if the quarantine is ignored, so that the job is blamed for a faulty worker.
#[test]
fn failures_on_one_quarantined_worker_are_the_fault_of_the_worker() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1001 level=INFO event=job_seen job=aa queue=q service=s
e-1 time_ms=1100 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Failed
e-1 time_ms=1150 level=WARN event=worker_distrusted worker=w-1 reason=\"failures in a row\"
e-1 time_ms=1200 level=WARN event=job_failed job=aa task=aa.0.0.0 failures=1 limit=1
";

    assert!(
        matches!(diagnose(text, "aa"), JobDiagnosis::WorkerAtFault { worker, .. } if worker == "w-1")
    );
}

/// The other pool has a larger shortage, which must not be reported.
#[test]
fn late_job_in_a_full_pool_is_a_shortage_of_its_own_pool() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-2 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
e-2 time_ms=2000 level=INFO event=pool name=s-1 hosts=8 pinned=5 room_millis=512000 used_millis=500000 demand_millis=2000000
e-2 time_ms=2000 level=INFO event=pool name=s-2 hosts=8 pinned=5 room_millis=1 used_millis=1 demand_millis=9000000
e-2 time_ms=7000 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=1 outcome=Accepted(5)
e-2 time_ms=7900 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Done
e-2 time_ms=7900 level=INFO event=job_complete job=aa
";

    let expected = JobDiagnosis::PoolShortage {
        waited_ms: 6_000,
        pool: "s-1".to_owned(),
        capacity_millis: 512_000,
        demand_millis: 2_000_000,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Fails if a wait for a new controller is given another cause, or names the former one.
#[test]
fn delay_by_controller_change_names_the_new_holder() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-2 time_ms=5000 level=INFO event=lease_gained epoch=2
e-2 time_ms=5010 level=INFO event=job_seen job=aa queue=q service=s-1
e-2 time_ms=5100 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=2 outcome=Accepted(5)
e-2 time_ms=6900 level=INFO event=job_complete job=aa
";

    let expected = JobDiagnosis::ControllerChanged {
        waited_ms: 4_100,
        holder: "e-2".to_owned(),
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Fails if the delay is explained by execution time, or by how the run ended instead of why it was
/// stopped.
#[test]
fn restarted_task_names_the_logged_reason() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
e-1 time_ms=1100 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=1 outcome=Accepted(5)
e-1 time_ms=6000 level=INFO event=task_stop task=aa.0.0.0 run=1 worker=w-1 reason=\"no progress\" outcome=Accepted(7)
e-1 time_ms=6100 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Stopped
e-1 time_ms=6200 level=INFO event=task_start task=aa.0.0.0 run=2 worker=w-2 epoch=1 outcome=Accepted(5)
e-1 time_ms=7000 level=INFO event=job_complete job=aa
";

    let expected = JobDiagnosis::TaskRestarted {
        task: "aa.0.0.0".to_owned(),
        runs: 2,
        reason: "no progress".to_owned(),
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// A job whose tasks ran for nearly all of its time must not be reported as delayed.
#[test]
fn late_job_with_tasks_running_throughout_is_explained_by_execution_time() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
e-1 time_ms=1100 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=1 outcome=Accepted(5)
e-1 time_ms=5000 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Done
e-1 time_ms=5050 level=INFO event=task_start task=aa.0.1.0 run=1 worker=w-1 epoch=1 outcome=Accepted(5)
e-1 time_ms=9000 level=INFO event=task_ended task=aa.0.1.0 run=1 worker=w-1 how=Done
e-1 time_ms=9000 level=INFO event=job_complete job=aa
";

    let expected = JobDiagnosis::ExecutionTime {
        execution_ms: 7_850,
        total_ms: 8_000,
    };
    assert_eq!(diagnose(text, "aa"), expected);
}

/// Guards against a guessed cause where the log gives none.
#[test]
fn log_lines_that_give_no_cause_are_inconclusive() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
e-1 time_ms=9000 level=INFO event=lookup job=aa outcome=NoJob
";

    assert!(matches!(
        diagnose(text, "aa"),
        JobDiagnosis::Inconclusive(_)
    ));
    assert_eq!(diagnose(text, "bb"), JobDiagnosis::NoLogLines);
}

/// Fails if a late job (`bb`) or a refused one (`cc`) is missed, or if a long-running one that has
/// not ended (`dd`) is listed.
#[test]
fn jobs_not_completed_in_time_exclude_long_running_jobs() {
    let text = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=Accepted
e-1 time_ms=1000 level=INFO event=submit job=bb queue=q outcome=Accepted
e-1 time_ms=1000 level=INFO event=submit job=cc outcome=CutOff silence_ms=1900
e-1 time_ms=1000 level=INFO event=submit job=dd queue=q outcome=Accepted
e-1 time_ms=1001 level=INFO event=job_seen job=dd queue=q service=s long_running=true
e-1 time_ms=2000 level=INFO event=job_complete job=aa
e-1 time_ms=9000 level=INFO event=job_complete job=bb
";

    assert_eq!(
        jobs_not_completed_in_time(&lines(text), LATE_MS),
        ["bb", "cc"]
    );
}

#[test]
fn refusal_of_an_organisation_names_rate_or_share() {
    let rate = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q organisation=north outcome=OverRate percent=3.3 age_ms=310 retry_s=6
e-2 time_ms=7000 level=INFO event=submit job=aa queue=q organisation=north outcome=OverRate percent=3.1 age_ms=120 retry_s=8
";
    let share = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q organisation=north outcome=Hopeless wait_ms=9100 useful_ms=4200 age_ms=310 retry_s=6
";

    let rate = diagnose(rate, "aa");
    let share = diagnose(share, "aa");

    let expected = JobDiagnosis::RateExceeded {
        organisation: "north".to_owned(),
        percent: "3.3".to_owned(),
    };
    assert_eq!(rate, expected);
    let expected = JobDiagnosis::ShareExceeded {
        organisation: "north".to_owned(),
        wait_ms: 9_100,
        useful_ms: 4_200,
    };
    assert_eq!(share, expected);
    assert!(rate.to_string().starts_with("refused: rate:"));
    assert!(share.to_string().starts_with("refused: share:"));
}

/// Fails if a delay by an organisation's own limit is blamed on the pool, on another organisation's
/// limit, or on a rate that the job was within.
#[test]
fn late_job_of_a_limited_organisation_names_its_limit() {
    let text = |cause: &str, over_rate: &str| {
        format!(
            "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q organisation=north outcome=Accepted
e-2 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
{over_rate}
e-2 time_ms=2000 level=INFO event=organisation_limited organisation=south cause=share used_millis=1 cap_millis=1 share_millis=1 waiting_jobs=1 wait_ms=0 percent=100
e-2 time_ms=2000 level=INFO event=pool name=s-1 hosts=8 pinned=5 room_millis=512000 used_millis=500000 demand_millis=2000000
e-2 time_ms=3000 level=INFO event=organisation_limited organisation=north cause={cause} used_millis=9000 cap_millis=9500 share_millis=7000 waiting_jobs=40 wait_ms=0 percent=100
e-2 time_ms=7000 level=INFO event=task_start task=aa.0.0.0 run=1 worker=w-1 epoch=1 outcome=Accepted(5)
e-2 time_ms=7900 level=INFO event=task_ended task=aa.0.0.0 run=1 worker=w-1 how=Done
e-2 time_ms=7900 level=INFO event=job_complete job=aa
"
        )
    };
    let over_rate = "e-2 time_ms=1011 level=INFO event=job_over_rate job=aa organisation=north";
    let limited = |cause: &str| JobDiagnosis::OrganisationLimited {
        waited_ms: 6_000,
        organisation: "north".to_owned(),
        cause: cause.to_owned(),
        used_millis: 9_000,
        share_millis: 7_000,
        cap_millis: 9_500,
    };

    assert_eq!(diagnose(&text("cap", ""), "aa"), limited("cap"));
    assert_eq!(diagnose(&text("share", ""), "aa"), limited("share"));
    assert_eq!(diagnose(&text("rate", over_rate), "aa"), limited("rate"));
    let within_rate = diagnose(&text("rate", ""), "aa");
    assert!(matches!(within_rate, JobDiagnosis::PoolShortage { .. }));
}

/// Guards against a call that was refused for its key and has no cause, or that of an earlier attempt.
#[test]
fn refusal_of_a_key_is_named_as_the_cause() {
    let unknown = "
e-1 time_ms=1000 level=INFO event=key_refused outcome=unauthorized queue=q organisation=unknown version=7 age_ms=310 action=submit job=aa
";
    let unconfirmed = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q organisation=north outcome=OverRate percent=3.3 age_ms=310 retry_s=6
e-1 time_ms=7000 level=INFO event=key_refused outcome=unconfirmed queue=q organisation=north version=7 age_ms=4901 action=submit job=aa
";
    let look_up = "
e-1 time_ms=1000 level=INFO event=key_refused outcome=unconfirmed queue=q organisation=unknown version=7 age_ms=unknown action=look-up job=aa
";

    assert_eq!(
        diagnose(unknown, "aa"),
        JobDiagnosis::KeyUnknown("7".to_owned())
    );
    let expected = |organisation: &str, age_ms: &str| JobDiagnosis::KeyUnconfirmed {
        organisation: organisation.to_owned(),
        version: "7".to_owned(),
        age_ms: age_ms.to_owned(),
    };
    assert_eq!(diagnose(unconfirmed, "aa"), expected("north", "4901"));
    assert_eq!(diagnose(look_up, "aa"), expected("unknown", "unknown"));
    assert_eq!(jobs_not_completed_in_time(&lines(unknown), LATE_MS), ["aa"]);
    assert!(jobs_not_completed_in_time(&lines(look_up), LATE_MS).is_empty());
}

/// Guards against a key that is blamed although the job was refused later for another reason, or ran.
#[test]
fn refused_key_is_no_cause_once_another_attempt_was_authenticated() {
    let refused = "
e-1 time_ms=1000 level=INFO event=key_refused outcome=unauthorized queue=q organisation=unknown version=7 age_ms=310 action=submit job=aa
e-1 time_ms=2000 level=INFO event=submit job=aa queue=q organisation=north outcome=OverRate percent=3.3 age_ms=310 retry_s=6
e-1 time_ms=3000 level=INFO event=key_refused outcome=unauthorized queue=q organisation=unknown version=7 age_ms=310 action=look-up job=aa
";
    let complete = "
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q organisation=north outcome=Accepted
e-1 time_ms=1010 level=INFO event=job_seen job=aa queue=q service=s-1
e-1 time_ms=2000 level=INFO event=key_refused outcome=unauthorized queue=q organisation=unknown version=7 age_ms=310 action=submit job=aa
e-1 time_ms=2500 level=INFO event=job_complete job=aa
";

    assert!(matches!(
        diagnose(refused, "aa"),
        JobDiagnosis::RateExceeded { .. }
    ));
    assert_eq!(
        diagnose(complete, "aa"),
        JobDiagnosis::CompletedInTime(1_500)
    );
}

/// Returns the id of a job whose lines are not kept at 250 of 1,000, but are at 500.
fn job_left_out_at_250() -> String {
    let jobs = (0..).map(|number| format!("{number:016x}"));
    let mut left_out =
        jobs.filter(|job| JobSampler::is_kept_at(job, 500) && !JobSampler::is_kept_at(job, 250));
    left_out.next().unwrap()
}

/// Guards against a job of a peak that is said to be unknown, as if it had never been submitted.
#[test]
fn job_without_lines_in_a_sampled_log_is_said_to_be_left_out() {
    let text = "
e-2 time_ms=1000 level=WARN event=log_sampling kept_per_mille=500 dropped=12
e-2 time_ms=2000 level=WARN event=log_sampling kept_per_mille=250 dropped=1234
e-2 time_ms=3000 level=WARN event=control_lag epoch=3 lag_ms=910
e-2 time_ms=4000 level=WARN event=log_sampling kept_per_mille=500 dropped=4321
e-2 time_ms=9000 level=WARN event=control_lag epoch=3 lag_ms=2000
";

    let diagnosis = diagnose(text, &job_left_out_at_250());

    let expected = JobDiagnosis::NotSampled {
        from_ms: 2_000,
        to_ms: 4_000,
        kept_per_mille: 250,
        lag_ms: 910,
        lag_time_ms: 3_000,
    };
    assert_eq!(diagnosis, expected);
    let text = diagnosis.to_string();
    assert!(
        text.contains("sampled") && text.contains("behind by up to 910 ms"),
        "{text}"
    );
}

/// Guards against sampling as an excuse for jobs whose lines are kept at every rate that was in force.
#[test]
fn job_without_lines_that_sampling_keeps_is_not_said_to_be_left_out() {
    let text = "
e-1 time_ms=1000 level=WARN event=log_sampling kept_per_mille=500 dropped=12
e-2 time_ms=2000 level=WARN event=log_sampling kept_per_mille=1000 dropped=0
";

    assert_eq!(
        diagnose(text, &job_left_out_at_250()),
        JobDiagnosis::NoLogLines
    );
}

/// Guards against lines that are missing without a word, and against a late controller that is not named.
#[test]
fn inconclusive_job_of_a_sampled_time_names_sampling_and_lag() {
    let text = "
e-1 time_ms=500 level=WARN event=log_sampling kept_per_mille=500 dropped=12
e-1 time_ms=1000 level=INFO event=submit job=aa queue=q outcome=NotStored
e-2 time_ms=1100 level=WARN event=control_lag epoch=3 lag_ms=120
";

    let JobDiagnosis::Inconclusive(reason) = diagnose(text, "aa") else {
        panic!("conclusive");
    };

    assert!(reason.contains("the log was sampled"), "{reason}");
    assert!(reason.contains("behind by up to 120 ms"), "{reason}");
}
