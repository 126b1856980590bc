//! Commits the wave controller's steps, fenced by its lease.

use std::rc::Rc;
use std::sync::Arc;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::job::host_jobs_key;
use crate::job::read_host_jobs;
use crate::job::HostJobs;
use crate::process::AuditEvent;
use crate::process::AuditLog;
use crate::process::HostPhase;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::version::FactKind;
use crate::wave::control_view::ControlView;
use crate::wave::stored_wave::StoredWave;
use crate::wave::wave_key;
use crate::wave::WaveRecord;

/// Commits the steps of waves and moves under the controller's lease.
///
/// Each step is one transaction that checks the lease's epoch, the member set, the placement and,
/// for a wave, its row. The next lease holder therefore continues from the rows alone.
pub(super) struct StepWriter<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    audit: Rc<AuditLog<P>>,
    lease: Rc<RoleLease<P>>,
}

impl<P: TableService> StepWriter<P> {
    /// Creates a writer whose transactions are fenced by `lease`.
    pub(super) fn new(
        platform: Rc<P>,
        state: Arc<PeerState>,
        audit: Rc<AuditLog<P>>,
        lease: Rc<RoleLease<P>>,
    ) -> Self {
        Self {
            platform,
            state,
            audit,
            lease,
        }
    }

    /// Writes what a wave waits for, if that has changed.
    pub(super) async fn record_waiting(&self, wave: &StoredWave, reason: String) -> Result<()> {
        if wave.record.waiting_for == reason {
            return Ok(());
        }
        let mut record = wave.record.clone();
        record.waiting_for = reason;
        let key = wave_key(&record.id);
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction = self
            .lease
            .fence(Transaction::new())
            .with_check(key.as_str(), wave.revision)
            .with_write(key, value);
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Deletes the rows of ended waves.
    pub(super) async fn remove_waves(&self, waves: &[&StoredWave]) -> Result<()> {
        let fenced = self.lease.fence(Transaction::new());
        let transaction = waves.iter().fold(fenced, |transaction, wave| {
            let key = wave_key(&wave.record.id);
            transaction
                .with_check(key.as_str(), wave.revision)
                .with_delete(key)
        });
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Commits a wave's new record together with the new placement.
    pub(super) async fn commit_step(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        record: WaveRecord,
        placement: Placement,
        action: &'static str,
    ) -> Result<()> {
        let mut audit_event = self.audit_event(action, wave.record.id.to_string());
        audit_event.before = wave.record.summary();
        audit_event.after = record.summary();
        let key = wave_key(&record.id);
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction = self
            .placement_transaction(view, &placement)
            .with_check(key.as_str(), wave.revision)
            .with_write(key, value);
        log::info!(target: "zincpier::wave", "{action}: {} ({})", record.id, audit_event.after);
        self.commit(transaction, &placement, audit_event).await
    }

    /// Commits a placement that changes no wave's row.
    pub(super) async fn commit_placement(
        &self,
        view: &ControlView,
        placement: &Placement,
        audit_event: AuditEvent,
    ) -> Result<()> {
        let transaction = self.placement_transaction(view, placement);
        self.commit(transaction, placement, audit_event).await
    }

    /// Returns the hosts without jobs, and the jobs on the others.
    ///
    /// No job is placed on a host once it is closed, so a host without jobs gets none later.
    pub(super) async fn split_by_jobs(
        &self,
        hosts: Vec<HostId>,
    ) -> Result<(Vec<HostId>, HostJobs)> {
        if hosts.is_empty() {
            return Ok((hosts, HostJobs::new()));
        }
        let jobs = read_host_jobs(self.platform.as_ref(), &hosts).await?;
        let unoccupied = hosts.into_iter().filter(|host| !jobs.contains_key(host));
        Ok((unoccupied.collect(), jobs))
    }

    /// Returns a transaction that replaces the placement and checks the lease and the member set.
    ///
    /// The transaction fails if a host that it stops or moves has jobs.
    fn placement_transaction(&self, view: &ControlView, placement: &Placement) -> Transaction {
        let value = serde_json::to_value(placement).unwrap_or_default();
        let key = FactKind::Placement.row_key();
        let transaction = self
            .lease
            .fence(Transaction::new())
            .with_check(FactKind::Members.row_key(), view.members_revision)
            .with_check(key, view.placement_revision)
            .with_write(key, value);
        released_hosts(&view.placement, placement)
            .map(host_jobs_key)
            .fold(transaction, |transaction, key| {
                transaction.with_check(key, Revision::new(0))
            })
    }

    /// Commits a transaction and, if it succeeds, updates the local copy of the placement.
    ///
    /// A conflict changes nothing; the next pass plans again from the current rows.
    async fn commit(
        &self,
        transaction: Transaction,
        placement: &Placement,
        audit_event: AuditEvent,
    ) -> Result<()> {
        let outcome = self
            .audit
            .commit_retryable(transaction, audit_event)
            .await?;
        if let TransactionOutcome::Committed(revision) = outcome {
            let value = serde_json::to_vec(placement).unwrap_or_default();
            let facts = &self.state.facts;
            facts.update_if_newer(FactKind::Placement, revision, &value);
        }
        Ok(())
    }

    /// Creates the audit record of a step.
    pub(super) fn audit_event(&self, action: &'static str, subject: String) -> AuditEvent {
        AuditEvent {
            who: self.state.identity.entry.to_string(),
            action,
            subject,
            text_revision: self.state.text_in_force(),
            lease_epoch: self.lease.epoch().unwrap_or_default(),
            ..AuditEvent::default()
        }
    }
}

/// Returns the hosts in phase `Leaving` in `before` that are restarting or moved in `after`.
fn released_hosts<'p>(
    before: &'p Placement,
    after: &'p Placement,
) -> impl Iterator<Item = &'p HostId> {
    before.hosts().iter().filter_map(|(host, host_placement)| {
        let next = after.hosts().get(host);
        let stopped = next.is_some_and(|next| next.phase == HostPhase::Restarting);
        let moved =
            host_placement.moving_to.is_some() && next.is_none_or(|next| next.moving_to.is_none());
        (host_placement.phase == HostPhase::Leaving && (stopped || moved)).then_some(host)
    })
}
