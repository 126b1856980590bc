//! Tells for which times log lines about a job may be missing, since the log was sampled.

use std::collections::BTreeMap;

use crate::operator::JobDiagnosis;
use crate::operator::LogLine;
use crate::process::JobSampler;

/// The rate at which the lines of all jobs are kept.
const ALL_JOBS: u64 = 1_000;

/// Interval at which a controller logs its lag, in ms.
const LAG_LOG_INTERVAL_MS: u64 = 1_000;

/// The lag from which a controller counts as late, in ms. It logs shorter ones if starts wait.
const MIN_LATE_MS: u64 = 80;

/// A time in which an entry host kept the lines of a part of the jobs only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SampledTime {
    from_ms: u64,
    to_ms: u64,
    kept_per_mille: u64,
}

/// The changes of the sampling in the logs of all entry hosts.
#[derive(Debug)]
pub(crate) struct SampledLog<'l> {
    lines: &'l [LogLine],
}

impl<'l> SampledLog<'l> {
    /// Creates a view of lines that are sorted by time.
    pub(crate) fn new(lines: &'l [LogLine]) -> Self {
        Self { lines }
    }

    /// Returns why no line mentions `job`.
    pub(crate) fn diagnose(&self, job: &str) -> JobDiagnosis {
        let times = self.sampled_times().into_iter();
        let times: Vec<_> = times
            .filter(|time| !JobSampler::is_kept_at(job, time.kept_per_mille))
            .collect();
        let from_ms = times.iter().map(|time| time.from_ms).min();
        let to_ms = times.iter().map(|time| time.to_ms).max();
        let kept_per_mille = times.iter().map(|time| time.kept_per_mille).min();
        let (Some(from_ms), Some(to_ms), Some(kept_per_mille)) = (from_ms, to_ms, kept_per_mille)
        else {
            return JobDiagnosis::NoLogLines;
        };
        let lags = times
            .iter()
            .filter_map(|time| self.largest_lag(time.from_ms, time.to_ms));
        let (lag_ms, lag_time_ms) = lags.max().unwrap_or_default();
        JobDiagnosis::NotSampled {
            from_ms,
            to_ms,
            kept_per_mille,
            lag_ms,
            lag_time_ms,
        }
    }

    /// Returns what else is known of a time for which the lines about a job give no cause, as further
    /// text of the reason.
    pub(crate) fn context(&self, from_ms: u64, to_ms: u64) -> String {
        let mut text = String::new();
        let mut times = self.sampled_times().into_iter();
        if times.any(|time| time.from_ms <= to_ms && time.to_ms >= from_ms) {
            text.push_str("; the log was sampled meanwhile");
        }
        if let Some((lag_ms, _)) = self.largest_lag(from_ms, to_ms) {
            text.push_str(&format!("; the controller was behind by up to {lag_ms} ms"));
        }
        text
    }

    /// Returns the largest lag that a controller logged for these times, and when, both in ms.
    fn largest_lag(&self, from_ms: u64, to_ms: u64) -> Option<(u64, u64)> {
        let times = from_ms..=to_ms.saturating_add(LAG_LOG_INTERVAL_MS);
        let lines = self.lines.iter();
        let late =
            lines.filter(|line| line.event == "control_lag" && times.contains(&line.time_ms));
        late.filter_map(|line| Some((line.u64_field("lag_ms")?, line.time_ms)))
            .filter(|(lag_ms, _)| *lag_ms >= MIN_LATE_MS)
            .max()
    }

    /// Returns the times in which hosts sampled their lines, each up to the next change on that host.
    fn sampled_times(&self) -> Vec<SampledTime> {
        let mut open: BTreeMap<Option<&str>, (u64, u64)> = BTreeMap::new();
        let mut times = Vec::new();
        let mut close = |(from_ms, kept_per_mille), to_ms| {
            if kept_per_mille < ALL_JOBS {
                times.push(SampledTime {
                    from_ms,
                    to_ms,
                    kept_per_mille,
                });
            }
        };
        for line in self
            .lines
            .iter()
            .filter(|line| line.event == "log_sampling")
        {
            let Some(kept_per_mille) = line.u64_field("kept_per_mille") else {
                continue;
            };
            let state = (line.time_ms, kept_per_mille);
            if let Some(before) = open.insert(line.host.as_deref(), state) {
                close(before, line.time_ms);
            }
        }
        let last_ms = self.lines.last().map_or(0, |line| line.time_ms);
        open.into_values().for_each(|state| close(state, last_ms));
        times
    }
}
