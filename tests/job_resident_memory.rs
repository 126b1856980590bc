//! The resident memory of jobs with many occurrences. Guards against states of occurrences that aren't due, or
//! are over (review/9). The only test of its process, which it measures.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;

use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::JobState;
use zincpier::workflow::TaskName;

use crate::fixtures::step;
use crate::fixtures::JOB;
use crate::fixtures::QUEUE;

/// The most occurrences that are accepted.
const TIMES: u32 = 7_000;

const JOBS: u64 = 400;

/// The bytes that a job of one step takes at most, whatever of it is due later or over.
const MAX_JOB_BYTES: u64 = 8_192;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() * 1_024
}

fn job() -> JobState {
    let spec = JobSpec {
        queue: QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![step(1)],
        schedule: Some(JobSchedule {
            times: TIMES,
            first_ms: 0,
            interval_ms: 60_000,
        }),
    };
    JobState::new(JOB.parse().unwrap(), Rc::new(spec), 0)
}

/// Runs all occurrences of a job but the last one.
fn run_most(job: &mut JobState) {
    for occurrence in 0..TIMES - 1 {
        let name = TaskName {
            job: JOB.parse().unwrap(),
            occurrence,
            step: 0,
            index: 0,
        };
        job.task_mut(&name).unwrap().last_run = 1;
        job.mark_done(&name);
    }
}

#[test]
fn jobs_take_little_memory_before_they_are_due_and_after() {
    let before = resident_bytes();

    let mut jobs: Vec<_> = (0..JOBS).map(|_| job()).collect();
    let accepted = resident_bytes().saturating_sub(before) / JOBS;
    jobs.iter_mut().for_each(run_most);
    let done = resident_bytes().saturating_sub(before) / JOBS;

    assert!(accepted <= MAX_JOB_BYTES, "{accepted} bytes a job");
    assert!(done <= MAX_JOB_BYTES, "{done} bytes a job");
    assert!(jobs.iter().all(|job| job.waiting_task_count() == 1));
}
