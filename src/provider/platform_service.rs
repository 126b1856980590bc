//! Traits for the services of a platform.

use std::future::Future;

use bytes::Bytes;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::provider::HostChanges;
use crate::provider::RebootCommand;
use crate::provider::RowCheck;
use crate::provider::TableRow;
use crate::provider::TaskChanges;
use crate::provider::TaskCommand;
use crate::provider::TaskLease;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// The platform's transactional key-value table.
///
/// A call that fails with [`Error::PlatformSilent`](crate::error::Error::PlatformSilent)
/// may have taken effect.
pub trait TableService {
    /// Returns the time on the table's steady clock, in ms, if its answers tell it.
    fn clock_ms(&self) -> Option<u64> {
        None
    }

    /// Commits a transaction if all its checks hold.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome>>;

    /// Reads the rows of `keys`; rows that do not exist are left out.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<TableRow>>>;

    /// Reads the revisions of `keys`; rows that do not exist are left out.
    fn revisions(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<RowCheck>>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater
    /// than `after`, in key order. An empty `after` starts at the first key.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>>>;
}

/// The platform's object store.
pub trait ObjectService {
    /// Stores an object, replacing an earlier one of the same name.
    fn put_object(&self, name: &str, content: Bytes) -> impl Future<Output = Result<()>>;

    /// Reads an object; `None` if it does not exist.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>>>;
}

/// The platform's host list and restarts of hosts.
pub trait HostService {
    /// Reads the hosts that changed after `since`; the list may be out of date.
    fn changed_hosts(&self, since: Revision) -> impl Future<Output = Result<HostChanges>>;

    /// Requests a restart; repeating the command has no further effect.
    fn reboot(&self, host: &HostId, command: &RebootCommand) -> impl Future<Output = Result<()>>;
}

/// The platform's tasks on workers.
pub trait WorkerService {
    /// Sends commands for tasks; repeating a command has no further effect.
    fn send_task_commands(&self, commands: &[TaskCommand]) -> impl Future<Output = Result<()>>;

    /// Reads the tasks that changed after `since`.
    fn changed_tasks(&self, since: Revision) -> impl Future<Output = Result<TaskChanges>>;

    /// Acquires or renews a lease on tasks.
    fn renew_task_lease(&self, lease: &TaskLease) -> impl Future<Output = Result<()>>;
}
