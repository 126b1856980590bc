//! Commits changes together with their rows in the audit trail.

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

/// How long a commit whose outcome is unknown is retried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Returns a token that identifies one change or attempt: 64 random bits as 16 hexadecimal
/// digits.
pub fn new_token() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

/// The description of a change in its audit row.
#[derive(Clone, Debug, Default)]
pub struct AuditEvent {
    /// The user or entry host that asked for the change.
    pub who: String,
    /// The kind of change, such as `text apply`.
    pub action: &'static str,
    /// The object that is changed, such as a host or a wave.
    pub subject: String,
    /// A summary of the state before the change.
    pub before: String,
    /// A summary of the state after the change.
    pub after: String,
    /// The revision of the service text in force.
    pub text_revision: Revision,
    /// The epoch of the role lease; 0 for a change by an operator.
    pub lease_epoch: u64,
}

/// Commits changes together with their audit rows.
pub struct AuditLog<P> {
    platform: Rc<P>,
}

impl<P: TableService> AuditLog<P> {
    /// Creates a log that writes to the platform's table.
    pub fn new(platform: Rc<P>) -> Self {
        Self { platform }
    }

    /// Commits a change and its audit row in one transaction, at most once.
    ///
    /// If the change conflicts with an earlier one, an audit row records it as refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer. The change may have taken effect;
    /// its audit row then exists too.
    pub async fn commit(
        &self,
        transaction: Transaction,
        event: AuditEvent,
    ) -> Result<TransactionOutcome> {
        let outcome = self.commit_retryable(transaction, event.clone()).await?;
        if let TransactionOutcome::Conflict(_) = outcome {
            self.record_refusal(event, "refused: another change came first")
                .await;
        }
        Ok(outcome)
    }

    /// Commits a change whose caller retries it after a conflict; a conflict leaves no audit
    /// row.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer. The change may have taken effect;
    /// its audit row then exists too.
    pub async fn commit_retryable(
        &self,
        transaction: Transaction,
        event: AuditEvent,
    ) -> Result<TransactionOutcome> {
        let at_ms = now_ms();
        // The audit row also serves as the receipt: if an attempt gets no answer, the row exists
        // only if the attempt took effect.
        let receipt = audit_key(at_ms, &new_token());
        let record = audit_record(&event, at_ms, "accepted");
        let transaction = transaction.with_write(&receipt, record);
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        transact_once(self.platform.as_ref(), &transaction, &receipt, deadline).await
    }

    /// Writes the audit row of a change that was refused and not committed.
    pub async fn record_refusal(&self, event: AuditEvent, reason: &str) {
        let at_ms = now_ms();
        let key = audit_key(at_ms, &new_token());
        let record = audit_record(&event, at_ms, reason);
        let transaction = Transaction::new().with_write(&key, record);
        // The change stays refused even if its audit row cannot be written.
        let _ = self.platform.transact(&transaction).await;
    }
}

fn audit_record(event: &AuditEvent, at_ms: u64, outcome: &str) -> serde_json::Value {
    let record = AuditRecord {
        at_ms,
        who: event.who.clone(),
        action: event.action.to_owned(),
        subject: event.subject.clone(),
        before: event.before.clone(),
        after: event.after.clone(),
        outcome: outcome.to_owned(),
        text_revision: event.text_revision,
        lease_epoch: event.lease_epoch,
    };
    serde_json::to_value(record).unwrap_or_default()
}
