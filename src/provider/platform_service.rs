//! What zincpier asks of a platform.

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

/// The transactional table.
///
/// A call that fails with [`Error::PlatformUnavailable`](crate::error::Error::PlatformUnavailable)
/// may have taken effect.
pub trait TableService {
    /// Commits a transaction if its checks hold.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome>>;

    /// Reads the rows that exist out of `keys`.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<TableRow>>>;

    /// Returns the revisions of the rows that exist out of `keys`.
    fn revisions(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<RowCheck>>>;

    /// Reads at most `limit` rows whose keys start with `prefix`, in the order
    /// of their keys, from the first key after `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>>>;
}

/// The object store.
pub trait ObjectService {
    /// Stores an object under a name.
    fn put_object(&self, name: &str, content: Bytes) -> impl Future<Output = Result<()>>;

    /// Returns an object, or nothing if there is none of that name.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>>>;
}

/// The hosts.
pub trait HostService {
    /// Returns the hosts that changed after `since`; the list lags.
    fn changed_hosts(&self, since: Revision) -> impl Future<Output = Result<HostChanges>>;

    /// Orders a restart; repeating the order has no further effect.
    fn reboot(&self, host: &HostId, order: &RebootCommand) -> impl Future<Output = Result<()>>;
}

/// The tasks on workers.
pub trait WorkerService {
    /// Carries out orders for tasks; repeating one has no further effect.
    fn send_task_commands(&self, orders: &[TaskCommand]) -> impl Future<Output = Result<()>>;

    /// Returns the tasks that changed after `since`.
    fn changed_tasks(&self, since: Revision) -> impl Future<Output = Result<TaskChanges>>;

    /// Takes a lease on tasks or renews it.
    fn renew_task_lease(&self, lease: &TaskLease) -> impl Future<Output = Result<()>>;
}
