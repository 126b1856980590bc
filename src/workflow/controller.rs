//! The controller of jobs and hosts, which is active on the entry host that holds the
//! controller's lease.
//!
//! A term lasts from the takeover of the lease until it is lost or released.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::select;
use futures::future::Either;
use monoio::time::sleep;
use monoio::time::timeout;
use tokio::sync::watch;

use crate::carrier::CarriedGateway;
use crate::carrier::CarrierPool;
use crate::carrier::HolderAddress;
use crate::process::boot_ms;
use crate::process::EntryMetrics;
use crate::process::ShutdownSignal;
use crate::provider::TableRow;
use crate::workflow::archive::job_archiver::JobArchiver;
use crate::workflow::call_series::CallSeries;
use crate::workflow::commit::committer::Committer;
use crate::workflow::feed::feed_watcher::watch_jobs;
use crate::workflow::feed::feed_watcher::watch_workers;
use crate::workflow::lease::leader_record::read_record;
use crate::workflow::manage_hosts;
use crate::workflow::planner_loop::run_planner;
use crate::workflow::takeover::keep_leases;
use crate::workflow::takeover::LeaseKeeper;
use crate::workflow::takeover::StateLoader;
use crate::workflow::BacklogView;
use crate::workflow::ControllerTerm;
use crate::workflow::CountFreshness;
use crate::workflow::FleetPlatform;
use crate::workflow::FleetView;
use crate::workflow::HostCommands;
use crate::workflow::HostResources;
use crate::workflow::JobEngine;
use crate::workflow::LeaderLease;
use crate::workflow::LeaseMonitor;
use crate::workflow::RowLimit;
use crate::workflow::LEADER_KEY;

/// Interval at which an entry host without the lease reads the leader row, whether or not earlier reads
/// are answered.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which the lease is renewed while the state is loaded.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Tries to claim the controller's lease, and controls jobs and hosts while this entry host holds
/// it.
pub struct Controller<P> {
    platform: Rc<P>,
    view: Rc<FleetView>,
    name: String,
    metrics: Rc<EntryMetrics>,
    counts: Rc<CountFreshness>,
    backlogs: Rc<BacklogView>,
    shutdown: ShutdownSignal,
    resources: HostResources,
    row_limit: RowLimit,
    carriers: Option<CarrierAccess>,
}

/// The carriers of this process while it holds the lease, and what makes it a carrier of another holder.
struct CarrierAccess {
    pool: Rc<CarrierPool>,
    /// Where this process takes carriers.
    address: SocketAddr,
    holder: watch::Sender<Option<HolderAddress>>,
}

/// An answered read of the leader row.
struct LeaderRead {
    row: Option<TableRow>,
    sent_ms: u64,
}

impl<P: FleetPlatform> Controller<P> {
    /// Creates the controller of the entry host `name`, which is the holder's name in the leader
    /// row. It keeps `counts` current.
    pub fn new(
        platform: Rc<P>,
        view: Rc<FleetView>,
        name: String,
        metrics: Rc<EntryMetrics>,
        counts: Rc<CountFreshness>,
        shutdown: ShutdownSignal,
    ) -> Self {
        Self {
            platform,
            view,
            name,
            metrics,
            counts,
            backlogs: Rc::new(BacklogView::new()),
            shutdown,
            resources: HostResources::default(),
            row_limit: RowLimit::default(),
            carriers: None,
        }
    }

    /// Makes calls to workers through the carriers of `pool`, which connect at `address`, and tells `holder`
    /// which other process to serve as a carrier.
    pub fn with_carriers(
        mut self,
        pool: Rc<CarrierPool>,
        address: SocketAddr,
        holder: watch::Sender<Option<HolderAddress>>,
    ) -> Self {
        self.carriers = Some(CarrierAccess {
            pool,
            address,
            holder,
        });
        self
    }

