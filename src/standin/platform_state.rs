//! Stored rows, objects and hosts of the simulated platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use bytes::Bytes;

use crate::id::HostId;
use crate::id::Revision;
use crate::provider::HostChanges;
use crate::provider::RowCheck;
use crate::provider::TableRow;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::version::HostList;
use crate::version::HostRecord;
use crate::version::HostState;

/// The table, object store and host list of a simulated platform.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    /// The revision of the last committed transaction.
    revision: u64,
    rows: BTreeMap<String, TableRow>,
    /// The rows that reads return during a freeze; `None` if there is none.
    frozen_rows: Option<BTreeMap<String, TableRow>>,
    pub(super) objects: BTreeMap<String, Bytes>,
    hosts: HostList,
    /// The host list that reads return during a freeze; `None` if there is none.
    frozen_hosts: Option<HostList>,
    reboot_tokens: BTreeSet<String>,
}

impl PlatformState {
    pub(super) fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let conflicts = transaction
            .checks
            .iter()
            .filter_map(|check| self.conflict(check))
            .collect::<Vec<_>>();
        if !conflicts.is_empty() {
            return TransactionOutcome::Conflict(conflicts);
        }
        self.revision += 1;
        let revision = Revision::new(self.revision);
        for write in &transaction.writes {
            match &write.value {
                None => {
                    self.rows.remove(&write.key);
                }
                Some(value) => {
                    let row = TableRow {
                        key: write.key.clone(),
                        revision,
                        value: value.clone(),
                    };
                    self.rows.insert(write.key.clone(), row);
                }
            }
        }
        TransactionOutcome::Committed(revision)
    }

    pub(super) fn read(&self, keys: &[String]) -> Vec<TableRow> {
        let rows = self.visible_rows();
        keys.iter()
            .filter_map(|key| rows.get(key).cloned())
            .collect()
    }

    pub(super) fn revisions(&self, keys: &[String]) -> Vec<RowCheck> {
        let rows = self.visible_rows();
        keys.iter()
            .filter_map(|key| rows.get(key))
            .map(|row| RowCheck {
                key: row.key.clone(),
                revision: row.revision,
            })
            .collect()
    }

    pub(super) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let start = after.max(prefix).to_owned();
        let start = if after.is_empty() {
            Bound::Included(start)
        } else {
            Bound::Excluded(start)
        };
        self.visible_rows()
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Freezes the rows that reads return, or ends the freeze; writes still take effect.
    pub(super) fn set_rows_frozen(&mut self, frozen: bool) {
        self.frozen_rows = frozen.then(|| self.rows.clone());
    }

    /// Freezes the host list that reads return, or ends the freeze; changes still take effect.
    pub(super) fn set_hosts_frozen(&mut self, frozen: bool) {
        self.frozen_hosts = frozen.then(|| self.hosts.clone());
    }

    pub(super) fn put_host(&mut self, record: HostRecord) {
        let revision = Revision::new(self.hosts.revision().get() + 1);
        self.hosts.merge(HostChanges {
            revision,
            hosts: vec![record],
        });
    }

    pub(super) fn host(&self, host: &HostId) -> Option<&HostRecord> {
        self.hosts.get(host)
    }

    /// Returns whether a host is known and up; a leaving host is still up.
    pub(super) fn is_up(&self, host: &HostId) -> bool {
        self.host(host)
            .is_some_and(|record| record.state != HostState::Down)
    }

    /// Changes the state of a host and returns whether it is known; going from down to live counts
    /// as a restart.
    pub(super) fn set_host_state(&mut self, host: &HostId, state: HostState) -> bool {
        let Some(mut record) = self.host(host).cloned() else {
            return false;
        };
        let restarted = record.state == HostState::Down && state == HostState::Live;
        record.boots += u64::from(restarted);
        record.state = state;
        self.put_host(record);
        true
    }

    pub(super) fn changed_hosts(&self, since: Revision) -> HostChanges {
        let visible = self.frozen_hosts.as_ref().unwrap_or(&self.hosts);
        visible.changed_since(since)
    }

    /// Records the token of a restart command and returns whether it is new.
    pub(super) fn record_reboot_token(&mut self, token: &str) -> bool {
        self.reboot_tokens.insert(token.to_owned())
    }

    fn visible_rows(&self) -> &BTreeMap<String, TableRow> {
        self.frozen_rows.as_ref().unwrap_or(&self.rows)
    }

    /// Returns the actual revision of a checked row, if it is not the expected one.
    fn conflict(&self, check: &RowCheck) -> Option<RowCheck> {
        let revision = self
            .rows
            .get(&check.key)
            .map_or(Revision::new(0), |row| row.revision);
        (revision != check.revision).then(|| RowCheck {
            key: check.key.clone(),
            revision,
        })
    }
}
