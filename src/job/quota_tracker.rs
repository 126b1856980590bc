//! What teams use of their quotas.

use std::collections::HashMap;

use crate::id::TeamId;
use crate::job::JobSize;
use crate::version::ServiceText;

/// Counts what each team uses, against its quota.
///
/// A text without teams sets no quotas; in one with teams, a team that is not
/// listed has none and always borrows.
#[derive(Clone, Debug, Default)]
pub struct QuotaTracker {
    quotas: Option<HashMap<TeamId, JobSize>>,
    used: HashMap<TeamId, JobSize>,
}

impl QuotaTracker {
    /// Creates a book of a text's quotas in which nothing is used.
    pub fn new(text: &ServiceText) -> Self {
        let quotas = text.teams.values();
        let quotas = quotas.map(|team| (team.id.clone(), team.quota));
        Self {
            quotas: (!text.teams.is_empty()).then(|| quotas.collect()),
            used: HashMap::new(),
        }
    }

    /// Adds to what a team uses.
    pub fn add(&mut self, team: &TeamId, size: &JobSize) {
        let used = self.used.entry(team.clone()).or_default();
        *used = used.plus(size);
    }

    /// Takes off what a team uses.
    pub fn remove(&mut self, team: &TeamId, size: &JobSize) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.minus(size);
        }
    }

    /// Tells whether a team stays within its quota with this much more.
    pub fn allows(&self, team: &TeamId, more: &JobSize) -> bool {
        let Some(quotas) = &self.quotas else {
            return true;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        let quota = quotas.get(team).copied().unwrap_or_default();
        used.plus(more).fits(&quota)
    }

    /// Tells whether a team uses more than its quota.
    pub fn is_borrowing(&self, team: &TeamId) -> bool {
        !self.allows(team, &JobSize::default())
    }
}
