//! Claims of requests that must run at most once, committed in groups.

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
use crate::request::StoredAnswer;

/// The most claims that one transaction commits.
const GROUP_LIMIT: usize = 128;
/// The most changes of claims that may wait for their transaction.
const QUEUE_LIMIT: usize = 4_096;
/// The pause before a group is sent again to a silent platform.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// The silences in a row after which claims are refused at once.
const SILENCES_TO_REFUSE: u32 = 2;
/// The longest body that is kept in the row itself.
const ROW_BODY_BYTES: usize = 8 * 1024;

/// How a request to claim ended.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may run; the row has this revision.
    Granted(Revision),
    /// Another attempt has the claim.
    Held(ClaimRow),
    /// The platform did not commit it in time.
    Unavailable,
}

/// How a single change of a claim's row ended.
#[derive(Debug)]
enum ChangeOutcome {
    Committed(Revision),
    Conflict(Option<TableRow>),
}

struct ClaimChange {
    key: String,
    revision: Revision,
    value: Option<Value>,
    reply: Option<oneshot::Sender<ChangeOutcome>>,
    /// Whether the change is worthless once nobody waits for it, and must then be undone.
    is_claim: bool,
    sent: bool,
}

/// Commits claims, answers and releases of claims through the platform's table.
pub struct ClaimKeeper<P> {
    platform: Rc<P>,
    queue: RefCell<VecDeque<ClaimChange>>,
    wake: Notify,
    /// The silences in a row.
    silences: Cell<u32>,
    transactions: Cell<u64>,
}

impl<P: ObjectService + TableService> ClaimKeeper<P> {
    /// Creates a keeper that has claimed nothing; [`run`](Self::run) commits its claims.
    pub fn new(platform: Rc<P>) -> Self {
        Self {
            platform,
            queue: RefCell::default(),
            wake: Notify::new(),
            silences: Cell::new(0),
            transactions: Cell::new(0),
        }
    }

