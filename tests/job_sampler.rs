//! Tests which jobs' log lines are kept.

use std::collections::BTreeSet;

use zincpier::process::JobSampler;

/// Lines about each job in these tests.
const JOB_LINES: usize = 4;

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

/// Logs `rate` lines a second, of jobs with [`JOB_LINES`] lines each, from `from_ms` to `to_ms`. Returns the
/// number of those that are kept.
fn log_lines(sampler: &mut JobSampler, rate: u64, from_ms: u64, to_ms: u64) -> u64 {
    let times = (from_ms..to_ms).flat_map(|now_ms| {
        let lines = now_ms * rate / 1_000..(now_ms + 1) * rate / 1_000;
        lines.map(move |number| (now_ms, number))
    });
    let kept = times.filter(|(now_ms, number)| {
        let job = job_id(number / JOB_LINES as u64);
        sampler.check(&job, *now_ms)
    });
    kept.count() as u64
}

/// Returns the jobs of the first 10,000 whose lines are kept at a rate.
fn jobs_kept_at(rate: u64) -> BTreeSet<String> {
    let jobs = (0..10_000).map(job_id);
    jobs.filter(|job| JobSampler::is_kept_at(job, rate))
        .collect()
}

/// A sample that were drawn anew at each rate would leave no job with all lines while the rate changes.
#[test]
fn jobs_kept_at_a_quarter_are_kept_at_a_half() {
    let (half, quarter) = (jobs_kept_at(500), jobs_kept_at(250));

    assert!(quarter.is_subset(&half));
    assert!((4_500..5_500).contains(&half.len()), "{}", half.len());
    assert!((2_200..2_800).contains(&quarter.len()), "{}", quarter.len());
}

#[test]
fn usual_load_is_not_sampled() {
    let mut sampler = JobSampler::new();

    let kept = log_lines(&mut sampler, 900, 10_000, 40_000);

    assert_eq!(kept, 27_000);
    assert_eq!(sampler.take_change(), None);
}

/// Guards against a log that grows with the load, and against a rate that falls further than it must.
#[test]
fn volume_is_bounded_under_any_load() {
    for rate in [2_000, 10_000, 100_000] {
        let mut sampler = JobSampler::new();

        let first = log_lines(&mut sampler, rate, 10_000, 15_000);
        let settled = log_lines(&mut sampler, rate, 15_000, 35_000) / 20;

        assert!(first <= 7_000, "{first} lines of {rate} in the first 5 s");
        assert!(
            (250..=1_100).contains(&settled),
            "{settled} lines of {rate}"
        );
    }
}

/// Guards against one job of the sample that writes without end.
#[test]
fn volume_of_a_single_job_is_bounded() {
    let mut sampler = JobSampler::new();
    let kept_always = (0..).map(job_id).find(|job| JobSampler::is_kept_at(job, 1));
    let job = kept_always.unwrap();

    let lines = (0..100_000).filter(|_| sampler.check(&job, 10_000));

    assert!(lines.count() <= 2_000);
}

/// Guards against lines that are dropped without a trace.
#[test]
fn dropped_lines_are_counted_with_the_changes_of_the_rate() {
    let mut sampler = JobSampler::new();
    let (mut kept, mut dropped) = (0, 0);

    for number in 0..200_000 {
        // The last lines come when the peak is long over.
        let now_ms = 10_000 + number / 20 + if number == 199_999 { 60_000 } else { 0 };
        kept += u64::from(sampler.check(&job_id(number), now_ms));
        dropped += sampler.take_change().map_or(0, |change| change.dropped);
    }

    assert!(dropped > 0);
    assert_eq!(kept + dropped, 200_000);
}

/// Guards against a log that stays sampled for ever, or that is full again before the peak is over.
#[test]
fn rate_rises_again_after_a_peak() {
    let mut sampler = JobSampler::new();
    log_lines(&mut sampler, 10_000, 10_000, 20_000);
    let at_peak = sampler.take_change().unwrap().kept_per_mille;

    log_lines(&mut sampler, 10_000, 20_000, 40_000);
    let later = sampler.take_change();
    log_lines(&mut sampler, 400, 40_000, 60_000);
    let afterwards = sampler.take_change().unwrap().kept_per_mille;
    let kept = log_lines(&mut sampler, 400, 60_000, 61_000);

    assert!((62..=125).contains(&at_peak), "{at_peak} of 1,000 jobs");
    assert_eq!(later, None, "the rate changes although the load doesn't");
    assert_eq!((afterwards, kept), (1_000, 400));
}
