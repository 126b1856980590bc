//! Snapshot of the rows and facts that one pass of the wave controller uses.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::Result;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::process::now_ms;
use crate::process::PeerState;
use crate::process::Placement;
use crate::provider::TableService;
use crate::version::FactKind;
use crate::version::ServiceText;
use crate::wave::BudgetTracker;
use crate::wave::FleetView;
use crate::wave::ServiceBudget;
use crate::wave::BUDGET_PREFIX;

const ROW_LIMIT: usize = 1_000;

/// Input of one pass, with the revisions that its transactions check.
pub(super) struct ControlView {
    pub(super) text: Arc<ServiceText>,
    pub(super) placement: Placement,
    pub(super) placement_revision: Revision,
    pub(super) members_revision: Revision,
    pub(super) fleet: FleetView,
    pub(super) budgets: BTreeMap<ServiceId, (Revision, ServiceBudget)>,
}

impl ControlView {
    /// Returns the unspent budgets at the current time.
    pub(super) fn budget_tracker(&self) -> BudgetTracker {
        let rows = self
            .budgets
            .iter()
            .map(|(service, (_, row))| (service.clone(), row.clone()))
            .collect();
        BudgetTracker::from_rows(&self.text, &rows, now_ms())
    }

    /// Reads the budget rows, and takes the other parts from this process's copies of the facts.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub(super) async fn read<P: TableService>(
        platform: &P,
        state: &PeerState,
        text: Arc<ServiceText>,
    ) -> Result<Self> {
        let fact = state.facts.get(FactKind::Placement);
        let placement = Placement::from_fact(&fact);
        let fleet = FleetView::from_facts(&text, &placement, &state.hosts());
        let rows = platform.scan(BUDGET_PREFIX, "", ROW_LIMIT).await?;
        let budgets = rows.into_iter().filter_map(|row| {
            let service = row.key.strip_prefix(BUDGET_PREFIX)?.parse().ok()?;
            let budget = serde_json::from_value(row.value).ok()?;
            Some((service, (row.revision, budget)))
        });
        Ok(Self {
            text,
            placement,
            placement_revision: fact.revision,
            members_revision: state.facts.get(FactKind::Members).revision,
            fleet,
            budgets: budgets.collect(),
        })
    }
}
