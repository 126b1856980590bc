//! Tests the log stream at a peak of lines about jobs. The sampling of the process is shared, so
//! there is one test of the peak here; `tests/job_sampler.rs` has those with a clock of their own.

#[path = "common/write_recorder.rs"]
mod write_recorder;

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use zincpier::process::start_log_stream_to;

use crate::write_recorder::WriteRecorder;

/// Kinds of line that each job has.
const JOB_LINES: usize = 4;

/// Jobs that are logged in each batch.
const BATCH_JOBS: usize = 8;

/// Batches between the first lines of a job and its last ones.
const JOB_BATCHES: usize = 6;

/// Pause after a batch: about 6,000 lines in a second.
const BATCH_PAUSE: Duration = Duration::from_millis(5);

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

/// Logs the lines of a batch of jobs that begin, and of one that ends.
fn log_batch(batch: usize) {
    for number in batch * BATCH_JOBS..(batch + 1) * BATCH_JOBS {
        let job = job_id(number);
        log::info!(target: "zincpier", "event=job_seen job={job} queue=q");
        log::info!(target: "zincpier", "event=task_start task={job}.0.0.0 run=1 worker=w-1");
    }
    let Some(ended) = batch.checked_sub(JOB_BATCHES) else {
        return;
    };
    for number in ended * BATCH_JOBS..(ended + 1) * BATCH_JOBS {
        let job = job_id(number);
        log::info!(target: "zincpier", "event=task_ended task={job}.0.0.0 run=1 how=Done");
        log::info!(target: "zincpier", "event=job_complete job={job} took_ms=30");
    }
}

/// Returns the number of the last job that is seen among `lines`, plus one.
fn jobs_seen(lines: &[String]) -> usize {
    let mut seen = lines.iter().rev();
    let last = seen.find_map(|line| Some(line.split_once("job_seen job=")?.1));
    last.map_or(0, |rest| {
        usize::from_str_radix(&rest[..16], 16).unwrap() + 1
    })
}

/// Returns how many lines each of those jobs has that began and ended in the longest time without a change of
/// the rate.
fn settled_line_counts(lines: &[String], batches: usize) -> BTreeMap<String, usize> {
    let places = 0..lines.len();
    let changes = places.filter(|place| lines[*place].contains("event=log_sampling "));
    let mut bounds: Vec<_> = changes.map(|place| jobs_seen(&lines[..place])).collect();
    bounds.insert(0, 0);
    bounds.push(batches * BATCH_JOBS);
    let stretches = bounds.windows(2).map(|bounds| {
        // The batches of the changes are left out.
        let first = bounds[0] + 2 * BATCH_JOBS;
        first
            ..bounds[1]
                .saturating_sub((JOB_BATCHES + 2) * BATCH_JOBS)
                .max(first)
    });
    let longest = stretches.max_by_key(ExactSizeIterator::len).unwrap();
    let count_of = |job: &str| lines.iter().filter(|line| line.contains(job)).count();
    let jobs = longest.map(job_id);
    jobs.map(|job| (job.clone(), count_of(&job))).collect()
}

/// Guards against a peak of which no request has a whole record, and against warnings that are sampled.
#[test]
fn lines_of_one_job_are_all_kept_or_all_missing_at_a_peak() {
    // Arrange.
    let recorder = WriteRecorder::default();
    let stream = start_log_stream_to(recorder.clone());
    let batches = 300;

    // Act.
    for batch in 0..batches {
        log_batch(batch);
        log::warn!(target: "zincpier", "event=job_failed job={} failures=4", job_id(batch));
        sleep(BATCH_PAUSE);
    }
    stream.flush(Duration::from_secs(5));

    // Assert: after the rate has settled, jobs have all of their lines or none.
    let lines = recorder.lines_with("event=");
    let warnings = recorder.lines_with("event=job_failed ").len();
    assert_eq!(warnings, batches);
    let lines: Vec<_> = lines
        .into_iter()
        .filter(|line| !line.contains("event=job_failed "))
        .collect();
    let counts = settled_line_counts(&lines, batches);
    let whole = counts.values().filter(|count| **count == JOB_LINES).count();
    let missing = counts.values().filter(|count| **count == 0).count();
    assert_eq!(
        whole + missing,
        counts.len(),
        "jobs with some of their lines"
    );
    assert!(whole > 0 && missing > 0, "{whole} whole, {missing} missing");
    assert!(lines.len() < 5_000, "{} lines written", lines.len());
    let changes = recorder.lines_with("event=log_sampling kept_per_mille=");
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|line| line.starts_with("time_ms=")));
}
