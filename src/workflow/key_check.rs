//! Decides whether a caller's API key is accepted, from the held configuration and its age.

use crate::id::OrganisationId;
use crate::workflow::CallerScope;
use crate::workflow::FleetConfig;
use crate::workflow::QueueConfig;

/// The part of a time limit that this host may let pass, in percent. Its clock may run up to 2%
/// slower than that of the one who checks the limit.
const CLOCK_MARGIN_PERCENT: u64 = 98;

/// The age of the configuration, in ms, up to which an unknown key is refused for good. Other
/// answers that tell a caller to give up have the same limit (`FleetView::is_table_unreachable`).
const MAX_REFUSAL_AGE_MS: u64 = 1_450;

/// Limits on the age of the configuration that keys are checked against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyLimits {
    /// Time after which a revoked key must not be accepted, in ms; `None` if revocations need only
    /// take effect when they are known.
    pub revocation_ms: Option<u64>,
    /// Time after which no request may be refused because of an older configuration, in ms.
    pub config_ms: u64,
}

impl KeyLimits {
    /// Returns whether a valid key may be accepted from a configuration of this age.
    fn allow_acceptance(&self, age_ms: Option<u64>) -> bool {
        let Some(revocation_ms) = self.revocation_ms else {
            return true;
        };
        // Both times of an age are rounded down, so that the true age may be almost 1 ms more.
        age_ms.is_some_and(|age_ms| age_ms < with_clock_margin(revocation_ms))
    }

    /// Returns whether an unknown key may be refused from a configuration of this age.
    fn allow_refusal(&self, age_ms: Option<u64>) -> bool {
        let max_age_ms = with_clock_margin(self.config_ms).min(MAX_REFUSAL_AGE_MS);
        age_ms.is_some_and(|age_ms| age_ms <= max_age_ms)
    }
}

/// Why a request is not served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// The key is missing or unknown in a configuration that is known to be recent.
    Unauthorized,
    /// The configuration is too old to decide. Contains the organisation that the key belongs to in
    /// it, if any.
    Unconfirmed(Option<OrganisationId>),
}

/// Decides on a request to `queue` with `key`, which has arrived completely. The newest version was
/// known to be `config` up to `age_ms` before the request had arrived; `None` if it never was.
///
/// # Errors
///
/// Returns the refusal if the request must not be served.
pub fn check_key(
    config: &FleetConfig,
    queue: &QueueConfig,
    key: Option<&str>,
    age_ms: Option<u64>,
    limits: &KeyLimits,
) -> Result<CallerScope, KeyRefusal> {
    let Some(organisations) = &config.organisations else {
        return Ok(CallerScope::Everything);
    };
    if queue.is_public {
        return Ok(CallerScope::Public);
    }
    let Some(organisation) = key.and_then(|key| organisations.find_by_key(key)) else {
        return Err(match limits.allow_refusal(age_ms) {
            true => KeyRefusal::Unauthorized,
            false => KeyRefusal::Unconfirmed(None),
        });
    };
    let id = organisation.id.clone();
    match limits.allow_acceptance(age_ms) {
        true => Ok(CallerScope::Organisation(id)),
        false => Err(KeyRefusal::Unconfirmed(Some(id))),
    }
}

fn with_clock_margin(time_ms: u64) -> u64 {
    time_ms.saturating_mul(CLOCK_MARGIN_PERCENT) / 100
}