    /// Sets the limit on the rows of the table.
    pub fn with_row_limit(mut self, limit: RowLimit) -> Self {
        self.row_limit = limit;
        self
    }

    /// Sets the view of the queues' backlogs that the controller keeps current.
    pub fn with_backlogs(mut self, backlogs: Rc<BacklogView>) -> Self {
        self.backlogs = backlogs;
        self
    }

    /// Sets what the entry host provides, on which its claims of the lease depend.
    pub fn with_resources(mut self, resources: HostResources) -> Self {
        self.resources = resources;
        self
    }

    /// Polls the leader row and runs a term each time the lease is claimed, until shutdown starts.
    pub async fn run(&self) {
        let mut monitor = LeaseMonitor::new(boot_ms())
            .with_claim_delay(self.resources.claim_delay_ms())
            .with_processor_millis(self.resources.processor_millis());
        while self.shutdown.is_running() {
            if let Some(read) = self.read_leader(&mut monitor).await {
                let row = read.row.as_ref();
                self.counts.record_read(row, read.sent_ms);
                self.backlogs.record_read(row, read.sent_ms);
                self.serve_holder(row);
                let now_ms = boot_ms();
                let read_ms = now_ms.saturating_sub(read.sent_ms);
                if monitor.may_claim(row, &self.name, read_ms, now_ms) {
                    self.claim(row).await;
                    monitor.reset();
                }
            }
            sleep(LEASE_POLL_INTERVAL).await;
        }
    }

    /// Reads the leader row until a read is answered or shutdown starts. While reads are unanswered, others
    /// are sent beside them, so that all entry hosts see the row within one interval after an outage: which of
    /// them claims the lease is then up to the monitor, and not to when each sent its last read.
    async fn read_leader(&self, monitor: &mut LeaseMonitor) -> Option<LeaderRead> {
        let mut reads = CallSeries::new();
        let mut is_first = true;
        while self.shutdown.is_running() {
            let sent_ms = boot_ms();
            let read = async move { (is_first, sent_ms, self.platform.read(&[LEADER_KEY]).await) };
            reads.send(read, LEASE_POLL_INTERVAL);
            is_first = false;
            while let Some((is_first, sent_ms, outcome)) = reads.next().await {
                match outcome {
                    Ok(rows) => {
                        // The table didn't answer the first read, and maybe not the holder either.
                        if !is_first {
                            monitor.reset();
                        }
                        let row = rows.into_iter().next();
                        return Some(LeaderRead { row, sent_ms });
                    }
                    Err(error) => {
                        log::warn!("event=leader_unknown reason=\"{error}\"");
                        monitor.reset();
                    }
                }
            }
        }
        None
    }

    /// Serves the holder in the leader row as a carrier, or none.
    fn serve_holder(&self, row: Option<&TableRow>) {
        let Some(carriers) = &self.carriers else {
            return;
        };
        let record = row.and_then(read_record);
        let record = record.filter(|record| !record.released && record.holder != self.name);
        let holder = record.and_then(|record| {
            let epoch = record.term_epoch();
            record
                .carriers
                .map(|address| HolderAddress { epoch, address })
        });
        carriers.holder.send_if_modified(|current| {
            let is_changed = *current != holder;
            *current = holder;
            is_changed
        });
    }

    async fn claim(&self, row: Option<&TableRow>) {
        let address = self.carriers.as_ref().map(|carriers| carriers.address);
        let platform = self.platform.as_ref();
        let lease = LeaderLease::claim_with_carriers(platform, row, &self.name, address).await;
        if let Some(mut lease) = lease {
            log::info!(
                "event=lease_gained epoch={} processor_millis={:?} link_mbps={:?}",
                lease.epoch(),
                self.resources.processor_millis(),
                self.resources.link_mbps
            );
            lease.set_processor_millis(self.resources.processor_millis().unwrap_or_default());
            let pool = self.carriers.as_ref().map(|carriers| &carriers.pool);
            if let Some(pool) = pool {
                self.serve_holder(None);
                pool.open();
            }
            self.run_term(lease).await;
            if let Some(pool) = pool {
                pool.close();
            }
        }
    }

