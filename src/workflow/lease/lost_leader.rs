//! Finds out what is left of earlier holders of the controller's lease when there is no leader row.

use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::commit::committer::PROGRESS_PREFIX;
use crate::workflow::commit::refused_row::lasting_refusal;
use crate::workflow::LeaderRecord;
use crate::workflow::COMMANDS_KEY;
use crate::workflow::LEADER_KEY;

/// Key of the row that is written to learn the table's revision, with the name of the entry host.
const EPOCH_FLOOR_KEY: &str = "control/epoch_floor";

/// Returns the record of the holder before the claim of `claimant`, where there is no leader row: the
/// default one if there was no holder. After a deletion of the row it is one whose epoch no holder
/// exceeded, because each claim of the lease takes a transaction; workers refuse lower epochs. Returns
/// `None` if that is unknown yet, so that the claim has to wait.
pub(crate) async fn find_lost_record<T: TableService>(
    table: &T,
    claimant: &str,
) -> Option<LeaderRecord> {
    let log_error = |error| log::warn!("event=claim_failed reason=\"{error}\"");
    read_lost_record(table, claimant)
        .await
        .map_err(log_error)
        .ok()
}

async fn read_lost_record<T: TableService>(table: &T, claimant: &str) -> Result<LeaderRecord> {
    if !has_traces(table).await? {
        return Ok(LeaderRecord::default());
    }
    let probe = Transaction::new()
        .with_check(LEADER_KEY, Revision::new(0))
        .with_write(EPOCH_FLOOR_KEY, claimant.into());
    let TransactionOutcome::Committed(revision) = table.transact(&probe).await? else {
        return Err(Error::PlatformSilent("another claim was faster".to_owned()));
    };
    log::error!("event=leader_row_lost epoch={revision}");
    Ok(LeaderRecord {
        epoch: revision.get(),
        ..LeaderRecord::default()
    })
}

/// Returns whether the table holds rows that only holders write. Rows that can't be read for good may be
/// such.
async fn has_traces<T: TableService>(table: &T) -> Result<bool> {
    let found = match table.read(&[COMMANDS_KEY]).await {
        Ok(rows) if rows.is_empty() => table.scan(PROGRESS_PREFIX, "", 1).await,
        found => found,
    };
    match found.map_err(lasting_refusal) {
        Ok(rows) => Ok(!rows.is_empty()),
        Err(Ok((status, reason))) => {
            log::error!("event=leader_traces_unreadable status={status} reason={reason:?}");
            Ok(true)
        }
        Err(Err(error)) => Err(error),
    }
}
