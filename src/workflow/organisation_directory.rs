//! The organisations of one version of the configuration, by id and by API key.

use std::collections::HashMap;

use crate::id::OrganisationId;
use crate::workflow::ApiKey;
use crate::workflow::Organisation;

/// All organisations of a configuration. The index of keys is built once for each version, so that
/// a request's key is looked up in expected constant time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationDirectory {
    organisations: Vec<Organisation>,
    positions: HashMap<OrganisationId, usize>,
    /// The position of the organisation that has a key.
    key_index: HashMap<ApiKey, usize>,
}

impl OrganisationDirectory {
    /// Creates a directory. Of several organisations with the same id or key, the first one counts.
    pub fn new(organisations: Vec<Organisation>) -> Self {
        let mut positions = HashMap::with_capacity(organisations.len());
        let mut key_index = HashMap::new();
        for (position, organisation) in organisations.iter().enumerate() {
            let id = organisation.id.clone();
            let first = *positions.entry(id).or_insert(position);
            if first != position {
                continue;
            }
            for key in &organisation.keys {
                key_index.entry(key.clone()).or_insert(position);
            }
        }
        Self {
            organisations,
            positions,
            key_index,
        }
    }

    /// Returns the organisation that a caller's key belongs to.
    pub fn find_by_key(&self, secret: &str) -> Option<&Organisation> {
        self.organisations.get(*self.key_index.get(secret)?)
    }

    /// Returns the organisation with this id.
    pub fn get(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.get(*self.positions.get(id)?)
    }

    /// Returns the organisation with this id and its position in the order of the configuration.
    pub fn find(&self, id: &OrganisationId) -> Option<(usize, &Organisation)> {
        let position = *self.positions.get(id)?;
        Some((position, self.organisations.get(position)?))
    }

    /// Returns the number of entries, including those whose id an earlier entry has.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns whether no organisation is configured.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Iterates over the organisations in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }
}
