//! Limits retries to a fraction of first attempts.

/// The units that one retry costs.
const RETRY_COST_UNITS: u64 = 100;
/// The units that one first attempt earns: retries stay below a tenth of first attempts.
const ATTEMPT_CREDIT_UNITS: u64 = 10;
/// The maximum balance: 100 retries.
const MAX_BALANCE_UNITS: u64 = 100 * RETRY_COST_UNITS;

/// A budget that allows retries in proportion to first attempts.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    balance_units: u64,
}

impl RetryBudget {
    /// Creates a budget with a balance of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the units of one first attempt.
    pub fn deposit(&mut self) {
        self.balance_units = (self.balance_units + ATTEMPT_CREDIT_UNITS).min(MAX_BALANCE_UNITS);
    }

    /// Withdraws the units of one retry; returns `false` if the balance does not cover it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance_units >= RETRY_COST_UNITS;
        if allowed {
            self.balance_units -= RETRY_COST_UNITS;
        }
        allowed
    }
}
