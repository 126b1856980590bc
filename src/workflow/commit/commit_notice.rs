//! The notice of a commit that has succeeded.

use tokio::sync::oneshot;

/// A channel to notify once a commit has succeeded.
pub(crate) struct CommitNotice {
    pub(crate) sender: oneshot::Sender<()>,
    /// Keys of rows without which it isn't notified.
    pub(crate) keys: Vec<String>,
}
