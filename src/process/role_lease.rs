//! A role that one entry host holds at a time, with an epoch that fences earlier holders.

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

/// How long a lease holds without a renewal.
const LEASE_TIME: Duration = Duration::from_secs(4);
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_secs(1);

/// The row of a lease; its revision changes with the holder only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct LeaseRow {
    holder: EntryId,
    incarnation: Incarnation,
    epoch: u64,
}

/// What was last seen of the holder's renewals.
#[derive(Clone, Copy, Debug)]
struct SeenRenewal {
    revision: Revision,
    since: Instant,
}

/// Follows one role's lease and holds it when no other entry host does.
///
/// The time of a lease is measured by each process's own clock: a holder that
/// others have seen no renewal of for the lease's time has lost it. What its
/// holder writes carries a check of the lease's row, so that a paused holder's
/// late write fails.
pub struct RoleLease<P> {
    platform: Rc<P>,
    identity: EntryIdentity,
    lease_key: String,
    renewal_key: String,
    seen: RefCell<Option<SeenRenewal>>,
    held: Cell<Option<(Revision, u64)>>,
    renewed: Cell<Instant>,
}

impl<P: TableService> RoleLease<P> {
    /// Creates a follower of the lease of `role`.
    pub fn new(platform: Rc<P>, identity: EntryIdentity, role: &str) -> Self {
        Self {
            platform,
            identity,
            lease_key: format!("lease/{role}"),
            renewal_key: format!("lease/{role}/renewal"),
            seen: RefCell::new(None),
            held: Cell::new(None),
            renewed: Cell::new(Instant::now()),
        }
    }

    /// Returns the epoch, while the lease is held.
    pub fn epoch(&self) -> Option<u64> {
        let (_, epoch) = self.held.get()?;
        let lapsed = self.renewed.get().elapsed() >= LEASE_TIME;
        (!lapsed).then_some(epoch)
    }

    /// Adds the check to a transaction that the lease is still held.
    ///
    /// Without a lease the check can never hold.
    pub fn fence(&self, transaction: Transaction) -> Transaction {
        let never = Revision::new(u64::MAX);
        let revision = self.held.get().map_or(never, |(revision, _)| revision);
        transaction.with_check(self.lease_key.as_str(), revision)
    }

    /// Returns who holds the lease, by the platform's row.
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

    /// Renews the lease, or takes it if its time is over.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn look(&self) -> Result<()> {
        if self.held.get().is_some() {
            return self.renew().await;
        }
        let keys = [self.lease_key.as_str(), self.renewal_key.as_str()];
        let shown = self.platform.revisions(&keys).await?;
        let renewal = RowCheck::revision_in(&shown, &self.renewal_key);
        if self.has_lapsed(renewal, Instant::now()) {
            return self
                .take(RowCheck::revision_in(&shown, &self.lease_key))
                .await;
        }
        Ok(())
    }

    /// Gives the lease up, so that another entry host takes it at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn give_up(&self) -> Result<()> {
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
        if self.renewed.get().elapsed() < RENEWAL {
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
                log::info!(target: "zincpier::lease", "{} was taken over", self.lease_key);
                self.held.set(None);
                self.seen.replace(None);
            }
        }
        Ok(())
    }

    /// Tells whether the renewal's row has not changed for the lease's time.
    fn has_lapsed(&self, renewal: Revision, now: Instant) -> bool {
        let mut seen = self.seen.borrow_mut();
        let since = match *seen {
            Some(seen) if seen.revision == renewal => seen.since,
            _ => {
                *seen = Some(SeenRenewal {
                    revision: renewal,
                    since: now,
                });
                now
            }
        };
        renewal == Revision::new(0) || now - since >= LEASE_TIME
    }

    async fn take(&self, revision: Revision) -> Result<()> {
        let held = self.read_row().await?;
        let row = LeaseRow {
            holder: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            epoch: held.map_or(0, |held| held.epoch) + 1,
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
            log::info!(target: "zincpier::lease", "{} taken with epoch {}", self.lease_key, row.epoch);
            self.held.set(Some((revision, row.epoch)));
            self.renewed.set(sent);
        }
        Ok(())
    }
}
