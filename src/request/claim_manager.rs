//! Commits claims, stored responses and the release of claims to the platform's table in groups.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use http::Response;
use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use serde_json::Value;
use tokio::sync::Notify;

use crate::error::Error;
use crate::id::Revision;
use crate::provider::ObjectService;
use crate::provider::RowCheck;
use crate::provider::RowWrite;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::request::ClaimKey;
use crate::request::ClaimRow;
use crate::request::ClaimState;
use crate::request::StoredResponse;

/// The maximum number of claims, stored responses and releases in one transaction.
const MAX_GROUP_CHANGES: usize = 128;
/// The length of the queue at which new claims are refused.
const MAX_QUEUED_CHANGES: usize = 4_096;
/// The delay before a group is retried after its commit failed or got no answer.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of consecutive failed commits after which new claims are refused at once, so that
/// callers do not wait for a platform that commits nothing.
const FAILURES_BEFORE_REFUSAL: u32 = 2;
/// The largest response body that is stored in the row itself; larger ones become objects.
const MAX_ROW_BODY_BYTES: usize = 8 * 1024;

/// The result of claiming a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may run; carries the revision of the claim row.
    Granted(Revision),
    /// Another request with the same key holds the claim; carries its row.
    Held(ClaimRow),
    /// The claim cannot be made: the queue is full, commits fail, the deadline passed or the row
    /// that holds the claim is unreadable.
    Unavailable,
}

/// The result of one change to a claim row.
#[derive(Debug)]
enum ChangeOutcome {
    Committed(Revision),
    /// The row has another revision than expected; carries the row, `None` if there is none.
    Conflict(Option<TableRow>),
}

/// A queued write to one claim row.
struct ClaimChange {
    key: String,
    /// The expected revision of the row, 0 if it must not exist.
    revision: Revision,
    /// The new value; `None` deletes the row.
    value: Option<Value>,
    reply: Option<oneshot::Sender<ChangeOutcome>>,
    /// Whether this is a claim. A claim committed after its requester stopped waiting is released.
    is_claim: bool,
    /// Whether a transaction with this change was sent, so that it may be committed.
    sent: bool,
}

/// Queues claims, stored responses and releases, and commits them in groups.
pub struct ClaimManager<P> {
    platform: Rc<P>,
    queue: RefCell<VecDeque<ClaimChange>>,
    queue_changed: Notify,
    /// Consecutive groups whose commit failed or whose outcome is unknown.
    consecutive_failures: Cell<u32>,
    transactions: Cell<u64>,
}

impl<P: ObjectService + TableService> ClaimManager<P> {
    /// Creates a manager without claims; [`run`](Self::run) must be running to commit them.
    pub fn new(platform: Rc<P>) -> Self {
        Self {
            platform,
            queue: RefCell::default(),
            queue_changed: Notify::new(),
            consecutive_failures: Cell::new(0),
            transactions: Cell::new(0),
        }
    }

    /// Returns the number of transactions sent, including retries.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Claims a key, waiting for the commit until `deadline`.
    pub async fn claim(&self, key: &ClaimKey, row: &ClaimRow, deadline: Instant) -> ClaimOutcome {
        let full = self.queue.borrow().len() >= MAX_QUEUED_CHANGES;
        if self.consecutive_failures.get() >= FAILURES_BEFORE_REFUSAL || full {
            return ClaimOutcome::Unavailable;
        }
        let Ok(value) = serde_json::to_value(row) else {
            return ClaimOutcome::Unavailable;
        };
        let (reply, outcome) = oneshot::channel();
        self.push(ClaimChange {
            key: key.row().to_owned(),
            revision: Revision::new(0),
            value: Some(value),
            reply: Some(reply),
            is_claim: true,
            sent: false,
        });
        match timeout_at(deadline, outcome).await {
            Ok(Ok(ChangeOutcome::Committed(revision))) => ClaimOutcome::Granted(revision),
            Ok(Ok(ChangeOutcome::Conflict(Some(held)))) => match serde_json::from_value(held.value)
            {
                Ok(held) => ClaimOutcome::Held(held),
                Err(_) => ClaimOutcome::Unavailable,
            },
            _ => ClaimOutcome::Unavailable,
        }
    }

