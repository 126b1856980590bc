//! A bound on retries as a share of requests.

/// The cost of one retry, in parts.
const RETRY_PARTS: u64 = 100;
/// The parts that one request earns, so that retries stay below a tenth of requests.
const EARNED_PARTS: u64 = 10;
/// The most parts that can be saved up.
const SAVED_LIMIT_PARTS: u64 = 100 * RETRY_PARTS;

/// Allows retries in proportion to first attempts.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    parts: u64,
}

impl RetryBudget {
    /// Creates a budget with nothing saved.
    pub fn new() -> Self {
        Self::default()
    }

    /// Earns for a first attempt.
    pub fn deposit(&mut self) {
        self.parts = (self.parts + EARNED_PARTS).min(SAVED_LIMIT_PARTS);
    }

    /// Spends one retry, if the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.parts >= RETRY_PARTS;
        if allowed {
            self.parts -= RETRY_PARTS;
        }
        allowed
    }
}
