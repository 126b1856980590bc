//! The components of a running daemon and the background tasks that connect them.

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
use crate::process::fact_poller::sleep_jittered;
use crate::process::fact_poller::FactPoller;
use crate::process::membership_manager::MembershipManager;
use crate::process::slot_borrower::SlotBorrower;
use crate::process::AuditLog;
use crate::process::DaemonMetrics;
use crate::process::DaemonSettings;
use crate::process::FreezeDetector;
use crate::process::MemberSet;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::process::ShareInputs;
use crate::process::ShareManager;
use crate::process::SharedServer;
use crate::process::ShutdownSignal;
use crate::provider::HttpPlatform;
use crate::request::ClaimManager;
use crate::request::RequestRouter;
use crate::version::FactKind;
use crate::version::RoutingTable;
use crate::version::ServiceText;
use crate::wave::WaveController;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const IDLE_LEASE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// With no wave or move in progress, the wave controller runs a pass at every third lease poll.
const IDLE_PASS_STRIDE: u32 = 3;
const BUSY_LEASE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two passes over jobs, however often callers change jobs.
const MIN_JOB_PASS_INTERVAL: Duration = Duration::from_millis(100);
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a shutdown waits for lent slots: the 6 s of a loan and the lender's 500 ms margin.
const LOAN_EXPIRY_TIMEOUT: Duration = Duration::from_millis(6_500);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2); // For the claim flush, then for leaving.
const CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The inputs of the allocator's current slot shares.
#[derive(Default)]
struct AppliedShares {
    inputs: ShareInputs,
    table: Option<Rc<RoutingTable>>,
}

