//! Follows the platform's feeds of jobs and workers.

mod feed_wait;
pub(crate) mod feed_watcher;

pub use feed_wait::FeedWait;
