//! Diagnoses why a job ended as it did, from the entry hosts' log lines alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::operator::JobDiagnosis;
use crate::operator::LogLine;
use crate::operator::SampledLog;

/// A loss of the table counts as the cause of a refusal if it was logged at most this long before
/// the job's first submission, since callers retry through outages of up to this length.
const MAX_OUTAGE_MS: u64 = 15_000;

/// Share of a job's time that its tasks must have run for the job to count as not delayed.
const MIN_EXECUTION_PERCENT: u64 = 75;

/// Lag of the controller that counts as the cause of a delay, in ms. Each step of a job meets it
/// several times: when it is placed, committed, sent and reported.
const MIN_DELAYING_LAG_MS: u64 = 200;

/// Interval at which a controller logs its lag, in ms.
const LAG_LOG_INTERVAL_MS: u64 = 1_000;

/// Interval at which a controller logs that an organisation is limited, in ms.
const LIMIT_LOG_INTERVAL_MS: u64 = 1_000;

/// The log lines about one job, sorted by time, and the lines of all entry hosts for context.
#[derive(Debug)]
pub struct JobTimeline<'l> {
    job: &'l str,
    all_lines: &'l [LogLine],
    job_lines: Vec<&'l LogLine>,
}

impl<'l> JobTimeline<'l> {
    /// Collects the lines about a job; `all_lines` must be sorted by time.
    pub fn new(all_lines: &'l [LogLine], job: &'l str) -> Self {
        let job_lines = all_lines
            .iter()
            .filter(|line| line.is_about_job(job))
            .collect();
        Self {
            job,
            all_lines,
            job_lines,
        }
    }

    /// Returns the lines about the job, sorted by time.
    pub fn lines(&self) -> &[&'l LogLine] {
        &self.job_lines
    }

    /// Returns the cause of the job's outcome; a job is late if it has not completed within
    /// `late_ms` of its first log line.
    pub fn diagnose(&self, late_ms: u64) -> JobDiagnosis {
        let log = SampledLog::new(self.all_lines);
        let (Some(first), Some(last)) = (self.job_lines.first(), self.job_lines.last()) else {
            return log.diagnose(self.job);
        };
        match self.diagnose_lines(first, late_ms) {
            JobDiagnosis::Inconclusive(reason) => {
                let context = log.context(first.time_ms, last.time_ms);
                JobDiagnosis::Inconclusive(reason + &context)
            }
            diagnosis => diagnosis,
        }
    }

    fn diagnose_lines(&self, first: &LogLine, late_ms: u64) -> JobDiagnosis {
        if let Some(failed) = self.last_line("job_failed") {
            return self.diagnose_failure(failed);
        }
        if self.last_line("job_cancelled").is_some() {
            return JobDiagnosis::Cancelled;
        }
        if let Some(rejected) = self.last_line("submit_rejected") {
            return JobDiagnosis::Rejected(rejected.field("reason").to_owned());
        }
        // A controller logs `job_seen` when it reads the job from the table.
        if self.last_line("job_seen").is_none() {
            return self.diagnose_refusal();
        }
        match self.last_line("job_complete") {
            Some(complete) if complete.time_ms <= first.time_ms + late_ms => {
                JobDiagnosis::CompletedInTime(complete.time_ms.saturating_sub(first.time_ms))
            }
            _ => self.diagnose_delay(),
        }
    }

