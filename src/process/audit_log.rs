//! Changes that leave a row in the audit trail.

use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use monoio::time::Instant;
use rand::Rng;

use crate::error::Result;
use crate::id::Revision;
use crate::provider::audit_key;
use crate::provider::transact_once;
use crate::provider::AuditRecord;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// How long a change may take to be settled with the platform.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Returns the milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Returns a name that no other change or attempt has.
pub fn new_token() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

/// What a change is, for its audit row.
#[derive(Clone, Debug, Default)]
pub struct AuditEvent {
    /// Who asked for it.
    pub who: String,
    /// The change, such as `text apply`.
    pub action: &'static str,
    /// What it is made to.
    pub subject: String,
    /// The state before.
    pub before: String,
    /// The state after.
    pub after: String,
    /// The revision of the service text in force.
    pub text_revision: Revision,
    /// The epoch of the role lease; 0 for an operator's change.
    pub lease_epoch: u64,
}

/// Commits changes together with their audit rows.
pub struct AuditLog<P> {
    platform: Rc<P>,
}

impl<P: TableService> AuditLog<P> {
    /// Creates a log in the platform's table.
    pub fn new(platform: Rc<P>) -> Self {
        Self { platform }
    }

    /// Commits a change and its audit row exactly once.
    ///
    /// A change that came too late gets an audit row as refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent; the change may then have
    /// taken effect, and its audit row says so.
    pub async fn commit(
        &self,
        transaction: Transaction,
        note: AuditEvent,
    ) -> Result<TransactionOutcome> {
        let outcome = self.commit_retryable(transaction, note.clone()).await?;
        if let TransactionOutcome::Conflict(_) = outcome {
            self.record_refusal(note, "refused: another change came first")
                .await;
        }
        Ok(outcome)
    }

    /// Commits a change that is tried again by itself when another came first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent.
    pub async fn commit_retryable(
        &self,
        transaction: Transaction,
        note: AuditEvent,
    ) -> Result<TransactionOutcome> {
        let at_ms = now_ms();
        let receipt = audit_key(at_ms, &new_token());
        let record = record_of(&note, at_ms, "accepted");
        let transaction = transaction.with_write(&receipt, record);
        let deadline = Instant::now() + SETTLE_TIME;
        transact_once(self.platform.as_ref(), &transaction, &receipt, deadline).await
    }

    /// Writes the audit row of a change that was refused before it was tried.
    pub async fn record_refusal(&self, note: AuditEvent, reason: &str) {
        let at_ms = now_ms();
        let key = audit_key(at_ms, &new_token());
        let record = record_of(&note, at_ms, reason);
        let transaction = Transaction::new().with_write(&key, record);
        // The refusal stands whether or not its row can be written.
        let _ = self.platform.transact(&transaction).await;
    }
}

fn record_of(note: &AuditEvent, at_ms: u64, outcome: &str) -> serde_json::Value {
    let record = AuditRecord {
        at_ms,
        who: note.who.clone(),
        action: note.action.to_owned(),
        subject: note.subject.clone(),
        before: note.before.clone(),
        after: note.after.clone(),
        outcome: outcome.to_owned(),
        text_revision: note.text_revision,
        lease_epoch: note.lease_epoch,
    };
    serde_json::to_value(record).unwrap_or_default()
}