    /// Loads the state from the table while the workers' leases are kept, and runs one term until it ends.
    async fn run_term(&self, mut lease: LeaderLease) {
        let engine = JobEngine::new(boot_ms(), lease.inherited_ms());
        let engine = engine.with_row_limit(self.row_limit);
        let mut engine = engine.with_memory_limit(self.resources.job_bytes());
        engine.adopt_caps(&self.view);
        engine.adopt_silent_workers(lease.silent_workers(), boot_ms());
        let term = ControllerTerm::with_start_limit(
            lease.epoch(),
            engine,
            HostCommands::new(None, boot_ms()),
            Rc::clone(&self.metrics),
            self.resources.start_bytes(),
        );
        lease.inform(Rc::clone(&term));
        let pool = self.carriers.as_ref().map(|carriers| &carriers.pool);
        let gateway = CarriedGateway::new(Rc::clone(&self.platform)).with_carriers(pool.cloned());
        let gateway = Rc::new(gateway);
        let keeper = LeaseKeeper::new(Rc::clone(&term));
        monoio::spawn(keep_leases(
            Rc::clone(&self.platform),
            Rc::clone(&gateway),
            Rc::clone(&keeper),
        ));
        let loader = StateLoader::new(self.platform.as_ref(), &term, self.row_limit);
        let loaded = self.while_renewing(&mut lease, loader.load()).await;
        let Some(job_revision) = loaded else {
            term.end("the lease was lost before the state was loaded");
            return;
        };
        let worker_revision = keeper.hand_over();
        monoio::spawn(watch_jobs(
            Rc::clone(&self.platform),
            Rc::clone(&term),
            job_revision,
        ));
        monoio::spawn(watch_workers(
            Rc::clone(&self.platform),
            Rc::clone(&gateway),
            Rc::clone(&term),
            worker_revision,
        ));
        monoio::spawn(run_planner(
            Rc::clone(&gateway),
            Rc::clone(&term),
            Rc::clone(&self.view),
        ));
        monoio::spawn(manage_hosts(
            Rc::clone(&self.platform),
            Rc::clone(&term),
            Rc::clone(&self.view),
            self.resources,
        ));
        let archiver = JobArchiver::new(Rc::clone(&self.platform), Rc::clone(&term));
        monoio::spawn(archiver.run());
        let mut committer = Committer::new(
            (Rc::clone(&self.platform), gateway),
            Rc::clone(&term),
            Rc::clone(&self.counts),
            Rc::clone(&self.backlogs),
            self.resources,
        );
        committer.run(&mut lease, &self.shutdown).await;
        term.end("committer stopped");
    }

    /// Awaits `work` while renewing the lease. Returns `None` if the lease is lost first.
    async fn while_renewing<F, T>(&self, lease: &mut LeaderLease, work: F) -> Option<T>
    where
        F: Future<Output = T>,
    {
        let epoch = lease.epoch();
        let mut work = pin!(work);
        loop {
            if let Ok(done) = timeout(RENEWAL_INTERVAL, &mut work).await {
                return Some(done);
            }
            let renewal = pin!(lease.commit(self.platform.as_ref(), Vec::new(), None));
            let (renewed, done) = match select(renewal, &mut work).await {
                Either::Left((renewed, _)) => (renewed, None),
                // A renewal that was sent has to be settled, or the next commit would fail.
                Either::Right((done, renewal)) => (renewal.await, Some(done)),
            };
            if renewed.is_err() {
                log::warn!(
                    "event=takeover_failed epoch={epoch} reason=\"the lease was lost before the state was loaded\""
                );
                return None;
            }
            if done.is_some() {
                return done;
            }
        }
    }
}