    /// Returns the number of transactions sent so far.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Claims a key and waits for the outcome until `deadline`.
    pub async fn claim(&self, key: &ClaimKey, row: &ClaimRow, deadline: Instant) -> ClaimOutcome {
        let full = self.queue.borrow().len() >= QUEUE_LIMIT;
        if self.silences.get() >= SILENCES_TO_REFUSE || full {
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

    /// Records the answer of a claimed request; the platform learns it when it can.
    pub async fn finish(
        &self,
        key: &ClaimKey,
        row: &ClaimRow,
        revision: Revision,
        answer: &Response<Bytes>,
    ) {
        let Some(stored) = self.store_body(key, row, answer).await else {
            return;
        };
        let row = ClaimRow {
            state: ClaimState::Finished(stored),
            ..row.clone()
        };
        if let Ok(value) = serde_json::to_value(&row) {
            self.push(change_of(key.row(), revision, Some(value)));
        }
    }

    /// Gives up the claim of a request that was not sent.
    pub fn release(&self, key: &ClaimKey, revision: Revision) {
        self.push(change_of(key.row(), revision, None));
    }

    /// Returns the whole answer of a finished request, if its body can be had.
    pub async fn stored_answer(&self, stored: &StoredAnswer) -> Option<Response<Bytes>> {
        let body = match (&stored.body, &stored.object) {
            (Some(body), _) => Bytes::copy_from_slice(body.as_bytes()),
            (None, Some(object)) => self.platform.get_object(object).await.ok()??,
            (None, None) => return None,
        };
        Some(stored.to_response(body))
    }

    /// Commits groups of changes for as long as the process lives.
    pub async fn run(&self) {
        loop {
            let group = self.take_group();
            if group.is_empty() {
                self.silences.set(0);
                self.wake.notified().await;
                continue;
            }
            if let Err(group) = self.commit(group).await {
                self.silences.set(self.silences.get() + 1);
                self.put_back(group);
                sleep(SILENCE_PAUSE).await;
                continue;
            }
            self.silences.set(0);
        }
    }

    /// Tells whether every change has been committed.
    pub fn is_settled(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    async fn store_body(
        &self,
        key: &ClaimKey,
        row: &ClaimRow,
        answer: &Response<Bytes>,
    ) -> Option<StoredAnswer> {
        let mut stored = StoredAnswer::from_head(answer);
        let text = std::str::from_utf8(answer.body()).ok();
        match text.filter(|text| text.len() <= ROW_BODY_BYTES) {
            Some(text) => stored.body = Some(text.to_owned()),
            None => {
                let name = format!("{key}/{}", row.token);
                let body = answer.body().clone();
                self.platform.put_object(&name, body).await.ok()?;
                stored.object = Some(name);
            }
        }
        Some(stored)
    }

    fn push(&self, change: ClaimChange) {
        self.queue.borrow_mut().push_back(change);
        self.wake.notify_one();
    }

    /// Puts changes before all others, in their order.
    fn put_back(&self, group: Vec<ClaimChange>) {
        let mut queue = self.queue.borrow_mut();
        for change in group.into_iter().rev() {
            queue.push_front(change);
        }
    }

    /// Takes the next changes, at most one of each row.
    fn take_group(&self) -> Vec<ClaimChange> {
        let mut queue = self.queue.borrow_mut();
        let mut keys = BTreeSet::new();
        let mut group = Vec::new();
        let mut later = VecDeque::new();
        while let Some(change) = queue.pop_front() {
            if change.is_forgotten() {
                continue;
            }
            if group.len() < GROUP_LIMIT && keys.insert(change.key.clone()) {
                group.push(change);
            } else {
                later.push_back(change);
            }
        }
        *queue = later;
        group
    }

    /// Commits a group, leaving out what conflicts.
    ///
    /// # Errors
    ///
    /// Returns the changes whose fate is not known, to be sent again.
    async fn commit(&self, mut group: Vec<ClaimChange>) -> Result<(), Vec<ClaimChange>> {
        while !group.is_empty() {
            group.iter_mut().for_each(|change| change.sent = true);
            self.transactions.set(self.transactions.get() + 1);
            match self.platform.transact(&transaction_of(&group)).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    group
                        .into_iter()
                        .for_each(|change| self.conclude(change, Ok(revision)));
                    return Ok(());
                }
                Ok(TransactionOutcome::Conflict(conflicts)) => {
                    let Ok(rows) = self.read_rows(&conflicts).await else {
                        return Err(group);
                    };
                    group = self.conclude_conflicts(group, &conflicts, rows);
                }
                Err(Error::PlatformSilent(_)) => return Err(group),
                Err(error) => {
                    log::error!(target: "zincpier::claims", "the table refused claims: {error}");
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

    /// Concludes the changes that conflict and returns the others.
    ///
    /// A row that has the very value of the change shows that the change took
    /// effect and that its answer was lost.
    fn conclude_conflicts(
        &self,
        group: Vec<ClaimChange>,
        conflicts: &[RowCheck],
        mut rows: HashMap<String, TableRow>,
    ) -> Vec<ClaimChange> {
        let mut others = Vec::new();
        for change in group {
            if !conflicts.iter().any(|conflict| conflict.key == change.key) {
                others.push(change);
                continue;
            }
            let row = rows.remove(&change.key);
            let outcome = match row {
                Some(row) if Some(&row.value) == change.value.as_ref() => Ok(row.revision),
                row => Err(row),
            };
            self.conclude(change, outcome);
        }
        others
    }

    fn conclude(&self, change: ClaimChange, outcome: Result<Revision, Option<TableRow>>) {
        let key = change.key;
        let reply = match &outcome {
            Ok(revision) => ChangeOutcome::Committed(*revision),
            Err(row) => ChangeOutcome::Conflict(row.clone()),
        };
        let heard = change
            .reply
            .is_some_and(|sender| sender.send(reply).is_ok());
        if let (true, false, Ok(revision)) = (change.is_claim, heard, outcome) {
            self.push(change_of(&key, revision, None));
        }
    }
}

impl ClaimChange {
    /// Tells whether the change was never sent and nobody waits for it any more.
    fn is_forgotten(&self) -> bool {
        let unheard = self
            .reply
            .as_ref()
            .is_some_and(oneshot::Sender::is_canceled);
        self.is_claim && !self.sent && unheard
    }
}

fn change_of(key: &str, revision: Revision, value: Option<Value>) -> ClaimChange {
    ClaimChange {
        key: key.to_owned(),
        revision,
        value,
        reply: None,
        is_claim: false,
        sent: false,
    }
}

fn transaction_of(group: &[ClaimChange]) -> Transaction {
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
