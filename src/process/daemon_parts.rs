//! The parts of a running daemon and the tasks that tie them together.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::select;
use futures::future::Either;
use monoio::time::sleep;
use tokio::sync::Notify;

use crate::id::Revision;
use crate::job::JobActivity;
use crate::job::JobController;
use crate::job::JobStore;
use crate::operator::ServiceTextRow;
use crate::process::fact_sync::pause;
use crate::process::fact_sync::FactSync;
use crate::process::member_keeper::MemberKeeper;
use crate::process::slot_borrower::SlotBorrower;
use crate::process::AuditLog;
use crate::process::DaemonMetrics;
use crate::process::DaemonSettings;
use crate::process::FreezeGuard;
use crate::process::MemberSet;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::process::ShareBasis;
use crate::process::ShareKeeper;
use crate::process::SharedServer;
use crate::process::ShutdownSignal;
use crate::provider::HttpPlatform;
use crate::request::ClaimKeeper;
use crate::request::RequestRouter;
use crate::version::FactKind;
use crate::version::RoutingTable;
use crate::version::ServiceText;
use crate::wave::WaveController;

const TICK: Duration = Duration::from_millis(100);
const CONTROL_PAUSE: Duration = Duration::from_secs(1);
/// While nothing is under way, waves are looked for at every third look at the lease.
const IDLE_PASSES: u32 = 3;
const CONTROL_PAUSE_BUSY: Duration = Duration::from_millis(200);
/// The time between two looks at jobs, however often callers change some.
const JOB_LEAST_PAUSE: Duration = Duration::from_millis(100);
const MEMBER_PAUSE: Duration = Duration::from_millis(500);
const LOANS_TIME: Duration = Duration::from_millis(6_500);
const LEAVE_TIME: Duration = Duration::from_secs(2);
const SWEEP_PAUSE: Duration = Duration::from_secs(5);

/// What the ledger's slot shares were last worked out from.
#[derive(Default)]
struct HeldShares {
    basis: ShareBasis,
    table: Option<Rc<RoutingTable>>,
}

/// The parts of a running daemon.
pub struct DaemonParts {
    /// What both threads see.
    pub state: Arc<PeerState>,
    /// The platform.
    pub platform: Rc<HttpPlatform>,
    /// The audit trail.
    pub audit: Rc<AuditLog<HttpPlatform>>,
    /// The way of requests.
    pub router: Rc<RequestRouter<HttpPlatform>>,
    /// The counters.
    pub metrics: Rc<DaemonMetrics>,
    /// How far the shutdown has come.
    pub shutdown: ShutdownSignal,
    /// The lease of the controller of waves.
    pub lease: Rc<RoleLease<HttpPlatform>>,
    /// The jobs.
    pub jobs: JobStore<HttpPlatform>,
    controller: WaveController<HttpPlatform>,
    job_controller: JobController<HttpPlatform>,
    claims: Rc<ClaimKeeper<HttpPlatform>>,
    guard: Rc<FreezeGuard>,
    members: MemberKeeper<HttpPlatform>,
    sync: FactSync<HttpPlatform>,
    /// Whether the rows have been looked at since this run became a member.
    informed: Cell<bool>,
    look_now: Notify,
}

impl DaemonParts {
    pub(crate) fn new(
        settings: &DaemonSettings,
        state: Arc<PeerState>,
        shutdown: ShutdownSignal,
    ) -> Self {
        let platform = Rc::new(HttpPlatform::new(
            settings.platform,
            settings.platform_timeout,
        ));
        let audit = Rc::new(AuditLog::new(Rc::clone(&platform)));
        let claims = Rc::new(ClaimKeeper::new(Rc::clone(&platform)));
        let metrics = Rc::new(DaemonMetrics::new());
        let guard = Rc::new(FreezeGuard::new(Instant::now()));
        let router = RequestRouter::new(
            Arc::clone(&state),
            Rc::clone(&claims),
            Rc::clone(&metrics),
            Rc::clone(&guard),
            settings.queue,
            state.identity.incarnation.get(),
        );
        let identity = state.identity.clone();
        let lease = Rc::new(RoleLease::new(Rc::clone(&platform), identity, "controller"));
        let controller = WaveController::new(
            Rc::clone(&platform),
            Arc::clone(&state),
            Rc::clone(&audit),
            Rc::clone(&lease),
        );
        let job_controller =
            JobController::new(Rc::clone(&platform), Arc::clone(&state), Rc::clone(&lease));
        Self {
            lease,
            controller,
            jobs: JobStore::new(Rc::clone(&platform)),
            job_controller,
            members: MemberKeeper::new(Arc::clone(&state), Rc::clone(&audit)),
            sync: FactSync::new(Rc::clone(&platform), Arc::clone(&state)),
            router: Rc::new(router),
            informed: Cell::new(false),
            look_now: Notify::new(),
            state,
            platform,
            audit,
            metrics,
            shutdown,
            claims,
            guard,
        }
    }

