//! Drives waves and host moves while this process holds the controller's lease.

use std::rc::Rc;
use std::sync::Arc;

use crate::error::Result;
use crate::id::HostId;
use crate::job::HostJobs;
use crate::process::now_ms;
use crate::process::AuditLog;
use crate::process::HostPhase;
use crate::process::HostPlacement;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::provider::HostService;
use crate::provider::TableService;
use crate::wave::control_view::ControlView;
use crate::wave::drain_query::query_drain;
use crate::wave::host_mover::HostMover;
use crate::wave::host_restarter::HostRestarter;
use crate::wave::loss_charger::LossCharger;
use crate::wave::name_list::name_list;
use crate::wave::step_writer::StepWriter;
use crate::wave::stored_wave::StoredWave;
use crate::wave::StepDecision;
use crate::wave::WavePlanner;
use crate::wave::WaveState;
use crate::wave::WAVE_PREFIX;

/// Maximum number of waves read in one pass.
const ROW_LIMIT: usize = 1_000;
/// Ended waves whose rows are kept; the audit trail has older ones.
const MAX_ENDED_WAVES: usize = 100;
/// Factor by which a wave's group limit grows each time that all its stopped hosts have returned.
const GROUP_GROWTH_FACTOR: usize = 2;

/// Advances waves and host moves, one transaction for each step.
pub struct WaveController<P> {
    platform: Rc<P>,
    state: Arc<PeerState>,
    lease: Rc<RoleLease<P>>,
    writer: Rc<StepWriter<P>>,
    mover: HostMover<P>,
    restarter: HostRestarter<P>,
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
        let writer = StepWriter::new(
            Rc::clone(&platform),
            Arc::clone(&state),
            audit,
            Rc::clone(&lease),
        );
        let writer = Rc::new(writer);
        Self {
            mover: HostMover::new(Arc::clone(&state), Rc::clone(&writer)),
            restarter: HostRestarter::new(Rc::clone(&platform), Arc::clone(&state)),
            charger: LossCharger::new(Rc::clone(&platform)),
            platform,
            state,
            lease,
            writer,
        }
    }

    /// Runs one pass, which advances every wave and move by at most one step.
    ///
    /// Returns whether any wave or move is under way.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn run_pass(&self) -> Result<bool> {
        let (Some(_), Some(text)) = (self.lease.epoch(), self.state.text()) else {
            return Ok(false);
        };
        let waves = self.read_waves().await?;
        let view = ControlView::read(self.platform.as_ref(), &self.state, text).await?;
        self.charger.charge(&view, &self.lease).await?;
        let mut busy = self.mover.advance(&view).await?;
        for wave in waves.iter().filter(|wave| !wave.record.state.is_over()) {
            busy = true;
            self.advance(wave, &view).await?;
        }
        self.reopen_ended(&waves, &view).await?;
        self.remove_ended(&waves, &view).await?;
        self.mover.repair(&view, busy).await?;
        Ok(busy)
    }

    async fn read_waves(&self) -> Result<Vec<StoredWave>> {
        let rows = self.platform.scan(WAVE_PREFIX, "", ROW_LIMIT).await?;
        let waves = rows.into_iter().filter_map(|row| {
            let record = serde_json::from_value(row.value).ok()?;
            Some(StoredWave {
                record,
                revision: row.revision,
            })
        });
        Ok(waves.collect())
    }

    /// Advances a wave by at most one step.
    ///
    /// Restarts come first, so that a host that is still draining does not delay them.
    async fn advance(&self, wave: &StoredWave, view: &ControlView) -> Result<()> {
        let leaving = wave.hosts_in(view, HostPhase::Leaving);
        let restarting = wave.hosts_in(view, HostPhase::Restarting);
        let running = wave.record.state == WaveState::Running;
        if self.restart_and_reopen(wave, view, &restarting).await? {
            return Ok(());
        }
        match (leaving.is_empty(), restarting.is_empty()) {
            (false, _) if running => self.stop_drained(wave, view, &leaving).await,
            (false, _) => self.reopen(wave, view, &leaving).await,
            (true, false) => self.hold_if_overdue(wave, view, &restarting).await,
            (true, true) if running => self.commit_next_step(wave, view).await,
            (true, true) => Ok(()),
        }
    }

    /// Plans the next step of a wave without stopped hosts and commits it.
    async fn commit_next_step(&self, wave: &StoredWave, view: &ControlView) -> Result<()> {
        let budget_tracker = view.budget_tracker();
        let mut planner = WavePlanner::new(&view.fleet, &budget_tracker);
        let host_moves = planner.next_moves(&wave.record);
        if !host_moves.is_empty() {
            return self.mover.start_moves(view, &host_moves).await;
        }
        let decision = planner.next_step(&wave.record);
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        let action = match decision {
            StepDecision::Wait(reason) => return self.writer.record_waiting(wave, reason).await,
            StepDecision::Hold(reason) => {
                record.state = WaveState::Held(reason);
                "wave hold"
            }
            StepDecision::Finished => {
                record.state = WaveState::Finished;
                record.pending.clear();
                record.ended_ms = Some(now_ms());
                record.waiting_for.clear();
                "wave finish"
            }
            StepDecision::Stop(group) => {
                for host in group {
                    record.pending.remove(&host);
                    record.stopped.insert(host.clone());
                    let closed = self.closed_placement(wave, view, &host);
                    placement.set(host, closed);
                }
                record.waiting_for.clear();
                "wave close hosts"
            }
        };
        self.writer
            .commit_step(wave, view, record, placement, action)
            .await
    }

    fn closed_placement(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        host: &HostId,
    ) -> HostPlacement {
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

    /// Marks closed hosts as restarting once every member has confirmed that they are drained and
    /// no jobs are left on them; otherwise records what the wave waits for.
    async fn stop_drained(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        leaving: &[HostId],
    ) -> Result<()> {
        let members = self.state.members();
        let revision = view.placement_revision;
        let status = query_drain(&self.state, &members, leaving, revision).await;
        if !status.unconfirmed.is_empty() {
            let reason = format!("the acknowledgement of {}", name_list(&status.unconfirmed));
            return self.writer.record_waiting(wave, reason).await;
        }
        if status.drained.is_empty() {
            return self
                .writer
                .record_waiting(wave, "requests in flight to finish".to_owned())
                .await;
        }
        let (unoccupied, jobs) = self.writer.split_by_jobs(status.drained).await?;
        if unoccupied.is_empty() {
            return self.writer.record_waiting(wave, jobs_reason(&jobs)).await;
        }
        let mut placement = view.placement.clone();
        for host in unoccupied {
            if let Some(host_placement) = view.placement.hosts().get(&host) {
                let mut host_placement = host_placement.clone();
                host_placement.phase = HostPhase::Restarting;
                placement.set(host, host_placement);
            }
        }
        let record = wave.record.clone();
        self.writer
            .commit_step(wave, view, record, placement, "wave stop hosts")
            .await
    }

    /// Reopens hosts that were closed but not stopped when the wave was held or ended.
    async fn reopen(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        leaving: &[HostId],
    ) -> Result<()> {
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        for host in leaving {
            record.stopped.remove(host);
            record.pending.insert(host.clone());
            reopen_host(&mut placement, host);
        }
        self.writer
            .commit_step(wave, view, record, placement, "wave reopen hosts")
            .await
    }

    /// Sends restart commands and reopens the hosts that have returned; returns whether any have.
    async fn restart_and_reopen(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        restarting: &[HostId],
    ) -> Result<bool> {
        let mut record = wave.record.clone();
        let mut placement = view.placement.clone();
        let mut returned = 0;
        for host in restarting {
            let Some(host_placement) = view.placement.hosts().get(host) else {
                continue;
            };
            self.restarter.restart(wave, host, host_placement).await;
            if self.restarter.has_returned(host, host_placement.boots) {
                record.stopped.remove(host);
                record.done.insert(host.clone());
                reopen_host(&mut placement, host);
                self.restarter.forget(host);
                returned += 1;
            }
        }
        if returned == 0 {
            return Ok(false);
        }
        if record.stopped.is_empty() {
            record.group_limit *= GROUP_GROWTH_FACTOR;
        }
        let step = self
            .writer
            .commit_step(wave, view, record, placement, "wave open hosts");
        step.await?;
        Ok(true)
    }

    /// Holds a running wave if a restarted host is overdue; otherwise records which hosts it waits
    /// for.
    async fn hold_if_overdue(
        &self,
        wave: &StoredWave,
        view: &ControlView,
        restarting: &[HostId],
    ) -> Result<()> {
        match self.restarter.overdue(restarting) {
            Some(host) if wave.record.state == WaveState::Running => {
                let mut record = wave.record.clone();
                record.state = WaveState::Held(format!("{host} does not come back"));
                let placement = view.placement.clone();
                self.writer
                    .commit_step(wave, view, record, placement, "wave hold")
                    .await
            }
            _ => {
                let reason = format!("{} to come back", name_list(restarting));
                self.writer.record_waiting(wave, reason).await
            }
        }
    }

    /// Deletes the rows of the oldest ended waves beyond [`MAX_ENDED_WAVES`].
    async fn remove_ended(&self, waves: &[StoredWave], view: &ControlView) -> Result<()> {
        let mut ended = waves
            .iter()
            .filter(|wave| wave.record.state.is_over() && !wave.has_closed_hosts(view))
            .collect::<Vec<_>>();
        let excess = ended.len().saturating_sub(MAX_ENDED_WAVES);
        ended.sort_by_key(|wave| wave.record.ended_ms);
        match excess {
            0 => Ok(()),
            _ => self.writer.remove_waves(&ended[..excess]).await,
        }
    }

    /// Reopens hosts that an ended wave has left closed.
    async fn reopen_ended(&self, waves: &[StoredWave], view: &ControlView) -> Result<()> {
        for wave in waves {
            if !wave.record.state.is_over() {
                continue;
            }
            let leaving = wave.hosts_in(view, HostPhase::Leaving);
            let restarting = wave.hosts_in(view, HostPhase::Restarting);
            let opened = self.restart_and_reopen(wave, view, &restarting).await?;
            if !opened && !leaving.is_empty() {
                self.reopen(wave, view, &leaving).await?;
            }
        }
        Ok(())
    }
}

/// Reopens a host in its current pool.
fn reopen_host(placement: &mut Placement, host: &HostId) {
    if let Some(host_placement) = placement.hosts().get(host).cloned() {
        let opened = HostPlacement {
            phase: HostPhase::Active,
            wave: None,
            ..host_placement
        };
        placement.set(host.clone(), opened);
    }
}

/// Returns the wait reason that names the jobs still on closed hosts.
fn jobs_reason(jobs: &HostJobs) -> String {
    let hosts = jobs
        .iter()
        .map(|(host, jobs)| format!("{} on {host}", name_list(jobs)));
    format!("jobs to end: {}", hosts.collect::<Vec<_>>().join("; "))
}
