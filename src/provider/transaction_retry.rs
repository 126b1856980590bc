//! Retries of transactions whose response may be lost.

use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// The delay before a transaction without a known outcome is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Commits a transaction exactly once, even if responses are lost.
///
/// `receipt_key` is the key of a row that only this transaction writes. A
/// transaction without a response is sent again. A conflict on a retry is
/// ambiguous: if the receipt row exists, an earlier attempt took effect;
/// otherwise the conflict is real. It then lists the transaction's own checks,
/// with the expected revisions and not the actual ones.
///
/// # Errors
///
/// Returns [`Error::PlatformSilent`] if the outcome is still unknown at `deadline`;
/// the transaction may have taken effect or may still do so.
pub async fn transact_once<T: TableService>(
    table: &T,
    transaction: &Transaction,
    receipt_key: &str,
    deadline: Instant,
) -> Result<TransactionOutcome> {
    let mut outcome_unknown = false;
    loop {
        match table.transact(transaction).await {
            Ok(TransactionOutcome::Conflict(_)) if outcome_unknown => {
                let rows = table.read(&[receipt_key]).await;
                match rows {
                    Ok(rows) => return Ok(resolve_conflict(transaction, &rows)),
                    Err(error) if Instant::now() >= deadline => return Err(error),
                    Err(_) => {}
                }
            }
            Ok(outcome) => return Ok(outcome),
            Err(Error::PlatformSilent(reason)) if Instant::now() >= deadline => {
                return Err(Error::PlatformSilent(reason));
            }
            Err(Error::PlatformSilent(_)) => outcome_unknown = true,
            Err(error) => return Err(error),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Resolves a conflict on a retry; `receipt_rows` is empty if the receipt row does not exist.
fn resolve_conflict(
    transaction: &Transaction,
    receipt_rows: &[crate::provider::TableRow],
) -> TransactionOutcome {
    match receipt_rows.first() {
        Some(row) => TransactionOutcome::Committed(row.revision),
        None => TransactionOutcome::Conflict(transaction.checks.clone()),
    }
}
