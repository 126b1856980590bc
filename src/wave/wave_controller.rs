//! The progress of waves and moves, driven by the holder of the controller's lease.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::platform::HostService;
use crate::platform::RebootOrder;
use crate::platform::TableService;
use crate::platform::Transaction;
use crate::platform::TransactionOutcome;
use crate::process::now_ms;
use crate::process::AuditLog;
use crate::process::AuditNote;
use crate::process::HostPhase;
use crate::process::HostPlacement;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::version::FactKind;
use crate::version::HostState;
use crate::wave::control_view::ControlView;
use crate::wave::drain_watch::ask_members;
use crate::wave::loss_charger::LossCharger;
use crate::wave::wave_key;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostMove;
use crate::wave::HostView;
use crate::wave::SparePlanner;
use crate::wave::StepDecision;
use crate::wave::WavePlanner;
use crate::wave::WaveRecord;
use crate::wave::WaveState;
use crate::wave::WAVE_PREFIX;

/// The most waves that are read at a time.
const ROW_LIMIT: usize = 1_000;
/// How long a restarted host may take to come back before its wave is held.
const RESTART_LIMIT: Duration = Duration::from_secs(900);
/// How long a lost host is expected to come back by itself.
const EXPECTED_BACK: Duration = Duration::from_secs(600);
/// The growth of a wave's group after each group that came back.
const GROUP_GROWTH: usize = 2;

/// A wave with the revision of its row.
#[derive(Clone, Debug)]
struct HeldWave {
    record: WaveRecord,
    revision: Revision,
}

/// Moves waves and hosts from step to step by transactions.
///
/// Each step is one transaction that checks the lease's epoch, the wave, the
/// placement and, before a stop, the member set; whoever holds the lease next
/// goes on from the rows alone.
pub struct WaveController<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    audit: Rc<AuditLog<P>>,
    lease: Rc<RoleLease<P>>,
    ordered: RefCell<HashSet<String>>,
    restarted_at: RefCell<HashMap<HostId, Instant>>,
    lost_since: RefCell<HashMap<HostId, Instant>>,
    charger: LossCharger<P>,
}

impl<P: HostService + TableService> WaveController<P> {
    /// Creates a controller that acts while `lease` is held.
    pub fn new(
        platform: Rc<P>,
        state: Arc<PeerState>,
        audit: Rc<AuditLog<P>>,
        lease: Rc<RoleLease<P>>,
    ) -> Self {
        Self {
            charger: LossCharger::new(Rc::clone(&platform)),
            platform,
            state,
            audit,
            lease,
            ordered: RefCell::default(),
            restarted_at: RefCell::default(),
            lost_since: RefCell::default(),
        }
    }

