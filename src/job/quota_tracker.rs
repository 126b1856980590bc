//! Tracks how much of their quotas teams use.

use std::collections::HashMap;

use crate::id::TeamId;
use crate::job::JobSize;
use crate::version::ServiceText;

/// Counts each team's use against its quota.
///
/// A service text without teams sets no quotas. In one with teams, a team that is
/// not listed has a quota of zero and always borrows.
#[derive(Clone, Debug, Default)]
pub struct QuotaTracker {
    quotas: Option<HashMap<TeamId, JobSize>>,
    used: HashMap<TeamId, JobSize>,
}

impl QuotaTracker {
    /// Creates a tracker of a service text's quotas, with nothing in use.
    pub fn new(text: &ServiceText) -> Self {
        let teams = text.teams.values();
        let quotas = teams.map(|team| (team.id.clone(), team.quota));
        Self {
            quotas: (!text.teams.is_empty()).then(|| quotas.collect()),
            used: HashMap::new(),
        }
    }

    /// Adds `size` to the capacity that a team uses, saturating.
    pub fn add(&mut self, team: &TeamId, size: &JobSize) {
        let used = self.used.entry(team.clone()).or_default();
        *used = used.plus(size);
    }

    /// Subtracts `size` from the capacity that a team uses, not below zero.
    pub fn remove(&mut self, team: &TeamId, size: &JobSize) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.minus(size);
        }
    }

    /// Returns whether a team stays within its quota when it uses `extra` in addition.
    pub fn allows(&self, team: &TeamId, extra: &JobSize) -> bool {
        let Some(quotas) = &self.quotas else {
            return true;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        let quota = quotas.get(team).copied().unwrap_or_default();
        used.plus(extra).fits(&quota)
    }

    /// Returns whether a team uses more than its quota.
    pub fn is_borrowing(&self, team: &TeamId) -> bool {
        !self.allows(team, &JobSize::default())
    }
}
