//! How long a queue's new jobs wait, as the controller tells all entry hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::OrganisationId;
use crate::id::Revision;
use crate::provider::TableRow;
use crate::workflow::lease::leader_record::read_record;
use crate::workflow::LimitsView;
use crate::workflow::QueueConfig;

/// Age in ms from which a backlog says nothing about the present.
const MAX_AGE_MS: u64 = 1_500;

/// The backlog of one queue.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueBacklog {
    /// Time that the pool needs for the work that waits and is still wanted, in ms.
    pub wait_ms: u64,
    /// Mean duration of the queue's tasks, in ms; 0 while unknown.
    pub task_ms: u64,
}

/// The backlogs of all queues that have one, by the queue's name.
pub type QueueBacklogs = BTreeMap<String, QueueBacklog>;

/// What an entry host knows of the queues' backlogs, with a bound on its age.
#[derive(Debug, Default)]
pub struct BacklogView {
    state: RefCell<ViewState>,
    /// The limits on organisations, from the same reads.
    pub limits: LimitsView,
}

#[derive(Debug, Default)]
struct ViewState {
    /// The revision in the last read of the leader row, and when the read was sent, in ms.
    last_read: Option<(Revision, u64)>,
    backlogs: QueueBacklogs,
    /// The holder has no memory for further jobs.
    is_full: bool,
    /// Time in ms at which the backlogs are known to have been valid.
    valid_ms: Option<u64>,
}

impl BacklogView {
    /// Starts without any knowledge.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a read of the leader row that was sent at `sent_ms`. A row that differs from the one
    /// in the read before was written after that read was sent.
    pub fn record_read(&self, row: Option<&TableRow>, sent_ms: u64) {
        let mut state = self.state.borrow_mut();
        let revision = row.map_or(Revision::new(0), |row| row.revision);
        let previous = state.last_read.replace((revision, sent_ms));
        let Some((_, written_ms)) = previous.filter(|(previous, _)| *previous != revision) else {
            return;
        };
        if let Some(record) = row.and_then(read_record) {
            state.backlogs = record.backlogs;
            state.is_full = record.is_full;
            self.limits.record(record.limits, written_ms);
            state.valid_ms = Some(written_ms);
        }
    }

    /// Records backlogs that this entry host's own controller found at `now_ms`.
    pub fn record_own(&self, backlogs: &QueueBacklogs, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        state.last_read = None;
        state.backlogs.clone_from(backlogs);
        state.valid_ms = Some(now_ms);
    }

    /// Records whether this entry host's own controller has no memory for further jobs.
    pub fn record_own_memory(&self, is_full: bool) {
        self.state.borrow_mut().is_full = is_full;
    }

    /// Returns the backlog that a new job meets and its age in ms, like [`BacklogView::get`]. The jobs of
    /// an organisation wait only for its own work, on its share of the pool.
    pub fn get_for(
        &self,
        queue: &QueueConfig,
        organisation: Option<&OrganisationId>,
        now_ms: u64,
    ) -> Option<(QueueBacklog, u64)> {
        let (backlog, age_ms) = self.get(&queue.name, now_ms)?;
        let Some(organisation) = organisation else {
            return Some((backlog, age_ms));
        };
        let wait_ms = self.limits.wait_ms(organisation, &queue.service, now_ms);
        Some((QueueBacklog { wait_ms, ..backlog }, age_ms))
    }

    /// Returns whether the holder has no memory for further jobs, as far as that is known of the present.
    pub fn is_full(&self, now_ms: u64) -> bool {
        let state = self.state.borrow();
        let valid_ms = state.valid_ms;
        state.is_full && valid_ms.is_some_and(|at_ms| now_ms <= at_ms + MAX_AGE_MS)
    }

    /// Returns a queue's backlog and its age in ms; `None` if there is none or it is too old to
    /// decide by.
    pub fn get(&self, queue: &str, now_ms: u64) -> Option<(QueueBacklog, u64)> {
        let state = self.state.borrow();
        let age_ms = now_ms.saturating_sub(state.valid_ms?);
        let backlog = state.backlogs.get(queue).copied()?;
        (age_ms <= MAX_AGE_MS).then_some((backlog, age_ms))
    }
}