    /// Queues the response of a claimed request for storage, without waiting for the commit.
    ///
    /// If a large body cannot be stored, the claim stays unfinished and duplicates are refused.
    pub async fn finish(
        &self,
        key: &ClaimKey,
        row: &ClaimRow,
        revision: Revision,
        response: &Response<Bytes>,
    ) {
        let Some(stored) = self.store_body(key, row, response).await else {
            return;
        };
        let row = ClaimRow {
            state: ClaimState::Finished(stored),
            ..row.clone()
        };
        if let Ok(value) = serde_json::to_value(&row) {
            self.push(detached_change(key.row(), revision, Some(value)));
        }
    }

    /// Queues the release of a claim whose request did not run: its row is deleted, so that the key
    /// can be claimed again.
    pub fn release(&self, key: &ClaimKey, revision: Revision) {
        self.push(detached_change(key.row(), revision, None));
    }

    /// Returns the complete response of a finished request, or `None` if its body cannot be read.
    pub async fn read_stored_response(&self, stored: &StoredResponse) -> Option<Response<Bytes>> {
        let body = match (&stored.body, &stored.object) {
            (Some(body), _) => Bytes::copy_from_slice(body.as_bytes()),
            (None, Some(object)) => self.platform.get_object(object).await.ok()??,
            (None, None) => return None,
        };
        Some(stored.to_response(body))
    }

    /// Commits queued changes in groups; never returns.
    pub async fn run(&self) {
        loop {
            let group = self.take_group();
            if group.is_empty() {
                // Accepts claims again: with nothing left to retry, only a new claim can show that
                // the platform commits.
                self.consecutive_failures.set(0);
                self.queue_changed.notified().await;
                continue;
            }
            if let Err(group) = self.commit(group).await {
                self.consecutive_failures
                    .set(self.consecutive_failures.get() + 1);
                self.requeue(group);
                sleep(COMMIT_RETRY_DELAY).await;
                continue;
            }
            self.consecutive_failures.set(0);
        }
    }

