//! The look at the platform's rows and host list, again and again.

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

/// The share of a pause by which it varies, so that entry hosts spread out.
const JITTER: f64 = 0.2;

/// Keeps facts and host list as new as the platform shows them.
pub(crate) struct FactSync<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
}

impl<P: HostService + TableService> FactSync<P> {
    /// Creates a follower of the platform.
    pub(crate) fn new(platform: Rc<P>, state: Arc<PeerState>) -> Self {
        Self { platform, state }
    }

    /// Looks once at the rows, and fetches those that are newer than the ones held.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer.
    pub(crate) async fn look_at_facts(&self) -> Result<()> {
        let keys = FACT_KINDS.map(FactKind::row_key);
        let shown = self.platform.revisions(&keys).await?;
        let held = self.state.facts.digest();
        let newer = FACT_KINDS
            .iter()
            .filter(|kind| RowCheck::revision_in(&shown, kind.row_key()) > held[kind.index()])
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

    /// Looks once at the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer.
    pub(crate) async fn look_at_hosts(&self) -> Result<()> {
        let since = self.state.hosts().revision();
        let changes = self.platform.changed_hosts(since).await?;
        self.state.merge_hosts(changes);
        Ok(())
    }
}

/// Pauses for about `time`.
pub(crate) async fn pause(time: Duration) {
    let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    sleep(time.mul_f64(factor)).await;
}
