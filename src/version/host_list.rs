//! Local copy of the platform's host list.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::Revision;
use crate::provider::HostChanges;
use crate::version::HostRecord;

/// The platform's hosts as of one revision; a host that was listed once is never removed.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    revision: Revision,
    /// The records, each with the revision of the list at its last change.
    hosts: BTreeMap<HostId, (Revision, HostRecord)>,
}

impl HostList {
    /// Creates an empty list with revision 0, older than any list of the platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last merged changes.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the record of a host; `None` if the platform has not listed it.
    pub fn get(&self, host: &HostId) -> Option<&HostRecord> {
        self.hosts.get(host).map(|(_, record)| record)
    }

    /// Returns the records, sorted by host.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values().map(|(_, record)| record)
    }

    /// Returns the records that changed after `since`, with the revision of the list.
    pub fn changed_since(&self, since: Revision) -> HostChanges {
        HostChanges {
            revision: self.revision,
            hosts: self
                .hosts
                .values()
                .filter(|(changed, _)| *changed > since)
                .map(|(_, record)| record.clone())
                .collect(),
        }
    }

    /// Merges changes and returns whether any record differs.
    ///
    /// Changes are ignored unless their revision is newer than that of the list.
    pub fn merge(&mut self, changes: HostChanges) -> bool {
        if changes.revision <= self.revision {
            return false;
        }
        self.revision = changes.revision;
        let mut differs = false;
        for record in changes.hosts {
            differs |= self.get(&record.id) != Some(&record);
            self.hosts
                .insert(record.id.clone(), (changes.revision, record));
        }
        differs
    }
}