    /// Takes every wave and move one step further, as far as possible now.
    ///
    /// Returns whether any wave or move is under way.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn look(&self) -> Result<bool> {
        let (Some(_), Some(text)) = (self.lease.epoch(), self.state.text()) else {
            return Ok(false);
        };
        let waves = self.read_waves().await?;
        let view = ControlView::read(self.platform.as_ref(), &self.state, text).await?;
        self.charger.charge(&view, &self.lease).await?;
        let mut busy = self.advance_moves(&view).await?;
        for wave in waves.iter().filter(|wave| !wave.record.state.is_over()) {
            busy = true;
            self.advance(wave, &view).await?;
        }
        self.reopen_ended(&waves, &view).await?;
        self.repair(&view, busy).await?;
        Ok(busy)
    }

    async fn read_waves(&self) -> Result<Vec<HeldWave>> {
        let rows = self.platform.scan(WAVE_PREFIX, "", ROW_LIMIT).await?;
        let waves = rows.into_iter().filter_map(|row| {
            let record = serde_json::from_value(row.value).ok()?;
            Some(HeldWave {
                record,
                revision: row.revision,
            })
        });
        Ok(waves.collect())
    }

    async fn advance(&self, wave: &HeldWave, view: &ControlView) -> Result<()> {
        let closed = self.closed_by(wave, view);
        let leaving = in_phase(&closed, HostPhase::Leaving);
        let restarting = in_phase(&closed, HostPhase::Restarting);
        if !leaving.is_empty() {
            return match wave.record.state {
                WaveState::Running => self.stop_drained(wave, view, &leaving).await,
                _ => self.reopen(wave, view, &leaving).await,
            };
        }
        if !restarting.is_empty() {
            return self.follow_restarts(wave, view, &restarting).await;
        }
        if wave.record.state == WaveState::Running {
            return self.decide(wave, view).await;
        }
        Ok(())
    }

    /// Decides the next group and closes its hosts.
    async fn decide(&self, wave: &HeldWave, view: &ControlView) -> Result<()> {
        let book = view.book();
        let mut planner = WavePlanner::new(&view.fleet, &book);
        let host_moves = planner.next_moves(&wave.record);
        if !host_moves.is_empty() {
            return self.begin_moves(view, &host_moves).await;
        }
        let decision = planner.next_step(&wave.record);
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        let action = match decision {
            StepDecision::Wait(reason) => return self.note_waiting(wave, reason).await,
            StepDecision::Hold(reason) => {
                record.state = WaveState::Held(reason);
                "wave hold"
            }
            StepDecision::Finished => {
                record.state = WaveState::Finished;
                record.ended_ms = Some(now_ms());
                record.waiting_for.clear();
                "wave finish"
            }
            StepDecision::Stop(group) => {
                for host in group {
                    record.pending.remove(&host);
                    record.stopped.insert(host.clone());
                    let closed = self.closing(wave, view, &host);
                    placement.set(host, closed);
                }
                record.waiting_for.clear();
                "wave close hosts"
            }
        };
        self.commit_step(wave, view, record, placement, action)
            .await
    }

    fn closing(&self, wave: &HeldWave, view: &ControlView, host: &HostId) -> HostPlacement {
        let hosts = self.state.hosts();
        HostPlacement {
            pool: view.placement.pool_of(host).cloned(),
            moving_to: None,
            pinned: view.placement.is_pinned(host),
            phase: HostPhase::Leaving,
            wave: Some(wave.record.id.clone()),
            boots: hosts.get(host).map_or(0, |record| record.boots),
        }
    }

    /// Marks closed hosts as restarting once every member has acknowledged.
    async fn stop_drained(
        &self,
        wave: &HeldWave,
        view: &ControlView,
        leaving: &[HostId],
    ) -> Result<()> {
        let members = self.state.members();
        let revision = view.placement_revision;
        let answer = ask_members(&self.state, &members, leaving, revision).await;
        if !answer.missing.is_empty() {
            let missing = answer.missing.iter().map(ToString::to_string);
            let missing = missing.collect::<Vec<_>>().join(", ");
            let reason = format!("the acknowledgement of {missing}");
            return self.note_waiting(wave, reason).await;
        }
        if answer.drained.is_empty() {
            return self
                .note_waiting(wave, "requests in flight to finish".to_owned())
                .await;
        }
        let mut placement = view.placement.clone();
        for host in &answer.drained {
            if let Some(held) = view.placement.hosts().get(host) {
                let mut held = held.clone();
                held.phase = HostPhase::Restarting;
                placement.set(host.clone(), held);
            }
        }
        let record = wave.record.clone();
        self.commit_step(wave, view, record, placement, "wave stop hosts")
            .await
    }

    /// Opens hosts that were closed but not stopped when the wave was held.
    async fn reopen(&self, wave: &HeldWave, view: &ControlView, leaving: &[HostId]) -> Result<()> {
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        for host in leaving {
            record.stopped.remove(host);
            record.pending.insert(host.clone());
            open(&mut placement, host);
        }
        self.commit_step(wave, view, record, placement, "wave reopen hosts")
            .await
    }

    /// Orders restarts and opens the hosts that are back.
    async fn follow_restarts(
        &self,
        wave: &HeldWave,
        view: &ControlView,
        restarting: &[HostId],
    ) -> Result<()> {
        let mut back = Vec::new();
        for host in restarting {
            let Some(held) = view.placement.hosts().get(host) else {
                continue;
            };
            self.order_restart(wave, host, held).await;
            if self.is_back(host, held.boots) {
                back.push(host.clone());
            }
        }
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        for host in &back {
            record.stopped.remove(host);
            record.done.insert(host.clone());
            open(&mut placement, host);
            self.restarted_at.borrow_mut().remove(host);
        }
        if record.stopped.is_empty() {
            record.group_limit *= GROUP_GROWTH;
        }
        if !back.is_empty() {
            return self
                .commit_step(wave, view, record, placement, "wave open hosts")
                .await;
        }
        self.hold_if_overdue(wave, view, restarting).await
    }

    /// Orders a restart until the platform has answered once; the token makes it idempotent.
    async fn order_restart(&self, wave: &HeldWave, host: &HostId, held: &HostPlacement) {
        let token = format!("{}/{host}/{}", wave.record.id, held.boots);
        self.note_restart(host);
        if self.ordered.borrow().contains(&token) {
            return;
        }
        let order = RebootOrder {
            token: token.clone(),
        };
        match self.platform.reboot(host, &order).await {
            Ok(()) => {
                self.ordered.borrow_mut().insert(token);
            }
            Err(error) => {
                log::debug!(target: "zincpier::wave", "restart of {host} is ordered again: {error}");
            }
        }
    }

    fn note_restart(&self, host: &HostId) {
        let mut restarted = self.restarted_at.borrow_mut();
        restarted.entry(host.clone()).or_insert_with(Instant::now);
    }

    fn is_back(&self, host: &HostId, boots: u64) -> bool {
        let hosts = self.state.hosts();
        hosts
            .get(host)
            .is_some_and(|record| record.state == HostState::Live && record.boots > boots)
    }

    async fn hold_if_overdue(
        &self,
        wave: &HeldWave,
        view: &ControlView,
        restarting: &[HostId],
    ) -> Result<()> {
        let overdue = restarting.iter().find(|host| {
            let restarted = self.restarted_at.borrow();
            restarted
                .get(*host)
                .is_some_and(|since| since.elapsed() >= RESTART_LIMIT)
        });
        match overdue {
            Some(host) if wave.record.state == WaveState::Running => {
                let mut record = wave.record.clone();
                record.state = WaveState::Held(format!("{host} does not come back"));
                let placement = view.placement.clone();
                self.commit_step(wave, view, record, placement, "wave hold")
                    .await
            }
            _ => {
                let hosts = restarting.iter().map(ToString::to_string);
                let hosts = hosts.collect::<Vec<_>>().join(", ");
                self.note_waiting(wave, format!("{hosts} to come back"))
                    .await
            }
        }
    }

    /// Opens hosts that an ended wave has left closed.
    async fn reopen_ended(&self, waves: &[HeldWave], view: &ControlView) -> Result<()> {
        for wave in waves {
            let closed = self.closed_by(wave, view);
            if !wave.record.state.is_over() || closed.is_empty() {
                continue;
            }
            let leaving = in_phase(&closed, HostPhase::Leaving);
            let restarting = in_phase(&closed, HostPhase::Restarting);
            if !leaving.is_empty() {
                self.reopen(wave, view, &leaving).await?;
            } else {
                self.follow_restarts(wave, view, &restarting).await?;
            }
        }
        Ok(())
    }

    /// Closes hosts so that they can change their pools.
    async fn begin_moves(&self, view: &ControlView, host_moves: &[HostMove]) -> Result<()> {
        let mut placement = view.placement.clone();
        let mut hosts = Vec::new();
        for host_move in host_moves {
            let leaving = HostPlacement {
                pool: view.placement.pool_of(&host_move.host).cloned(),
                moving_to: Some(host_move.to.clone()),
                pinned: false,
                phase: HostPhase::Leaving,
                wave: None,
                boots: 0,
            };
            placement.set(host_move.host.clone(), leaving);
            hosts.push(format!(
                "{} from {} to {}",
                host_move.host, host_move.from, host_move.to
            ));
        }
        let note = self.note("host move", hosts.join(", "));
        log::info!(target: "zincpier::wave", "moves: {}", note.subject);
        let transaction = self.placement_transaction(view, &placement);
        self.commit(transaction, &placement, note).await
    }

    /// Moves hosts to pools that lack some and, while nothing else is under
    /// way, back to the pools that the text lists them for.
    async fn repair(&self, view: &ControlView, busy: bool) -> Result<()> {
        let book = view.book();
        let fleet = self.with_expected(view);
        let mut planner = SparePlanner::new(&fleet, &book);
        let mut host_moves = planner.repairs();
        if !busy {
            host_moves.extend(planner.restores());
        }
        match host_moves.is_empty() {
            true => Ok(()),
            false => self.begin_moves(view, &host_moves).await,
        }
    }

    /// Returns the fleet with the hosts counted that will come back by themselves.
    fn with_expected(&self, view: &ControlView) -> FleetView {
        let fleet = &view.fleet;
        let mut expected = fleet.clone();
        let placed = view.placement.hosts().iter();
        let moving = placed
            .filter(|(_, held)| held.moving_to.is_some())
            .map(|(host, _)| host)
            .collect::<BTreeSet<_>>();
        let mut lost_since = self.lost_since.borrow_mut();
        let lost = |host: &&HostView| host.condition == HostCondition::Lost;
        lost_since.retain(|host, _| fleet.hosts().get(host).is_some_and(|host| lost(&host)));
        for host in fleet.hosts().values() {
            // A host that a wave has closed comes back to its pool.
            if host.condition == HostCondition::Closed && !moving.contains(&host.id) {
                expected.add_arriving(host.pool.clone());
            }
        }
        for host in fleet.hosts().values().filter(lost) {
            let since = lost_since
                .entry(host.id.clone())
                .or_insert_with(Instant::now);
            if since.elapsed() < EXPECTED_BACK {
                expected.add_arriving(host.pool.clone());
            }
        }
        expected
    }

    /// Takes hosts that change their pool from leaving to active in the other pool.
    async fn advance_moves(&self, view: &ControlView) -> Result<bool> {
        let moving = view
            .placement
            .hosts()
            .iter()
            .filter(|(_, held)| held.moving_to.is_some())
            .map(|(host, _)| host.clone())
            .collect::<Vec<_>>();
        if moving.is_empty() {
            return Ok(false);
        }
        let members = self.state.members();
        let revision = view.placement_revision;
        let answer = ask_members(&self.state, &members, &moving, revision).await;
        let mut placement = view.placement.clone();
        for host in &answer.drained {
            let Some(held) = view.placement.hosts().get(host) else {
                continue;
            };
            let first = view
                .text
                .pool_of_hosts()
                .get(host)
                .map(|pool| pool.id.clone());
            let pool = held
                .moving_to
                .clone()
                .filter(|pool| Some(pool) != first.as_ref());
            let moved = HostPlacement {
                pool,
                moving_to: None,
                phase: HostPhase::Active,
                ..held.clone()
            };
            placement.set(host.clone(), moved);
        }
        if !answer.drained.is_empty() {
            let hosts = answer.drained.iter().map(ToString::to_string);
            let note = self.note("host moved", hosts.collect::<Vec<_>>().join(", "));
            let transaction = self.placement_transaction(view, &placement);
            self.commit(transaction, &placement, note).await?;
        }
        Ok(true)
    }

    /// Records what a wave waits for, when that has changed.
    async fn note_waiting(&self, wave: &HeldWave, reason: String) -> Result<()> {
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

    async fn commit_step(
        &self,
        wave: &HeldWave,
        view: &ControlView,
        record: WaveRecord,
        placement: Placement,
        action: &'static str,
    ) -> Result<()> {
        let mut note = self.note(action, wave.record.id.to_string());
        note.before = describe(&wave.record);
        note.after = describe(&record);
        let key = wave_key(&record.id);
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction = self
            .placement_transaction(view, &placement)
            .with_check(key.as_str(), wave.revision)
            .with_write(key, value);
        log::info!(target: "zincpier::wave", "{action}: {} ({})", record.id, note.after);
        self.commit(transaction, &placement, note).await
    }

    /// Returns a transaction that replaces the placement under the lease and the member set.
    fn placement_transaction(&self, view: &ControlView, placement: &Placement) -> Transaction {
        let value = serde_json::to_value(placement).unwrap_or_default();
        let key = FactKind::Placement.row_key();
        self.lease
            .fence(Transaction::new())
            .with_check(FactKind::Members.row_key(), view.members_revision)
            .with_check(key, view.placement_revision)
            .with_write(key, value)
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
            facts.offer(FactKind::Placement, revision, &value);
        }
        Ok(())
    }

    fn note(&self, action: &'static str, subject: String) -> AuditNote {
        AuditNote {
            who: self.state.identity.entry.to_string(),
            action,
            subject,
            text_revision: self.state.text_in_force(),
            lease_epoch: self.lease.epoch().unwrap_or_default(),
            ..AuditNote::default()
        }
    }

    fn closed_by<'v>(
        &self,
        wave: &HeldWave,
        view: &'v ControlView,
    ) -> Vec<(&'v HostId, &'v HostPlacement)> {
        view.placement
            .hosts()
            .iter()
            .filter(|(_, held)| held.wave.as_ref() == Some(&wave.record.id))
            .filter(|(_, held)| held.phase != HostPhase::Active)
            .collect()
    }
}

fn in_phase(closed: &[(&HostId, &HostPlacement)], phase: HostPhase) -> Vec<HostId> {
    closed
        .iter()
        .filter(|(_, held)| held.phase == phase)
        .map(|(host, _)| (*host).clone())
        .collect()
}

/// Opens a host in the pool that it has.
fn open(placement: &mut Placement, host: &HostId) {
    if let Some(held) = placement.hosts().get(host).cloned() {
        let opened = HostPlacement {
            phase: HostPhase::Active,
            wave: None,
            ..held
        };
        placement.set(host.clone(), opened);
    }
}

fn describe(record: &WaveRecord) -> String {
    format!(
        "{}, {} pending, {} stopped, {} done",
        record.state,
        record.pending.len(),
        record.stopped.len(),
        record.done.len()
    )
}
