//! Acquires, renews and releases the lease of a role, which one entry host holds at a time.
//! Each acquisition increments the epoch, and writes of earlier holders are rejected.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::error::Result;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::EntryIdentity;
use crate::provider::RowCheck;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// How long a lease lasts without a renewal.
const LEASE_DURATION: Duration = Duration::from_secs(4);
/// The minimum time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The stored lease. Renewals go to a second row, so this row's revision changes only with the
/// holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct LeaseRow {
    holder: EntryId,
    incarnation: Incarnation,
    epoch: u64,
}

/// The last read revision of the holder's renewal row, and when this process first read it.
#[derive(Clone, Copy, Debug)]
struct RenewalObservation {
    revision: Revision,
    since: Instant,
}

/// Polls the lease of one role and acquires it when no other entry host holds it.
///
/// Each process measures the lease by its own clock: the lease expires when its renewal row has
/// not changed for the lease's duration. Every write of the holder checks the revision of the
/// lease row, so that a late write of a holder that was frozen fails.
pub struct RoleLease<P> {
    platform: Rc<P>,
    identity: EntryIdentity,
    lease_key: String,
    renewal_key: String,
    last_renewal: RefCell<Option<RenewalObservation>>,
    /// The revision of the lease row and the epoch, while this entry host holds the lease.
    held: Cell<Option<(Revision, u64)>>,
    /// When the last successful acquisition or renewal was sent.
    renewed: Cell<Instant>,
}

impl<P: TableService> RoleLease<P> {
    /// Creates a client of the lease of `role` that does not hold it.
    pub fn new(platform: Rc<P>, identity: EntryIdentity, role: &str) -> Self {
        Self {
            platform,
            identity,
            lease_key: format!("lease/{role}"),
            renewal_key: format!("lease/{role}/renewal"),
            last_renewal: RefCell::new(None),
            held: Cell::new(None),
            renewed: Cell::new(Instant::now()),
        }
    }

    /// Returns the epoch while this entry host holds the lease and it has not expired.
    pub fn epoch(&self) -> Option<u64> {
        let (_, epoch) = self.held.get()?;
        let expired = self.renewed.get().elapsed() >= LEASE_DURATION;
        (!expired).then_some(epoch)
    }

    /// Adds a check that makes a transaction fail if another entry host has acquired the lease.
    ///
    /// If this entry host does not hold the lease, the check always fails.
    pub fn fence(&self, transaction: Transaction) -> Transaction {
        let never_matching = Revision::new(u64::MAX);
        let revision = self
            .held
            .get()
            .map_or(never_matching, |(revision, _)| revision);
        transaction.with_check(self.lease_key.as_str(), revision)
    }

    /// Reads the holder from the lease row; `None` if the row is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn holder(&self) -> Result<Option<EntryId>> {
        Ok(self.read_row().await?.map(|row| row.holder))
    }

    async fn read_row(&self) -> Result<Option<LeaseRow>> {
        let rows = self.platform.read(&[&self.lease_key]).await?;
        let row = rows.into_iter().next();
        Ok(row.and_then(|row| serde_json::from_value(row.value).ok()))
    }

    /// Renews the lease if it is held and a renewal is due; otherwise acquires it if it has
    /// expired.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn poll(&self) -> Result<()> {
        if self.held.get().is_some() {
            return self.renew().await;
        }
        let keys = [self.lease_key.as_str(), self.renewal_key.as_str()];
        let revisions = self.platform.revisions(&keys).await?;
        let renewal = RowCheck::revision_in(&revisions, &self.renewal_key);
        if self.has_expired(renewal, Instant::now()) {
            return self
                .acquire(RowCheck::revision_in(&revisions, &self.lease_key))
                .await;
        }
        Ok(())
    }

    /// Releases the lease, so that another entry host can acquire it at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn release(&self) -> Result<()> {
        if self.held.get().is_none() {
            return Ok(());
        }
        let transaction = self
            .fence(Transaction::new())
            .with_delete(self.renewal_key.as_str());
        self.held.set(None);
        self.platform.transact(&transaction).await.map(drop)
    }

    async fn renew(&self) -> Result<()> {
        if self.renewed.get().elapsed() < RENEWAL_INTERVAL {
            return Ok(());
        }
        let sent = Instant::now();
        let renewal = json!({ "holder": self.identity.entry });
        let transaction = self
            .fence(Transaction::new())
            .with_write(self.renewal_key.as_str(), renewal);
        match self.platform.transact(&transaction).await? {
            TransactionOutcome::Committed(_) => self.renewed.set(sent),
            TransactionOutcome::Conflict(_) => {
                log::info!(target: "zincpier::lease", "{} was acquired by another entry host", self.lease_key);
                self.held.set(None);
                self.last_renewal.replace(None);
            }
        }
        Ok(())
    }

    /// Returns whether the renewal row is absent or has not changed for the lease's duration.
    fn has_expired(&self, renewal: Revision, now: Instant) -> bool {
        let mut last_renewal = self.last_renewal.borrow_mut();
        let since = match *last_renewal {
            Some(last) if last.revision == renewal => last.since,
            _ => {
                *last_renewal = Some(RenewalObservation {
                    revision: renewal,
                    since: now,
                });
                now
            }
        };
        renewal == Revision::new(0) || now - since >= LEASE_DURATION
    }

    async fn acquire(&self, revision: Revision) -> Result<()> {
        let previous_row = self.read_row().await?;
        let row = LeaseRow {
            holder: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            epoch: previous_row.map_or(0, |row| row.epoch) + 1,
        };
        let sent = Instant::now();
        let value = serde_json::to_value(&row).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(self.lease_key.as_str(), revision)
            .with_write(self.lease_key.as_str(), value)
            .with_write(self.renewal_key.as_str(), json!({ "holder": row.holder }));
        if let TransactionOutcome::Committed(revision) =
            self.platform.transact(&transaction).await?
        {
            log::info!(target: "zincpier::lease", "{} acquired with epoch {}", self.lease_key, row.epoch);
            self.held.set(Some((revision, row.epoch)));
            self.renewed.set(sent);
        }
        Ok(())
    }
}
