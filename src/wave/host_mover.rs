//! Moves hosts between pools.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Result;
use crate::id::HostId;
use crate::process::HostPhase;
use crate::process::HostPlacement;
use crate::process::PeerState;
use crate::provider::TableService;
use crate::wave::control_view::ControlView;
use crate::wave::drain_query::query_drain;
use crate::wave::name_list::name_list;
use crate::wave::step_writer::StepWriter;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostMove;
use crate::wave::HostView;
use crate::wave::SparePlanner;

/// A host that has been lost for less than this time is expected to return by itself and is not
/// replaced.
const EXPECTED_RETURN_TIME: Duration = Duration::from_secs(600);

/// Drives host moves through their phases.
pub(super) struct HostMover<P> {
    state: Arc<PeerState>,
    writer: Rc<StepWriter<P>>,
    lost_since: RefCell<HashMap<HostId, Instant>>,
}

impl<P: TableService> HostMover<P> {
    /// Creates a mover that commits its steps through `writer`.
    pub(super) fn new(state: Arc<PeerState>, writer: Rc<StepWriter<P>>) -> Self {
        Self {
            state,
            writer,
            lost_since: RefCell::default(),
        }
    }

    /// Closes hosts that are to change their pool.
    pub(super) async fn start_moves(
        &self,
        view: &ControlView,
        host_moves: &[HostMove],
    ) -> Result<()> {
        let mut placement = view.placement.clone();
        let mut hosts = Vec::new();
        for host_move in host_moves {
            placement.begin_move(&host_move.host, &host_move.to, false);
            hosts.push(format!(
                "{} from {} to {}",
                host_move.host, host_move.from, host_move.to
            ));
        }
        let audit_event = self.writer.audit_event("host move", name_list(hosts));
        log::info!(target: "zincpier::wave", "closing hosts to move them: {}", audit_event.subject);
        self.writer
            .commit_placement(view, &placement, audit_event)
            .await
    }

    /// Starts moves to pools that lack hosts. While no wave or move is under way (`busy` is false),
    /// also starts moves that restore the pool sizes of the service text.
    pub(super) async fn repair(&self, view: &ControlView, busy: bool) -> Result<()> {
        let budget_tracker = view.budget_tracker();
        let fleet = self.with_expected_returns(view);
        let mut planner = SparePlanner::new(&fleet, &budget_tracker);
        let mut host_moves = planner.repairs();
        if !busy {
            host_moves.extend(planner.restores());
        }
        match host_moves.is_empty() {
            true => Ok(()),
            false => self.start_moves(view, &host_moves).await,
        }
    }

    /// Returns the fleet, with hosts that a wave has closed or that are expected to return by
    /// themselves counted as arriving in their pools.
    fn with_expected_returns(&self, view: &ControlView) -> FleetView {
        let fleet = &view.fleet;
        let mut expected = fleet.clone();
        let placed = view.placement.hosts().iter();
        let moving = placed
            .filter(|(_, host_placement)| host_placement.moving_to.is_some())
            .map(|(host, _)| host)
            .collect::<BTreeSet<_>>();
        let mut lost_since = self.lost_since.borrow_mut();
        let lost = |host: &&HostView| host.condition == HostCondition::Lost;
        lost_since.retain(|host, _| fleet.hosts().get(host).is_some_and(|host| lost(&host)));
        for host in fleet.hosts().values() {
            // A host that a wave has closed returns to its pool.
            if host.condition == HostCondition::Closed && !moving.contains(&host.id) {
                expected.add_arriving(host.pool.clone());
            }
        }
        for host in fleet.hosts().values().filter(lost) {
            let since = lost_since
                .entry(host.id.clone())
                .or_insert_with(Instant::now);
            if since.elapsed() < EXPECTED_RETURN_TIME {
                expected.add_arriving(host.pool.clone());
            }
        }
        expected
    }

    /// Completes the moves of hosts that are drained and have no jobs.
    ///
    /// Returns whether any move was under way.
    pub(super) async fn advance(&self, view: &ControlView) -> Result<bool> {
        let moving = view
            .placement
            .hosts()
            .iter()
            .filter(|(_, host_placement)| host_placement.moving_to.is_some())
            .map(|(host, _)| host.clone())
            .collect::<Vec<_>>();
        if moving.is_empty() {
            return Ok(false);
        }
        let members = self.state.members();
        let revision = view.placement_revision;
        let status = query_drain(&self.state, &members, &moving, revision).await;
        let (unoccupied, _) = self.writer.split_by_jobs(status.drained).await?;
        let listed_pools = view.text.initial_pools_by_host();
        let mut placement = view.placement.clone();
        for host in &unoccupied {
            let Some(host_placement) = view.placement.hosts().get(host) else {
                continue;
            };
            // The placement records a pool only if it differs from the service text.
            let listed_pool = listed_pools.get(host).map(|pool| &pool.id);
            let pool = host_placement
                .moving_to
                .clone()
                .filter(|pool| Some(pool) != listed_pool);
            let moved = HostPlacement {
                pool,
                moving_to: None,
                phase: HostPhase::Active,
                ..host_placement.clone()
            };
            placement.set(host.clone(), moved);
        }
        if !unoccupied.is_empty() {
            let audit_event = self
                .writer
                .audit_event("host moved", name_list(&unoccupied));
            self.writer
                .commit_placement(view, &placement, audit_event)
                .await?;
        }
        Ok(true)
    }
}
