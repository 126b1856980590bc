//! Polls the platform for changes of the facts, each of which is one table row, and of the host
//! list.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::time::sleep;
use rand::Rng;

use crate::error::Result;
use crate::process::PeerState;
use crate::provider::HostService;
use crate::provider::RowCheck;
use crate::provider::TableService;
use crate::version::FactKind;
use crate::version::FACT_KINDS;

/// The fraction by which an interval varies, so that entry hosts do not all call the platform at
/// the same time.
const JITTER_FRACTION: f64 = 0.2;

/// Updates the local facts and host list from the platform.
pub(crate) struct FactPoller<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
}

impl<P: HostService + TableService> FactPoller<P> {
    /// Creates a poller that writes what it reads to `state`.
    pub(crate) fn new(platform: Rc<P>, state: Arc<PeerState>) -> Self {
        Self { platform, state }
    }

    /// Compares the revisions of the platform's rows with the local ones and reads newer rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer.
    pub(crate) async fn poll_facts(&self) -> Result<()> {
        let keys = FACT_KINDS.map(FactKind::row_key);
        let remote = self.platform.revisions(&keys).await?;
        let local = self.state.facts.digest();
        let newer = FACT_KINDS
            .iter()
            .filter(|kind| RowCheck::revision_in(&remote, kind.row_key()) > local[kind.index()])
            .map(|kind| kind.row_key())
            .collect::<Vec<_>>();
        if newer.is_empty() {
            return Ok(());
        }
        for row in self.platform.read(&newer).await? {
            let kind = FACT_KINDS.iter().find(|kind| kind.row_key() == row.key);
            if let (Some(kind), Ok(value)) = (kind, serde_json::to_vec(&row.value)) {
                self.state
                    .facts
                    .update_if_newer(*kind, row.revision, &value);
            }
        }
        Ok(())
    }

    /// Reads the changes of the host list since the last read.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer.
    pub(crate) async fn poll_hosts(&self) -> Result<()> {
        let since = self.state.hosts().revision();
        let changes = self.platform.changed_hosts(since).await?;
        self.state.merge_hosts(changes);
        Ok(())
    }
}

/// Sleeps for `time`, lengthened or shortened at random by up to [`JITTER_FRACTION`] of it.
pub(crate) async fn sleep_jittered(time: Duration) {
    let factor = rand::rng().random_range(1.0 - JITTER_FRACTION..1.0 + JITTER_FRACTION);
    sleep(time.mul_f64(factor)).await;
}
