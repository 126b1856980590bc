//! Interface to the platform: its table, object store, hosts and workers.
//!
//! The traits cover every call that zincpier makes to a platform. Tests
//! implement them with in-memory fakes; [`HttpPlatform`] calls a real platform.

mod audit_record;
mod host_changes;
mod http_platform;
mod platform_service;
mod table_clock;
mod table_row;
mod task;
mod transaction;
mod transaction_retry;

pub use audit_record::audit_key;
pub use audit_record::AuditRecord;
pub use audit_record::AUDIT_PREFIX;
pub use host_changes::HostChanges;
pub use host_changes::RebootCommand;
pub use http_platform::HttpPlatform;
pub use platform_service::HostService;
pub use platform_service::ObjectService;
pub use platform_service::TableService;
pub use platform_service::WorkerService;
pub use table_clock::TableClock;
pub use table_row::TableRow;
pub use task::TaskAction;
pub use task::TaskChanges;
pub use task::TaskCommand;
pub use task::TaskLease;
pub use task::TaskReport;
pub use task::TaskStart;
pub use task::TaskState;
pub use transaction::RowCheck;
pub use transaction::RowWrite;
pub use transaction::Transaction;
pub use transaction::TransactionOutcome;
pub use transaction_retry::transact_once;
