//! Charges unplanned loss of capacity to availability budgets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Result;
use crate::process::now_ms;
use crate::process::RoleLease;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::wave::control_view::ControlView;
use crate::wave::ServiceBudget;

/// Interval between charges.
const CHARGE_INTERVAL: Duration = Duration::from_secs(5);

/// Writes the charges of unplanned loss to the budget rows.
pub(super) struct LossCharger<P> {
    platform: Rc<P>,
    charged_at: Cell<Option<Instant>>,
}

impl<P: TableService> LossCharger<P> {
    /// Creates a charger whose first charge is due at once.
    pub(super) fn new(platform: Rc<P>) -> Self {
        Self {
            platform,
            charged_at: Cell::new(None),
        }
    }

    /// Charges each service for the time since its last charge, weighted by the share of its
    /// capacity that is missing now. Does nothing until [`CHARGE_INTERVAL`] has passed.
    pub(super) async fn charge(&self, view: &ControlView, lease: &RoleLease<P>) -> Result<()> {
        let due = self
            .charged_at
            .get()
            .is_none_or(|charged: Instant| charged.elapsed() >= CHARGE_INTERVAL);
        if !due {
            return Ok(());
        }
        self.charged_at.set(Some(Instant::now()));
        let shortfalls = view.fleet.shortfalls();
        let mut transaction = lease.fence(Transaction::new());
        let mut charged = false;
        for service in view.text.services.values() {
            let shortfall = shortfalls.get(&service.id).copied().unwrap_or(0.0);
            let stored = view.budgets.get(&service.id);
            let (revision, mut row) = stored.cloned().unwrap_or_default();
            let was_short = row.charged_until_ms > 0;
            if shortfall <= 0.0 && !was_short {
                continue;
            }
            row.charge_until(now_ms(), shortfall, service.window);
            if shortfall <= 0.0 {
                row.charged_until_ms = 0;
            }
            charged = true;
            let key = ServiceBudget::row_key(&service.id);
            let value = serde_json::to_value(&row).unwrap_or_default();
            transaction = transaction
                .with_check(key.as_str(), revision)
                .with_write(key, value);
        }
        if charged {
            self.platform.transact(&transaction).await?;
        }
        Ok(())
    }
}