    fn last_line(&self, event: &str) -> Option<&'l LogLine> {
        let mut lines = self.job_lines.iter().rev();
        lines.find(|line| line.event == event).copied()
    }

    fn events(&self, event: &'static str) -> impl Iterator<Item = &'l LogLine> + '_ {
        self.job_lines
            .iter()
            .copied()
            .filter(move |line| line.event == event)
    }

    /// Returns why the table did not store a job that no controller has read.
    fn diagnose_refusal(&self) -> JobDiagnosis {
        if let Some(refused) = self.key_refusal() {
            return refused;
        }
        if let Some(hopeless) = self
            .events("submit")
            .find(|line| line.field("outcome") == "Hopeless")
        {
            let wait_ms = hopeless.u64_field("wait_ms").unwrap_or(0);
            let useful_ms = hopeless.u64_field("useful_ms").unwrap_or(0);
            let organisation = hopeless.field("organisation").to_owned();
            return match organisation.is_empty() {
                true => JobDiagnosis::BacklogTooLong { wait_ms, useful_ms },
                false => JobDiagnosis::ShareExceeded {
                    organisation,
                    wait_ms,
                    useful_ms,
                },
            };
        }
        let mut submits = self.events("submit");
        if let Some(refused) = submits.find(|line| line.field("outcome") == "OverRate") {
            return JobDiagnosis::RateExceeded {
                organisation: refused.field("organisation").to_owned(),
                percent: refused.field("percent").to_owned(),
            };
        }
        let unanswered_times = self
            .events("submit")
            .filter_map(|line| line.u64_field("silence_ms"));
        let unanswered_ms = unanswered_times.max();
        let submits: Vec<_> = self.events("submit").collect();
        let (Some(first), Some(last)) = (submits.first(), submits.last()) else {
            return JobDiagnosis::Inconclusive("no submission is logged".to_owned());
        };
        let since_ms = first.time_ms.saturating_sub(MAX_OUTAGE_MS);
        let unreachable_hosts: BTreeSet<_> = self
            .between(since_ms, last.time_ms)
            .filter(|line| line.event == "dependency_lost")
            .map(|line| line.host.as_deref())
            .collect();
        let is_outcome_unknown = last.field("outcome") == "Unknown";
        if unanswered_ms.is_some() || (is_outcome_unknown && !unreachable_hosts.is_empty()) {
            return JobDiagnosis::TableUnreachable {
                hosts: unreachable_hosts.len(),
                unanswered_ms: unanswered_ms.unwrap_or(0),
            };
        }
        // `insert_` events do not name the job, so all those between its submissions count.
        let refusal = self
            .between(first.time_ms, last.time_ms)
            .filter(|line| line.event.starts_with("insert_"))
            .last();
        match refusal {
            Some(refusal) => JobDiagnosis::TableRefused(refusal.field("reason").to_owned()),
            None => JobDiagnosis::Inconclusive(format!(
                "the last submission's outcome was {}",
                last.field("outcome")
            )),
        }
    }

    /// Returns how the last submission's key was refused, or that of any request if no submission is
    /// logged; `None` if it was not refused.
    fn key_refusal(&self) -> Option<JobDiagnosis> {
        let submitted_ms = self.last_line("submit").map(|line| line.time_ms);
        let refused = self.events("key_refused").filter(|line| {
            submitted_ms.is_none_or(|submitted_ms| {
                line.field("action") == "submit" && line.time_ms > submitted_ms
            })
        });
        let refused = refused.last()?;
        let text = |name| refused.field(name).to_owned();
        Some(match refused.field("outcome") {
            "unconfirmed" => JobDiagnosis::KeyUnconfirmed {
                organisation: text("organisation"),
                version: text("version"),
                age_ms: text("age_ms"),
            },
            _ => JobDiagnosis::KeyUnknown(text("version")),
        })
    }

    fn diagnose_failure(&self, failed: &LogLine) -> JobDiagnosis {
        let task = failed.field("task").to_owned();
        if let Some(crashes) = failed.u64_field("crashes") {
            // Earlier holders of the lease have logged the crashes that they have seen.
            let counted = self.events("crash_counted");
            let counted = counted.filter(|line| line.field("task") == task);
            let workers: BTreeSet<_> = counted.map(|line| line.field("worker")).collect();
            let workers: Vec<_> = workers.into_iter().collect();
            return JobDiagnosis::CrashesWorkers {
                task,
                crashes,
                workers: workers.join(","),
            };
        }
        let failures = failed.u64_field("failures").unwrap_or(0);
        let ends = self.events("task_ended");
        let failed_ends =
            ends.filter(|line| line.field("task") == task && line.field("how") == "Failed");
        let workers: BTreeSet<_> = failed_ends.map(|line| line.field("worker")).collect();
        let is_quarantined = |worker: &str| {
            let lines = self.all_lines.iter();
            let mut lines = lines.filter(|line| line.event == "worker_distrusted");
            lines.any(|line| line.field("worker") == worker)
        };
        match workers.first() {
            Some(worker) if workers.len() == 1 && is_quarantined(worker) => {
                JobDiagnosis::WorkerAtFault {
                    task,
                    failures,
                    worker: (*worker).to_owned(),
                }
            }
            Some(_) => JobDiagnosis::JobAtFault {
                task,
                failures,
                workers: workers.len(),
            },
            None => JobDiagnosis::Inconclusive("no failed task run is logged".to_owned()),
        }
    }

    /// Returns the main cause of a delay: a new controller, one that is behind, a limit of the job's
    /// organisation, a shortage of the pool, retried commits, repeated runs of a task, or the run time of the tasks, in this order.
    ///
    /// Repeated runs come first if the wait for the first start took less than half of the time.
    fn diagnose_delay(&self) -> JobDiagnosis {
        let first_line_ms = self.job_lines[0].time_ms;
        let first_start_ms = self.events("task_start").next().map(|line| line.time_ms);
        let last_line_ms = self
            .job_lines
            .last()
            .map_or(first_line_ms, |line| line.time_ms);
        let first_wait_end_ms = first_start_ms.unwrap_or(last_line_ms.max(first_line_ms + 1));
        let waited_ms = first_wait_end_ms - first_line_ms;
        if let Some(restarted) = self.most_restarted_task() {
            if waited_ms * 2 < last_line_ms - first_line_ms {
                return restarted;
            }
        }
        // Later steps wait for free capacity too, so shortages count until the last start.
        let last_wait_end_ms = self
            .events("task_start")
            .last()
            .map_or(first_wait_end_ms, |line| line.time_ms);
        let gained = self
            .between(first_line_ms, first_wait_end_ms)
            .find(|line| line.event == "lease_gained");
        if let Some(gained) = gained {
            return JobDiagnosis::ControllerChanged {
                waited_ms,
                holder: gained.host.clone().unwrap_or_default(),
            };
        }
        if let Some(behind) = self.controller_lag(first_line_ms, last_wait_end_ms) {
            return behind;
        }
        if let Some(limited) = self.organisation_limit(first_line_ms, last_wait_end_ms) {
            return limited;
        }
        if let Some(shortage) = self.pool_shortage(first_line_ms, last_wait_end_ms) {
            return shortage;
        }
        let retried = self
            .between(first_line_ms, last_line_ms)
            .filter(|line| line.event == "commit_retried")
            .count();
        if retried > 0 {
            return JobDiagnosis::CommitsRetried(retried);
        }
        let total_ms = last_line_ms - first_line_ms;
        let execution_ms = self.execution_ms(last_line_ms);
        let ran_throughout = execution_ms * 100 >= total_ms * MIN_EXECUTION_PERCENT;
        let execution_time = ran_throughout.then_some(JobDiagnosis::ExecutionTime {
            execution_ms,
            total_ms,
        });
        self.most_restarted_task()
            .or(execution_time)
            .unwrap_or_else(|| {
                JobDiagnosis::Inconclusive(format!(
                    "its tasks ran for only {execution_ms} of {total_ms} ms"
                ))
            })
    }

    /// Returns the time during which any of the job's tasks ran; overlapping runs count once.
    fn execution_ms(&self, last_line_ms: u64) -> u64 {
        let mut runs: Vec<_> = self
            .events("task_start")
            .map(|start| (start.time_ms, self.end_ms(start).unwrap_or(last_line_ms)))
            .collect();
        runs.sort_unstable();
        let mut covered_ms = 0;
        let mut execution_ms = 0;
        for (start_ms, end_ms) in runs {
            execution_ms += end_ms.saturating_sub(start_ms.max(covered_ms));
            covered_ms = end_ms.max(covered_ms);
        }
        execution_ms
    }

    /// Returns when a run ended: its worker reported the end, or the controller gave it up because
    /// its worker does not list it or is gone; `None` if no end is logged.
    fn end_ms(&self, start: &LogLine) -> Option<u64> {
        let is_end = |line: &&&LogLine| {
            let end_events = ["task_ended", "task_released", "task_orphaned"];
            end_events.contains(&line.event.as_str()) && line.field("task") == start.field("task")
        };
        let mut ends = self.job_lines.iter().filter(is_end);
        let end = ends.find(|line| line.time_ms >= start.time_ms)?;
        Some(end.time_ms)
    }

    /// Returns the largest lag of the controller between the two times, if it was large enough to
    /// delay a job.
    fn controller_lag(&self, from_ms: u64, to_ms: u64) -> Option<JobDiagnosis> {
        let lines = self.between(from_ms, to_ms + LAG_LOG_INTERVAL_MS);
        let lags = lines.filter(|line| line.event == "control_lag");
        let lag_ms = lags.filter_map(|line| line.u64_field("lag_ms")).max()?;
        (lag_ms >= MIN_DELAYING_LAG_MS).then_some(JobDiagnosis::ControllerBehind {
            waited_ms: to_ms - from_ms,
            lag_ms,
        })
    }

    /// Returns the last limit that the job's organisation had reached between the two times. Its rate
    /// delays only jobs that were over it.
    fn organisation_limit(&self, from_ms: u64, to_ms: u64) -> Option<JobDiagnosis> {
        let mut organisations = self.job_lines.iter().map(|line| line.field("organisation"));
        let organisation = organisations.rfind(|organisation| !organisation.is_empty())?;
        let is_over_rate = self.last_line("job_over_rate").is_some();
        // The lines are written at most once per second.
        let lines = self.between(from_ms, to_ms + LIMIT_LOG_INTERVAL_MS);
        let limited = lines.filter(|line| {
            line.event == "organisation_limited"
                && line.field("organisation") == organisation
                && (is_over_rate || line.field("cause") != "rate")
        });
        let limited = limited.last()?;
        let millis = |field| limited.u64_field(field).unwrap_or(0);
        Some(JobDiagnosis::OrganisationLimited {
            waited_ms: to_ms - from_ms,
            organisation: organisation.to_owned(),
            cause: limited.field("cause").to_owned(),
            used_millis: millis("used_millis"),
            share_millis: millis("share_millis"),
            cap_millis: millis("cap_millis"),
        })
    }

    /// Returns the largest capacity shortage of the job's pool between the two times.
    fn pool_shortage(&self, from_ms: u64, to_ms: u64) -> Option<JobDiagnosis> {
        // The pool of a service's workers has the name of the service.
        let pool = self.last_line("job_seen")?.field("service");
        // `pool` events are logged once per second; 1.2 s on either side includes the nearest.
        let lines = self.between(from_ms.saturating_sub(1_200), to_ms + 1_200);
        let largest = lines
            .filter(|line| line.event == "pool" && line.field("name") == pool)
            .filter_map(|line| {
                Some((
                    line.u64_field("room_millis")?,
                    line.u64_field("demand_millis")?,
                ))
            })
            .filter(|(capacity, demand)| demand > capacity)
            .max_by_key(|(capacity, demand)| demand - capacity)?;
        Some(JobDiagnosis::PoolShortage {
            waited_ms: to_ms - from_ms,
            pool: pool.to_owned(),
            capacity_millis: largest.0,
            demand_millis: largest.1,
        })
    }

    /// Returns the task with the most runs and the reason for them, if any task ran more than once.
    fn most_restarted_task(&self) -> Option<JobDiagnosis> {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for line in self.events("task_start") {
            let run = line.u64_field("run").unwrap_or(1);
            let max_run = runs.entry(line.field("task")).or_default();
            *max_run = run.max(*max_run);
        }
        let (task, runs) = runs.into_iter().max_by_key(|(_, runs)| *runs)?;
        if runs < 2 {
            return None;
        }
        let task_lines = self
            .job_lines
            .iter()
            .filter(|line| line.field("task") == task);
        let reason = task_lines
            .filter(|line| !line.field("reason").is_empty() || line.field("how") == "Failed")
            .map(|line| match line.field("reason") {
                "" => "the task failed".to_owned(),
                reason => reason.to_owned(),
            })
            .next_back();
        Some(JobDiagnosis::TaskRestarted {
            task: task.to_owned(),
            runs,
            reason: reason.unwrap_or_else(|| self.last_unsuccessful_end(task)),
        })
    }

    fn last_unsuccessful_end(&self, task: &str) -> String {
        let ends = self.events("task_ended");
        let ends = ends.filter(|line| line.field("task") == task && line.field("how") != "Done");
        let how = ends.map(|line| line.field("how").to_lowercase()).last();
        how.unwrap_or_else(|| "no reason is logged".to_owned())
    }

    /// Returns all lines from `from_ms` to `to_ms`, both included.
    fn between(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &'l LogLine> {
        let lines = self.all_lines.iter();
        lines.filter(move |line| (from_ms..=to_ms).contains(&line.time_ms))
    }
}
