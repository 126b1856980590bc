//! The writing of a controller's steps, fenced by its lease.

use std::rc::Rc;
use std::sync::Arc;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::job::host_jobs_key;
use crate::job::jobs_on;
use crate::job::HostJobs;
use crate::process::AuditLog;
use crate::process::AuditNote;
use crate::process::HostPhase;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::version::FactKind;
use crate::wave::control_view::ControlView;
use crate::wave::held_wave::HeldWave;
use crate::wave::wave_key;
use crate::wave::WaveRecord;

/// Commits the steps of waves and moves under the controller's lease.
///
/// Each step is one transaction that checks the lease's epoch, the member set,
/// the placement and, for a wave, its row; whoever holds the lease next goes
/// on from the rows alone.
pub(super) struct StepWriter<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    audit: Rc<AuditLog<P>>,
    lease: Rc<RoleLease<P>>,
}

impl<P: TableService> StepWriter<P> {
    /// Creates a writer that commits while `lease` is held.
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

    /// Records what a wave waits for, when that has changed.
    pub(super) async fn note_waiting(&self, wave: &HeldWave, reason: String) -> Result<()> {
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

    /// Removes the rows of ended waves.
    pub(super) async fn remove_waves(&self, waves: &[&HeldWave]) -> Result<()> {
        let fenced = self.lease.fence(Transaction::new());
        let transaction = waves.iter().fold(fenced, |transaction, wave| {
            let key = wave_key(&wave.record.id);
            transaction
                .with_check(key.as_str(), wave.revision)
                .with_delete(key)
        });
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Commits a step of a wave together with the placement that it leads to.
    pub(super) async fn commit_step(
        &self,
        wave: &HeldWave,
        view: &ControlView,
        record: WaveRecord,
        placement: Placement,
        action: &'static str,
    ) -> Result<()> {
        let mut note = self.note(action, wave.record.id.to_string());
        note.before = wave.record.summary();
        note.after = record.summary();
        let key = wave_key(&record.id);
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction = self
            .placement_transaction(view, &placement)
            .with_check(key.as_str(), wave.revision)
            .with_write(key, value);
        log::info!(target: "zincpier::wave", "{action}: {} ({})", record.id, note.after);
        self.commit(transaction, &placement, note).await
    }

    /// Commits a placement that no wave's row changes with.
    pub(super) async fn commit_placement(
        &self,
        view: &ControlView,
        placement: &Placement,
        note: AuditNote,
    ) -> Result<()> {
        let transaction = self.placement_transaction(view, placement);
        self.commit(transaction, placement, note).await
    }

    /// Returns the hosts that have no jobs, and the jobs on the others.
    ///
    /// Once a host is closed no job is placed there any more.
    pub(super) async fn split_by_jobs(
        &self,
        hosts: Vec<HostId>,
    ) -> Result<(Vec<HostId>, HostJobs)> {
        if hosts.is_empty() {
            return Ok((hosts, HostJobs::new()));
        }
        let jobs = jobs_on(self.platform.as_ref(), &hosts).await?;
        let free = hosts.into_iter().filter(|host| !jobs.contains_key(host));
        Ok((free.collect(), jobs))
    }

    /// Returns a transaction that replaces the placement under the lease and the member set.
    ///
    /// It fails if a host that is stopped or moved by it has jobs.
    fn placement_transaction(&self, view: &ControlView, placement: &Placement) -> Transaction {
        let value = serde_json::to_value(placement).unwrap_or_default();
        let key = FactKind::Placement.row_key();
        let transaction = self
            .lease
            .fence(Transaction::new())
            .with_check(FactKind::Members.row_key(), view.members_revision)
            .with_check(key, view.placement_revision)
            .with_write(key, value);
        given_up(&view.placement, placement)
            .map(host_jobs_key)
            .fold(transaction, |transaction, key| {
                transaction.with_check(key, Revision::new(0))
            })
    }

    async fn commit(
        &self,
        transaction: Transaction,
        placement: &Placement,
        note: AuditNote,
    ) -> Result<()> {
        let outcome = self.audit.commit_quietly(transaction, note).await?;
        if let TransactionOutcome::Committed(revision) = outcome {
            let value = serde_json::to_vec(placement).unwrap_or_default();
            let facts = &self.state.facts;
            facts.update_if_newer(FactKind::Placement, revision, &value);
        }
        Ok(())
    }

    /// Returns a note of a step for the audit trail.
    pub(super) fn note(&self, action: &'static str, subject: String) -> AuditNote {
        AuditNote {
            who: self.state.identity.entry.to_string(),
            action,
            subject,
            text_revision: self.state.text_in_force(),
            lease_epoch: self.lease.epoch().unwrap_or_default(),
            ..AuditNote::default()
        }
    }
}

/// Returns the hosts that one placement closes and another stops or moves.
fn given_up<'p>(before: &'p Placement, after: &'p Placement) -> impl Iterator<Item = &'p HostId> {
    before.hosts().iter().filter_map(|(host, held)| {
        let then = after.hosts().get(host);
        let stopped = then.is_some_and(|then| then.phase == HostPhase::Restarting);
        let moved = held.moving_to.is_some() && then.is_none_or(|then| then.moving_to.is_none());
        (held.phase == HostPhase::Leaving && (stopped || moved)).then_some(host)
    })
}
