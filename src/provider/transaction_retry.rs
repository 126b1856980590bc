//! Transactions whose answer may be lost.

use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Commits a transaction exactly once, although answers may be lost.
///
/// `receipt` is the key of a row that only this transaction writes. After a
/// silence the transaction is sent again; a conflict then means either that
/// the first one took effect, which the receipt shows, or a real conflict.
///
/// # Errors
///
/// Returns [`Error::PlatformUnavailable`] when nothing is settled by `deadline`; the
/// transaction may then have taken effect or may yet do so.
pub async fn transact_once<T: TableService>(
    table: &T,
    transaction: &Transaction,
    receipt: &str,
    deadline: Instant,
) -> Result<TransactionOutcome> {
    let mut silent_before = false;
    loop {
        match table.transact(transaction).await {
            Ok(TransactionOutcome::Conflict(_)) if silent_before => {
                let rows = table.read(&[receipt]).await;
                match rows {
                    Ok(rows) => return Ok(settled(transaction, &rows)),
                    Err(error) if Instant::now() >= deadline => return Err(error),
                    Err(_) => {}
                }
            }
            Ok(outcome) => return Ok(outcome),
            Err(Error::PlatformUnavailable(reason)) if Instant::now() >= deadline => {
                return Err(Error::PlatformUnavailable(reason));
            }
            Err(Error::PlatformUnavailable(_)) => silent_before = true,
            Err(error) => return Err(error),
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn settled(transaction: &Transaction, rows: &[crate::provider::TableRow]) -> TransactionOutcome {
    match rows.first() {
        Some(row) => TransactionOutcome::Committed(row.revision),
        None => TransactionOutcome::Conflict(transaction.checks.clone()),
    }
}
