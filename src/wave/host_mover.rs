//! Moves of hosts between pools.

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
use crate::wave::drain_watch::ask_members;
use crate::wave::name_list::name_list;
use crate::wave::step_writer::StepWriter;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostMove;
use crate::wave::HostView;
use crate::wave::SparePlanner;

/// How long a lost host is expected to come back by itself.
const EXPECTED_BACK: Duration = Duration::from_secs(600);

/// Takes hosts from pool to pool, one phase at a time.
pub(super) struct HostMover<P> {
    state: Arc<PeerState>,
    writer: Rc<StepWriter<P>>,
    lost_since: RefCell<HashMap<HostId, Instant>>,
}

impl<P: TableService> HostMover<P> {
    /// Creates a mover that commits through `writer`.
    pub(super) fn new(state: Arc<PeerState>, writer: Rc<StepWriter<P>>) -> Self {
        Self {
            state,
            writer,
            lost_since: RefCell::default(),
        }
    }

    /// Closes hosts so that they can change their pools.
    pub(super) async fn begin_moves(
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
        let note = self.writer.note("host move", name_list(hosts));
        log::info!(target: "zincpier::wave", "moves: {}", note.subject);
        self.writer.commit_placement(view, &placement, note).await
    }

    /// Moves hosts to pools that lack some and, while nothing else is under
    /// way, back to the pools that the text lists them for.
    pub(super) async fn repair(&self, view: &ControlView, busy: bool) -> Result<()> {
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
    ///
    /// Returns whether any move is under way.
    pub(super) async fn advance(&self, view: &ControlView) -> Result<bool> {
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
        let (free, _) = self.writer.split_by_jobs(answer.drained).await?;
        let first_pools = view.text.initial_pools_by_host();
        let mut placement = view.placement.clone();
        for host in &free {
            let Some(held) = view.placement.hosts().get(host) else {
                continue;
            };
            let first = first_pools.get(host).map(|pool| &pool.id);
            let pool = held.moving_to.clone().filter(|pool| Some(pool) != first);
            let moved = HostPlacement {
                pool,
                moving_to: None,
                phase: HostPhase::Active,
                ..held.clone()
            };
            placement.set(host.clone(), moved);
        }
        if !free.is_empty() {
            let note = self.writer.note("host moved", name_list(&free));
            self.writer.commit_placement(view, &placement, note).await?;
        }
        Ok(true)
    }
}