    /// Returns whether no change is left in the queue; a group being committed is not counted.
    pub fn is_flushed(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    async fn store_body(
        &self,
        key: &ClaimKey,
        row: &ClaimRow,
        response: &Response<Bytes>,
    ) -> Option<StoredResponse> {
        let mut stored = StoredResponse::from_head(response);
        let text = std::str::from_utf8(response.body()).ok();
        match text.filter(|text| text.len() <= MAX_ROW_BODY_BYTES) {
            Some(text) => stored.body = Some(text.to_owned()),
            None => {
                let name = format!("{key}/{}", row.token);
                let body = response.body().clone();
                self.platform.put_object(&name, body).await.ok()?;
                stored.object = Some(name);
            }
        }
        Some(stored)
    }

    fn push(&self, change: ClaimChange) {
        self.queue.borrow_mut().push_back(change);
        self.queue_changed.notify_one();
    }

    /// Puts changes back at the front of the queue, in their original order.
    fn requeue(&self, group: Vec<ClaimChange>) {
        let mut queue = self.queue.borrow_mut();
        for change in group.into_iter().rev() {
            queue.push_front(change);
        }
    }

    /// Takes the next group of changes, with at most one change per row.
    fn take_group(&self) -> Vec<ClaimChange> {
        let mut queue = self.queue.borrow_mut();
        let mut keys = BTreeSet::new();
        let mut group = Vec::new();
        let mut deferred = VecDeque::new();
        while let Some(change) = queue.pop_front() {
            if change.is_abandoned() {
                continue;
            }
            if group.len() < MAX_GROUP_CHANGES && keys.insert(change.key.clone()) {
                group.push(change);
            } else {
                deferred.push_back(change);
            }
        }
        *queue = deferred;
        group
    }

    /// Commits a group. Changes that conflict are reported to their requesters and left out.
    ///
    /// # Errors
    ///
    /// Returns the changes that were rejected or whose outcome is unknown, to be retried.
    async fn commit(&self, mut group: Vec<ClaimChange>) -> Result<(), Vec<ClaimChange>> {
        while !group.is_empty() {
            group.iter_mut().for_each(|change| change.sent = true);
            self.transactions.set(self.transactions.get() + 1);
            match self.platform.transact(&build_transaction(&group)).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    group
                        .into_iter()
                        .for_each(|change| self.complete_change(change, Ok(revision)));
                    return Ok(());
                }
                Ok(TransactionOutcome::Conflict(conflicts)) => {
                    let Ok(rows) = self.read_rows(&conflicts).await else {
                        return Err(group);
                    };
                    group = self.complete_conflicts(group, &conflicts, rows);
                }
                Err(Error::PlatformSilent(_)) => return Err(group),
                Err(error) => {
                    log::error!(
                        target: "zincpier::claims",
                        "claim transaction rejected, retrying: {error}"
                    );
                    return Err(group);
                }
            }
        }
        Ok(())
    }

    async fn read_rows(
        &self,
        conflicts: &[RowCheck],
    ) -> crate::error::Result<HashMap<String, TableRow>> {
        let keys = conflicts
            .iter()
            .map(|conflict| conflict.key.as_str())
            .collect::<Vec<_>>();
        let rows = self.platform.read(&keys).await?;
        Ok(rows.into_iter().map(|row| (row.key.clone(), row)).collect())
    }

    /// Reports the outcome of the changes that conflict and returns the others.
    ///
    /// If the row already has the value of the change, the change was committed and the
    /// response to its transaction was lost.
    fn complete_conflicts(
        &self,
        group: Vec<ClaimChange>,
        conflicts: &[RowCheck],
        mut rows: HashMap<String, TableRow>,
    ) -> Vec<ClaimChange> {
        let mut remaining = Vec::new();
        for change in group {
            if !conflicts.iter().any(|conflict| conflict.key == change.key) {
                remaining.push(change);
                continue;
            }
            let row = rows.remove(&change.key);
            let outcome = match row {
                Some(row) if Some(&row.value) == change.value.as_ref() => Ok(row.revision),
                row => Err(row),
            };
            self.complete_change(change, outcome);
        }
        remaining
    }

    /// Reports the outcome of a change; releases a claim whose requester no longer waits for it.
    fn complete_change(&self, change: ClaimChange, outcome: Result<Revision, Option<TableRow>>) {
        let key = change.key;
        let reply = match &outcome {
            Ok(revision) => ChangeOutcome::Committed(*revision),
            Err(row) => ChangeOutcome::Conflict(row.clone()),
        };
        let delivered = change
            .reply
            .is_some_and(|sender| sender.send(reply).is_ok());
        if let (true, false, Ok(revision)) = (change.is_claim, delivered, outcome) {
            self.push(detached_change(&key, revision, None));
        }
    }
}

impl ClaimChange {
    /// Returns whether this is a claim that was never sent and whose requester stopped waiting.
    fn is_abandoned(&self) -> bool {
        let receiver_dropped = self
            .reply
            .as_ref()
            .is_some_and(oneshot::Sender::is_canceled);
        self.is_claim && !self.sent && receiver_dropped
    }
}

/// Creates a change whose outcome nobody waits for.
fn detached_change(key: &str, revision: Revision, value: Option<Value>) -> ClaimChange {
    ClaimChange {
        key: key.to_owned(),
        revision,
        value,
        reply: None,
        is_claim: false,
        sent: false,
    }
}

fn build_transaction(group: &[ClaimChange]) -> Transaction {
    Transaction {
        checks: group
            .iter()
            .map(|change| RowCheck {
                key: change.key.clone(),
                revision: change.revision,
            })
            .collect(),
        writes: group
            .iter()
            .map(|change| RowWrite {
                key: change.key.clone(),
                value: change.value.clone(),
            })
            .collect(),
    }
}