/// The components of a running daemon, shared by its request handlers and tasks.
pub struct DaemonParts {
    /// State shared with the peer thread.
    pub state: Arc<PeerState>,
    /// The client of the platform.
    pub platform: Rc<HttpPlatform>,
    /// Commits changes with their audit rows.
    pub audit: Rc<AuditLog<HttpPlatform>>,
    /// Routes requests to backend servers.
    pub router: Rc<RequestRouter<HttpPlatform>>,
    /// The metrics that `/metrics` returns.
    pub metrics: Rc<DaemonMetrics>,
    /// The progress of the shutdown.
    pub shutdown: ShutdownSignal,
    /// The `controller` lease, whose holder runs waves, moves and jobs.
    pub lease: Rc<RoleLease<HttpPlatform>>,
    /// Stores the jobs that callers submit.
    pub jobs: JobStore<HttpPlatform>,
    wave_controller: WaveController<HttpPlatform>,
    job_controller: JobController<HttpPlatform>,
    claims: Rc<ClaimManager<HttpPlatform>>,
    detector: Rc<FreezeDetector>,
    membership_manager: MembershipManager<HttpPlatform>,
    poller: FactPoller<HttpPlatform>,
    /// Whether the platform's rows have been read since this run became a member.
    polled_as_member: Cell<bool>,
    poll_now: Notify,
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
        let claims = Rc::new(ClaimManager::new(Rc::clone(&platform)));
        let metrics = Rc::new(DaemonMetrics::new());
        let detector = Rc::new(FreezeDetector::new(Instant::now()));
        let router = RequestRouter::new(
            Arc::clone(&state),
            Rc::clone(&claims),
            Rc::clone(&metrics),
            Rc::clone(&detector),
            settings.queue,
            state.identity.incarnation.get(),
        );
        let identity = state.identity.clone();
        let lease = Rc::new(RoleLease::new(Rc::clone(&platform), identity, "controller"));
        let wave_controller = WaveController::new(
            Rc::clone(&platform),
            Arc::clone(&state),
            Rc::clone(&audit),
            Rc::clone(&lease),
        );
        let job_controller =
            JobController::new(Rc::clone(&platform), Arc::clone(&state), Rc::clone(&lease));
        Self {
            lease,
            wave_controller,
            jobs: JobStore::new(Rc::clone(&platform)),
            job_controller,
            membership_manager: MembershipManager::new(Arc::clone(&state), Rc::clone(&audit)),
            poller: FactPoller::new(Rc::clone(&platform), Arc::clone(&state)),
            router: Rc::new(router),
            polled_as_member: Cell::new(false),
            poll_now: Notify::new(),
            state,
            platform,
            audit,
            metrics,
            shutdown,
            claims,
            detector,
        }
    }

    /// Returns whether a service text is in force and no shutdown has started.
    pub fn is_ready(&self) -> bool {
        self.shutdown.is_running() && self.state.text_in_force().get() > 0
    }

    /// Starts the background tasks; the platform is polled every `poll_interval`.
    pub(crate) fn start(self: &Rc<Self>, poll_interval: Duration) {
        monoio::spawn(Rc::clone(self).watch_facts());
        monoio::spawn(Rc::clone(self).poll_platform(poll_interval));
        monoio::spawn(Rc::clone(self).maintain_membership());
        monoio::spawn(Rc::clone(self).run_ticks());
        monoio::spawn(Rc::clone(self).run_controller());
        monoio::spawn(Rc::clone(self).run_job_controller());
        monoio::spawn(Rc::clone(self).sweep_connections());
        let borrower = SlotBorrower::new(Arc::clone(&self.state), Rc::clone(&self.router));
        monoio::spawn(borrower.run());
        let claims = Rc::clone(&self.claims);
        monoio::spawn(async move { claims.run().await });
    }

    /// Installs each newer service text, placement and host list in the routing table.
    async fn watch_facts(self: Rc<Self>) {
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
                        log::error!(target: "zincpier::text", "service text revision {} is invalid and was not applied: {error}", fact.revision);
                    }
                }
            }
            if let Some(text) = &text {
                self.install_routing(text);
                if parsed_revision > self.state.text_in_force() {
                    self.state
                        .set_text_in_force(parsed_revision, Arc::clone(text));
                    log::info!(target: "zincpier::text", "service text revision {parsed_revision} is in force");
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn install_routing(&self, text: &ServiceText) {
        let fact = self.state.facts.get(FactKind::Placement);
        let placement = Placement::from_fact(&fact);
        let closed = placement.closed_hosts().cloned().collect::<BTreeSet<_>>();
        let table = RoutingTable::new(text, &placement, &self.state.hosts());
        self.router.install(table);
        let allocator = &self.state.allocator;
        allocator.install_placement(fact.revision, closed);
    }

    async fn poll_platform(self: Rc<Self>, poll_interval: Duration) {
        let mut reachable = true;
        loop {
            let member = self.is_member();
            let hosts = self.poller.poll_hosts().await;
            let facts = self.poller.poll_facts().await;
            self.detector.mark_current();
            self.polled_as_member
                .set(self.polled_as_member.get() || (member && facts.is_ok()));
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
            select(
                Box::pin(sleep_jittered(poll_interval)),
                Box::pin(self.poll_now.notified()),
            )
            .await;
        }
    }

    async fn maintain_membership(self: Rc<Self>) {
        while self.shutdown.is_running() {
            if self.membership_manager.is_superseded() {
                log::warn!(target: "zincpier::members", "a newer run of this entry host has joined under its name; shutting down");
                self.shutdown.give_notice();
                return;
            }
            if self.state.text_in_force().get() > 0 {
                // An unreachable platform is detected and logged by `poll_platform`.
                let _ = self.membership_manager.reconcile().await;
            }
            if self.is_member() && !self.polled_as_member.get() {
                self.poll_now.notify_one();
            }
            sleep_jittered(MEMBERSHIP_POLL_INTERVAL).await;
        }
    }

    /// Renews or acquires the controller lease, and runs waves and moves while it is held.
    async fn run_controller(self: Rc<Self>) {
        let mut busy = false;
        for pass in 0_u32.. {
            if !self.shutdown.is_running() {
                break;
            }
            let held = self.is_member() && self.lease.poll().await.is_ok();
            let due = busy || pass % IDLE_PASS_STRIDE == 0;
            // An unreachable platform is detected and logged by `poll_platform`.
            busy = held && due && self.wave_controller.run_pass().await.unwrap_or(false);
            sleep_jittered(if busy {
                BUSY_LEASE_POLL_INTERVAL
            } else {
                IDLE_LEASE_POLL_INTERVAL
            })
            .await;
        }
        let _ = self.lease.release().await;
    }

    /// Runs the job controller, which places jobs while the controller lease is held.
    async fn run_job_controller(self: Rc<Self>) {
        let mut woken = false;
        while self.shutdown.is_running() {
            // An unreachable platform is detected and logged by `poll_platform`.
            let activity = self.job_controller.run_pass(woken).await;
            let activity = activity.unwrap_or(JobActivity::Changing);
            let delay = self.job_controller.next_pass_delay(activity);
            sleep(MIN_JOB_PASS_INTERVAL.min(delay)).await;
            let delay = delay.saturating_sub(MIN_JOB_PASS_INTERVAL);
            let timer = Box::pin(sleep_jittered(delay));
            let job_change = Box::pin(self.state.jobs_changed());
            woken = matches!(select(timer, job_change).await, Either::Right(_));
        }
    }

    fn is_member(&self) -> bool {
        let own = &self.state.identity;
        let members = self.state.members();
        members
            .get(&own.entry)
            .is_some_and(|member| member.incarnation == own.incarnation)
    }

    /// Detects freezes of the process, updates slot shares and dispatches waiting requests.
    async fn run_ticks(self: Rc<Self>) {
        let mut manager = ShareManager::new(self.state.identity.clone(), Instant::now());
        let mut last_poll_count = 0;
        let mut applied = AppliedShares::default();
        loop {
            let now = Instant::now();
            if self.detector.record_tick(now) {
                self.metrics.count_event("thaw");
                self.state.tracker().reset_after_freeze(now);
                self.poll_now.notify_one();
            }
            let poll_count = self.metrics.event_count("platform_look");
            if poll_count > last_poll_count {
                last_poll_count = poll_count;
                manager.record_confirmation(now);
            }
            self.update_shares(&mut manager, &mut applied, now);
            self.router.slots().dispatch_all();
            sleep(TICK_INTERVAL).await;
        }
    }

    fn update_shares(&self, manager: &mut ShareManager, applied: &mut AppliedShares, now: Instant) {
        let fact = self.state.facts.get(FactKind::Members);
        if fact.revision > manager.revision() {
            manager.install_members(fact.revision, MemberSet::from_fact(&fact), now);
        }
        manager.update(&self.state.tracker(), now);
        let table = self.router.slots().table();
        let inputs = manager.inputs(now);
        let same_table = applied
            .table
            .as_ref()
            .is_some_and(|applied| Rc::ptr_eq(applied, &table));
        // A wave may have closed hosts just before this run became a member. No share is set
        // until the rows have been read once as a member.
        let unpolled = self.is_member() && !self.polled_as_member.get();
        if unpolled {
            return;
        }
        if inputs != applied.inputs || !same_table {
            let shares = manager.shares(&shared_servers(&table), now);
            self.state.allocator.set_shares(&shares);
            applied.inputs = inputs;
            applied.table = Some(table);
        }
        let unapplied = self.state.applied_members() < manager.revision();
        if unapplied && self.state.allocator.is_within_shares(now) {
            self.state.set_applied_members(manager.revision());
        }
    }

    async fn sweep_connections(self: Rc<Self>) {
        loop {
            sleep_jittered(CONNECTION_SWEEP_INTERVAL).await;
            self.router.close_expired();
        }
    }

    /// Waits for the shutdown signal, drains requests and loans, and leaves the member set.
    pub(crate) async fn stop(&self, settings: &DaemonSettings) {
        self.shutdown.notice().await;
        log::info!(target: "zincpier::process", "shutdown: readiness now fails, requests are still accepted");
        self.state.allocator.stop_lending();
        sleep(settings.notice).await;
        self.shutdown.close();
        wait_while(settings.grace, || self.shutdown.in_flight() > 0).await;
        wait_while(LOAN_EXPIRY_TIMEOUT, || {
            self.state.allocator.has_lent(Instant::now())
        })
        .await;
        wait_while(LEAVE_TIMEOUT, || !self.claims.is_flushed()).await;
        if !self.membership_manager.is_superseded() {
            let left = monoio::time::timeout(LEAVE_TIMEOUT, self.membership_manager.leave()).await;
            if !matches!(left, Ok(Ok(()))) {
                log::warn!(target: "zincpier::process", "shutdown: the platform did not confirm that this entry host left the member set");
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

/// Waits while the condition holds, for `limit` at most.
async fn wait_while(limit: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + limit;
    while condition() && Instant::now() < deadline {
        sleep(TICK_INTERVAL).await;
    }
}
