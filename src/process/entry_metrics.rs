//! Prometheus metrics of the `zincpier-entry` binary, which places jobs on workers.

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::id::ServiceId;
use crate::process::OrganisationMetrics;

/// Labels of the `outcomes` counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// The kind of decision or call that is counted, such as `submit`.
    pub action: &'static str,
    /// The result of the action.
    pub outcome: String,
}

/// Labels of the `workers` gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WorkerLabels {
    /// How far the workers are trusted, such as `trusted`.
    state: &'static str,
}

/// Labels of the `limited_workers` gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PoolLabels {
    /// The service whose pool it is.
    service: String,
}

/// Labels of the `control_work` gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WorkLabels {
    /// What is counted, such as `starts`.
    kind: &'static str,
}

/// Labels of the `suspect_crashes` gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SuspectLabels {
    /// The task that may crash its workers.
    task: String,
    /// The worker that it is tried on; `none` while it waits.
    worker: String,
}

/// All metrics of an entry host and the registry that encodes them.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    workers: Family<WorkerLabels, Gauge>,
    limited_workers: Family<PoolLabels, Gauge>,
    suspects: Family<SuspectLabels, Gauge>,
    control_work: Family<WorkLabels, Gauge>,
    /// Latency of calls to the table, in seconds.
    pub table_seconds: Histogram,
    /// Latency of commands to workers, in seconds. Lease renewals that wait for the end of a task
    /// are not included.
    pub command_seconds: Histogram,
    /// Latency of answers to callers, in seconds.
    pub answer_seconds: Histogram,
    /// Time from a job's submission to the start of each of its tasks, in seconds.
    pub start_seconds: Histogram,
    /// Epoch of the lease held by this host; 0 if it holds none.
    pub lease_epoch: Gauge,
    /// Version of the configuration in force; 0 before the first.
    pub config_version: Gauge,
    /// Jobs that have not ended, as known to the lease holder; 0 on other hosts.
    pub open_jobs: Gauge,
    /// The memory that jobs hold, in bytes, as known to the lease holder; stays at its last value on other
    /// hosts.
    pub job_bytes: Gauge,
    /// The same once all that is due has begun.
    pub due_job_bytes: Gauge,
    /// How far the controller's work is behind, in ms; stays at its last value on other hosts.
    pub control_lag_ms: Gauge,
    /// Metrics by organisation; without values where the configuration has no organisations.
    pub organisations: OrganisationMetrics,
    /// Workers whose tasks take far longer than expected, as known to the lease holder; 0 on other
    /// hosts.
    pub slow_workers: Gauge,
    /// The longest time for which a long-running task has been without a known run, in ms, as known
    /// to the lease holder; 0 on other hosts.
    pub long_task_wait_ms: Gauge,
    /// Jobs with ready tasks for which their durable rows have no room, as known to the lease holder;
    /// 0 on other hosts.
    pub full_row_jobs: Gauge,
    /// Tasks that may crash their workers and await a trial or are on it, as known to the lease
    /// holder; 0 on other hosts.
    pub suspect_tasks: Gauge,
    /// Jobs that the last placement pass left out after too many that found no worker, as known to the lease
    /// holder; 0 on other hosts.
    pub left_out_jobs: Gauge,
    /// Workers that get no other tasks than those that may crash them, as known to the lease holder; 0 on
    /// other hosts.
    pub trial_workers: Gauge,
    /// Records of cancellations that were answered before their jobs were stored, as known to the lease
    /// holder; 0 on other hosts.
    pub early_cancels: Gauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Creates and registers all metrics with the value zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("zincpier");
        let outcomes = Family::default();
        registry.register("outcomes", "Decisions by outcome", outcomes.clone());
        let workers = Family::default();
        registry.register(
            "workers",
            "Workers by how far they are trusted, on the lease's holder",
            workers.clone(),
        );
        let limited_workers = Family::default();
        registry.register(
            "limited_workers",
            "Workers that distrust limits to few tasks or none, by pool, on the lease's holder",
            limited_workers.clone(),
        );
        let suspects = Family::default();
        registry.register(
            "suspect_crashes",
            "Crashes that tasks on trial or waiting for one may have caused, on the lease's holder",
            suspects.clone(),
        );
        let control_work = Family::default();
        registry.register(
            "control_work",
            "Work of the controller in its last second, on the lease's holder",
            control_work.clone(),
        );
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(exponential_buckets(0.000_5, 2.0, 16));
            registry.register(name, help, histogram.clone());
            histogram
        };
        let table_seconds = histogram("table_seconds", "Calls to the table");
        let command_seconds = histogram("order_seconds", "Orders to workers");
        let answer_seconds = histogram("answer_seconds", "Answers to callers");
        let start_seconds = histogram("start_seconds", "From a job's arrival to its starts");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let lease_epoch = gauge("lease_epoch", "Epoch of the lease held, 0 for none");
        let config_version = gauge("config_version", "Version of the configuration in force");
        let open_jobs = gauge(
            "open_jobs",
            "Jobs that have not ended, on the lease's holder",
        );
        let job_bytes = gauge("job_bytes", "Memory of jobs, on the lease's holder");
        let due_job_bytes = gauge(
            "due_job_bytes",
            "Memory of jobs once all that is due has begun, on the lease's holder",
        );
        let control_lag_ms = gauge(
            "control_lag_ms",
            "Time by which the controller's work is behind",
        );
        let slow_workers = gauge(
            "slow_workers",
            "Workers whose tasks take far longer than expected, on the lease's holder",
        );
        let long_task_wait_ms = gauge(
            "long_task_wait_ms",
            "Longest time that a long-running task has been without a run, on the lease's holder",
        );
        let full_row_jobs = gauge(
            "full_row_jobs",
            "Jobs with ready tasks for which their rows have no room, on the lease's holder",
        );
        let suspect_tasks = gauge(
            "suspect_tasks",
            "Tasks that may crash their workers, on the lease's holder",
        );
        let left_out_jobs = gauge(
            "left_out_jobs",
            "Waiting jobs that the last placement pass did not try, on the lease's holder",
        );
        let trial_workers = gauge(
            "trial_workers",
            "Workers kept for tasks that may crash them, on the lease's holder",
        );
        let early_cancels = gauge(
            "early_cancels",
            "Cancelled ids of which no job is stored, on the lease's holder",
        );
        let organisations = OrganisationMetrics::register(&mut registry);
        Self {
            registry,
            outcomes,
            workers,
            limited_workers,
            suspects,
            control_work,
            table_seconds,
            command_seconds,
            answer_seconds,
            start_seconds,
            lease_epoch,
            config_version,
            open_jobs,
            job_bytes,
            due_job_bytes,
            control_lag_ms,
            organisations,
            slow_workers,
            long_task_wait_ms,
            full_row_jobs,
            suspect_tasks,
            left_out_jobs,
            trial_workers,
            early_cancels,
        }
    }

    /// Increments the counter of an action's outcome.
    pub fn count(&self, action: &'static str, outcome: &str) {
        let labels = OutcomeLabels {
            action,
            outcome: outcome.to_owned(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Adds to the counter of an action's outcome.
    pub fn count_times(&self, action: &'static str, outcome: &str, times: u64) {
        let labels = OutcomeLabels {
            action,
            outcome: outcome.to_owned(),
        };
        self.outcomes.get_or_create(&labels).inc_by(times);
    }

    /// Returns how often an action has had this outcome since the process started.
    pub fn outcome_count(&self, action: &'static str, outcome: &str) -> u64 {
        let labels = OutcomeLabels {
            action,
            outcome: outcome.to_owned(),
        };
        self.outcomes.get_or_create(&labels).get()
    }

    /// Sets the number of workers in a state, as known to the lease holder.
    pub fn set_worker_count(&self, state: &'static str, count: u64) {
        let labels = WorkerLabels { state };
        self.workers.get_or_create(&labels).set(count as i64);
    }

    /// Sets the number of workers of a pool that distrust limits, as known to the lease holder.
    pub fn set_limited_workers(&self, service: &ServiceId, count: u64) {
        let labels = PoolLabels {
            service: service.to_string(),
        };
        self.limited_workers
            .get_or_create(&labels)
            .set(count as i64);
    }

    /// Sets what the lease holder counted of a kind in its last second.
    pub fn set_control_work(&self, kind: &'static str, count: u64) {
        let labels = WorkLabels { kind };
        self.control_work.get_or_create(&labels).set(count as i64);
    }

    /// Forgets the work of a lease holder.
    pub fn clear_control_work(&self) {
        self.control_work.clear();
    }

    /// Forgets the tasks that may crash their workers.
    pub fn clear_suspects(&self) {
        self.suspects.clear();
        self.suspect_tasks.set(0);
        self.trial_workers.set(0);
    }

    /// Sets the number of crashes that a task may have caused. `worker` is the one it is tried on, or
    /// `none`.
    pub fn set_suspect(&self, task: String, worker: String, crashes: u32) {
        let labels = SuspectLabels { task, worker };
        self.suspects.get_or_create(&labels).set(i64::from(crashes));
    }

    /// Records a duration in a histogram, in seconds.
    pub fn observe(histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format; empty if encoding fails.
    pub fn to_text(&self) -> String {
        self.organisations.refresh();
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => {
                log::error!("event=metrics_unreadable reason=\"{error}\"");
                String::new()
            }
        }
    }
}
