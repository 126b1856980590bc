//! Loads the state of the jobs and hosts at the beginning of a term.

use std::collections::BTreeMap;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::TableRow;
use crate::workflow::commit::committer::PROGRESS_PREFIX;
use crate::workflow::feed::feed_watcher::apply_job_row;
use crate::workflow::intake::job_key::parse_job_key;
use crate::workflow::intake::job_key::JOB_TABLE;
use crate::workflow::takeover::packed_progress::PackedProgress;
use crate::workflow::CommandAges;
use crate::workflow::ControllerTerm;
use crate::workflow::FleetPlatform;
use crate::workflow::HostCommands;
use crate::workflow::RowLimit;
use crate::workflow::StateReader;
use crate::workflow::COMMANDS_KEY;

/// Delay before a failed read of the state is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which a new holder tries to read the ages of its predecessor's commands. Without them it
/// has to wait for about as long before it commands hosts, while jobs go on.
const COMMAND_AGES_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads what earlier holders stored and adds it to a term.
pub(crate) struct StateLoader<'a, P> {
    platform: &'a P,
    term: &'a ControllerTerm,
    row_limit: RowLimit,
}

impl<'a, P: FleetPlatform> StateLoader<'a, P> {
    pub(crate) fn new(platform: &'a P, term: &'a ControllerTerm, row_limit: RowLimit) -> Self {
        Self {
            platform,
            term,
            row_limit,
        }
    }

    /// Loads everything. Returns the revision from which to watch submissions.
    pub(crate) async fn load(&self) -> Revision {
        let ages = self.load_command_ages(self.term.epoch == 1).await;
        for (host, age_ms) in ages.iter().flatten() {
            let mut engine = self.term.engine.borrow_mut();
            engine.inherit_order(host, *age_ms, boot_ms());
        }
        let commands = HostCommands::new(ages.as_ref(), boot_ms());
        let commands = commands.with_row_limit(self.row_limit);
        *self.term.host_commands.borrow_mut() = commands;
        self.load_jobs().await
    }

    /// Reads the ages of the latest commands to hosts. Returns `None` if they are unknown: the last
    /// holder wrote no ages, or the row is unreadable or can't be read for a while. In the very first
    /// term there is no predecessor, so a missing row means that no host was commanded.
    async fn load_command_ages(&self, is_first_term: bool) -> Option<CommandAges> {
        let deadline = Instant::now() + COMMAND_AGES_TIMEOUT;
        while Instant::now() < deadline {
            match self.platform.read(&[COMMANDS_KEY]).await {
                Ok(rows) => {
                    let Some(row) = rows.into_iter().next() else {
                        return is_first_term.then(CommandAges::new);
                    };
                    let ages = serde_json::from_value(row.value);
                    let log_error = |error| {
                        log::error!("event=command_ages_unknown reason=\"{error}\"");
                    };
                    return ages.map_err(log_error).ok();
                }
                Err(error) => {
                    log::warn!("event=load_retried prefix={COMMANDS_KEY} reason=\"{error}\"")
                }
            }
            sleep(LOAD_RETRY_DELAY).await;
        }
        log::error!(
            "event=command_ages_unknown reason=\"no answer within {COMMAND_AGES_TIMEOUT:?}\""
        );
        None
    }

    /// Loads all jobs and their progress. Returns the revision from which to watch for changes.
    ///
    /// Progress is written only by commits that check the lease, so it doesn't change while this
    /// entry host loads. With the progress at hand, jobs are applied as their pages arrive.
    async fn load_jobs(&self) -> Revision {
        let term = self.term;
        let started_ms = boot_ms();
        let mut reader = StateReader::new(self.platform);
        let mut progress = BTreeMap::new();
        let add_progress = |row: TableRow| {
            let id = row.key[PROGRESS_PREFIX.len()..].to_owned();
            progress.insert(id, PackedProgress::new(row.value));
        };
        reader.read_table(PROGRESS_PREFIX, add_progress).await;
        // A cancellation can only be applied to a known job, so submissions come first.
        let mut cancels = Vec::new();
        let add_job = |row: TableRow| match parse_job_key(&row.key) {
            Some((_, true)) => cancels.push(row),
            _ => {
                let id = row.key.rsplit('/').next().unwrap_or_default();
                let progress = progress.remove(id).map(PackedProgress::into_row);
                let table_ms = self.platform.clock_ms();
                let mut engine = term.engine.borrow_mut();
                apply_job_row(&mut engine, &row, progress.as_ref(), table_ms);
            }
        };
        let read_ms = boot_ms();
        let revision = reader.read_table(JOB_TABLE, add_job).await;
        term.record_submissions(read_ms);
        let table_ms = self.platform.clock_ms();
        let mut engine = term.engine.borrow_mut();
        for row in &cancels {
            apply_job_row(&mut engine, row, None, table_ms);
        }
        engine.set_leftover_progress(progress.keys());
        let (jobs, open) = (engine.jobs.len(), engine.open_jobs.len());
        let took_ms = boot_ms().saturating_sub(started_ms);
        log::info!(
            "event=jobs_loaded epoch={} jobs={jobs} open={open} {} took_ms={took_ms}",
            term.epoch,
            reader.totals()
        );
        revision
    }
}
