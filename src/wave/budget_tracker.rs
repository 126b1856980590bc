//! Availability budgets and the unavailability charged to them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;
use crate::version::Service;
use crate::version::ServiceText;

/// Key prefix of budget rows.
pub const BUDGET_PREFIX: &str = "budget/";

const HOUR_MS: u64 = 3_600_000;
/// A quarter of each budget is withheld from planned steps, for unplanned loss.
const UNPLANNED_LOSS_DIVISOR: u32 = 4;

/// The row of one service's budget.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceBudget {
    /// Charged unavailability in milliseconds, by number of hours since the Unix epoch.
    pub hours: BTreeMap<u64, u64>,
    /// End of the last charged interval, in milliseconds since the Unix epoch; 0 while the service
    /// has no shortfall.
    pub charged_until_ms: u64,
}

impl ServiceBudget {
    /// Returns the key of a service's row.
    pub fn row_key(service: &ServiceId) -> String {
        format!("{BUDGET_PREFIX}{service}")
    }

    /// Charges the time since the last charge, weighted by `shortfall` (0 to 1), and drops hours
    /// before `window`. The first call after a time without shortfall charges nothing.
    pub fn charge_until(&mut self, now_ms: u64, shortfall: f64, window: Duration) {
        let since = match self.charged_until_ms {
            0 => now_ms,
            until => until,
        };
        let lost = now_ms.saturating_sub(since) as f64 * shortfall;
        if lost >= 1.0 {
            *self.hours.entry(now_ms / HOUR_MS).or_default() += lost as u64;
        }
        self.charged_until_ms = now_ms.max(self.charged_until_ms);
        let oldest = now_ms.saturating_sub(window.as_millis() as u64) / HOUR_MS;
        self.hours.retain(|hour, _| *hour >= oldest);
    }

    /// Returns the unspent budget of the window that ends at `now_ms`.
    pub fn left(&self, service: &Service, now_ms: u64) -> Duration {
        let window_ms = service.window.as_millis() as u64;
        let oldest = now_ms.saturating_sub(window_ms) / HOUR_MS;
        let charged = self.hours.range(oldest..).map(|(_, lost)| lost).sum();
        let allowance = service.availability.allowance(service.window);
        allowance.saturating_sub(Duration::from_millis(charged))
    }
}

/// The unspent budget of each service, and the part withheld for unplanned loss.
#[derive(Clone, Debug, Default)]
pub struct BudgetTracker {
    left: BTreeMap<ServiceId, Duration>,
    withheld: BTreeMap<ServiceId, Duration>,
}

impl BudgetTracker {
    /// Creates a tracker of budgets with nothing charged.
    pub fn full(text: &ServiceText) -> Self {
        Self::from_rows(text, &BTreeMap::new(), 0)
    }

    /// Creates a tracker from the stored budget rows.
    pub fn from_rows(
        text: &ServiceText,
        rows: &BTreeMap<ServiceId, ServiceBudget>,
        now_ms: u64,
    ) -> Self {
        let left = text.services.values().map(|service| {
            let row = rows.get(&service.id).cloned().unwrap_or_default();
            (service.id.clone(), row.left(service, now_ms))
        });
        let withheld = text.services.values().map(|service| {
            let allowance = service.availability.allowance(service.window);
            (service.id.clone(), allowance / UNPLANNED_LOSS_DIVISOR)
        });
        Self {
            left: left.collect(),
            withheld: withheld.collect(),
        }
    }

    /// Returns how much of a service's budget planned steps may spend: the unspent budget without
    /// the part withheld for unplanned loss.
    pub fn spendable(&self, service: &ServiceId) -> Duration {
        let withheld = self.withheld.get(service).copied().unwrap_or_default();
        self.left(service).saturating_sub(withheld)
    }

    /// Returns the unspent budget; zero for an unknown service.
    pub fn left(&self, service: &ServiceId) -> Duration {
        self.left.get(service).copied().unwrap_or_default()
    }

    /// Subtracts lost time from a service's budget, not below zero.
    pub fn charge(&mut self, service: &ServiceId, lost: Duration) {
        if let Some(left) = self.left.get_mut(service) {
            *left = left.saturating_sub(lost);
        }
    }
}
