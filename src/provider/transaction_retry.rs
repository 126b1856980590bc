//! Sends a transaction again if its response was lost, without applying it twice.

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

/// Commits a transaction or returns its conflict; retries never apply it a second time.
///
/// `receipt_key` is the key of a row that only this transaction writes. A
/// transaction without a response is sent again. A conflict on a retry is
/// ambiguous: if the receipt row exists, an earlier attempt took effect;
/// otherwise the conflict is real. The returned conflict then lists all checks of
/// the transaction with their expected revisions, not the actual ones.
///
/// # Errors
///
/// Returns [`Error::PlatformSilent`], or the error of reading the receipt row, if the outcome is
/// still unknown at `deadline`; the transaction may have taken effect or may still do so.
/// Returns any other error of the transaction at once.
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