    /// Tells whether callers are served and wanted.
    pub fn is_ready(&self) -> bool {
        self.shutdown.is_running() && self.state.text_in_force().get() > 0
    }

    /// Starts every task that runs beside the requests.
    pub(crate) fn start(self: &Rc<Self>, poll: Duration) {
        monoio::spawn(Rc::clone(self).follow_facts());
        monoio::spawn(Rc::clone(self).look_at_platform(poll));
        monoio::spawn(Rc::clone(self).keep_membership());
        monoio::spawn(Rc::clone(self).tick());
        monoio::spawn(Rc::clone(self).control());
        monoio::spawn(Rc::clone(self).place_jobs());
        monoio::spawn(Rc::clone(self).sweep());
        let borrower = SlotBorrower::new(Arc::clone(&self.state), Rc::clone(&self.router));
        monoio::spawn(borrower.run());
        let claims = Rc::clone(&self.claims);
        monoio::spawn(async move { claims.run().await });
    }

    /// Puts every newer text, placement and host list in force.
    async fn follow_facts(self: Rc<Self>) {
        let mut changes = self.state.facts.subscribe();
        let mut text: Option<Arc<ServiceText>> = None;
        let mut parsed_revision = Revision::new(0);
        loop {
            let fact = self.state.facts.get(FactKind::Text);
            if fact.revision > self.state.text_in_force() {
                match ServiceTextRow::from_fact(&fact).and_then(|fact| fact.parse()) {
                    Ok(parsed) => {
                        text = Some(Arc::new(parsed));
                        parsed_revision = fact.revision;
                    }
                    Err(error) => {
                        log::error!(target: "zincpier::text", "revision {} cannot be used: {error}", fact.revision);
                    }
                }
            }
            if let Some(text) = &text {
                self.install(text);
                if parsed_revision > self.state.text_in_force() {
                    self.state.put_in_force(parsed_revision, Arc::clone(text));
                    log::info!(target: "zincpier::text", "revision {parsed_revision} is in force");
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn install(&self, text: &ServiceText) {
        let fact = self.state.facts.get(FactKind::Placement);
        let placement = Placement::from_fact(&fact);
        let closed = placement.closed_hosts().cloned().collect::<BTreeSet<_>>();
        let table = RoutingTable::new(text, &placement, &self.state.hosts());
        self.router.install(table);
        let ledger = &self.state.ledger;
        ledger.install_placement(fact.revision, closed);
    }

    async fn look_at_platform(self: Rc<Self>, poll: Duration) {
        let mut reachable = true;
        loop {
            let member = self.is_member();
            let hosts = self.sync.look_at_hosts().await;
            let facts = self.sync.look_at_facts().await;
            self.guard.catch_up();
            self.informed
                .set(self.informed.get() || (member && facts.is_ok()));
            let answered = hosts.is_ok() && facts.is_ok();
            if answered != reachable {
                reachable = answered;
                log::warn!(target: "zincpier::provider", "the platform {}", match answered {
                    true => "answers again",
                    false => "does not answer",
                });
            }
            self.metrics.count_event(match answered {
                true => "platform_look",
                false => "platform_silence",
            });
            select(Box::pin(pause(poll)), Box::pin(self.look_now.notified())).await;
        }
    }

    async fn keep_membership(self: Rc<Self>) {
        while self.shutdown.is_running() {
            if self.members.is_superseded() {
                log::warn!(target: "zincpier::members", "a later run has this entry host's name");
                self.shutdown.give_notice();
                return;
            }
            if self.state.text_in_force().get() > 0 {
                // A silent platform is noticed and reported by the look at its rows.
                let _ = self.members.look().await;
            }
            if self.is_member() && !self.informed.get() {
                self.look_now.notify_one();
            }
            pause(MEMBER_PAUSE).await;
        }
    }

    /// Holds the controller's lease when it can, and drives waves and moves.
    async fn control(self: Rc<Self>) {
        let mut busy = false;
        for pass in 0_u32.. {
            if !self.shutdown.is_running() {
                break;
            }
            let held = self.is_member() && self.lease.look().await.is_ok();
            let due = busy || pass % IDLE_PASSES == 0;
            // A silent platform is noticed and reported by the look at its rows.
            busy = held && due && self.controller.look().await.unwrap_or(false);
            pause(if busy {
                CONTROL_PAUSE_BUSY
            } else {
                CONTROL_PAUSE
            })
            .await;
        }
        let _ = self.lease.give_up().await;
    }

    /// Places jobs while the controller's lease is held.
    async fn place_jobs(self: Rc<Self>) {
        let mut woken = false;
        while self.shutdown.is_running() {
            // A silent platform is noticed and reported by the look at its rows.
            let activity = self.job_controller.look(woken).await;
            let activity = activity.unwrap_or(JobActivity::Moving);
            let time = self.job_controller.pause_after(activity);
            sleep(JOB_LEAST_PAUSE.min(time)).await;
            let time = time.saturating_sub(JOB_LEAST_PAUSE);
            let paused = Box::pin(pause(time));
            let wake = Box::pin(self.state.jobs_changed());
            woken = matches!(select(paused, wake).await, Either::Right(_));
        }
    }

    fn is_member(&self) -> bool {
        let own = &self.state.identity;
        let members = self.state.members();
        members
            .get(&own.entry)
            .is_some_and(|member| member.incarnation == own.incarnation)
    }

    /// Follows pauses, shares and free slots.
    async fn tick(self: Rc<Self>) {
        let mut keeper = ShareKeeper::new(self.state.identity.clone(), Instant::now());
        let mut looks = 0;
        let mut held = HeldShares::default();
        loop {
            let now = Instant::now();
            if self.guard.tick(now) {
                self.metrics.count_event("thaw");
                self.state.tracker().restart(now);
                self.look_now.notify_one();
            }
            let seen = self.metrics.events("platform_look");
            if seen > looks {
                looks = seen;
                keeper.confirm(now);
            }
            self.update_shares(&mut keeper, &mut held, now);
            self.router.slots().dispatch_all();
            sleep(TICK).await;
        }
    }

    fn update_shares(&self, keeper: &mut ShareKeeper, held: &mut HeldShares, now: Instant) {
        let fact = self.state.facts.get(FactKind::Members);
        if fact.revision > keeper.revision() {
            keeper.follow(fact.revision, MemberSet::from_fact(&fact), now);
        }
        keeper.decide(&self.state.tracker(), now);
        let table = self.router.slots().table();
        let basis = keeper.basis(now);
        let same_table = held
            .table
            .as_ref()
            .is_some_and(|held| Rc::ptr_eq(held, &table));
        // A wave may have closed hosts just before this run became a member.
        let uninformed = self.is_member() && !self.informed.get();
        if uninformed {
            return;
        }
        if basis != held.basis || !same_table {
            let shares = keeper.shares(&shared_servers(&table), now);
            self.state.ledger.set_shares(&shares);
            held.basis = basis;
            held.table = Some(table);
        }
        let unsettled = self.state.settled() < keeper.revision();
        if unsettled && self.state.ledger.is_within_shares(now) {
            self.state.settle(keeper.revision());
        }
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            pause(SWEEP_PAUSE).await;
            self.router.close_unused();
        }
    }

    /// Waits for the shutdown and completes it.
    pub(crate) async fn stop(&self, settings: &DaemonSettings) {
        self.shutdown.notice().await;
        log::info!(target: "zincpier::process", "shutdown: readiness fails");
        self.state.ledger.end_lending();
        sleep(settings.notice).await;
        self.shutdown.close();
        wait_while(settings.grace, || self.shutdown.busy() > 0).await;
        wait_while(LOANS_TIME, || self.state.ledger.has_lent(Instant::now())).await;
        wait_while(LEAVE_TIME, || !self.claims.is_settled()).await;
        if !self.members.is_superseded() {
            let left = monoio::time::timeout(LEAVE_TIME, self.members.leave()).await;
            if !matches!(left, Ok(Ok(()))) {
                log::warn!(target: "zincpier::process", "shutdown: the platform was not told");
            }
        }
        log::info!(target: "zincpier::process", "shutdown: complete");
    }
}

fn shared_servers(table: &RoutingTable) -> Vec<SharedServer> {
    let shared = table.routes().flat_map(|route| {
        route.servers.iter().map(|server| SharedServer {
            host: server.host.clone(),
            data_centre: server.data_centre.clone(),
            slots: route.service.slots,
        })
    });
    shared.collect()
}

/// Waits while something holds, for `time` at most.
async fn wait_while(time: Duration, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + time;
    while holds() && Instant::now() < deadline {
        sleep(TICK).await;
    }
}
