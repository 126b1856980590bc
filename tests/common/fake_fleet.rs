//! A platform in memory with workers that run tasks for a while.

#![allow(dead_code)] // Each test file uses some of the fixtures.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::HostId;
use zincpier::id::Revision;
use zincpier::id::WaveId;
use zincpier::id::WorkerId;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::workflow::ChangeFeed;
use zincpier::workflow::ChangeSet;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::HostEntry;
use zincpier::workflow::HostGateway;
use zincpier::workflow::HostList;
use zincpier::workflow::HostOutcome;
use zincpier::workflow::HostState;
use zincpier::workflow::LeaseRenewal;
use zincpier::workflow::OperatorFact;
use zincpier::workflow::OrderOutcome;
use zincpier::workflow::OrderRefusal;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StartOrder;
use zincpier::workflow::TableChange;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::WaveRequest;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerFact;
use zincpier::workflow::WorkerGateway;
use zincpier::workflow::WorkerReport;

const LOOK: Duration = Duration::from_millis(5);

/// One task on a fake worker.
struct FakeRun {
    run: u64,
    until_ms: u64,
}

#[derive(Default)]
struct FakeWorker {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<TaskName, FakeRun>,
    barred: BTreeMap<TaskName, u64>,
    ends: Vec<TaskEnd>,
    next_end: u64,
}

/// The platform that all controllers of a test share.
pub(crate) struct FakeFleet {
    started: Instant,
    rows: RefCell<BTreeMap<String, TableRow>>,
    changes: RefCell<Vec<(u64, TableChange)>>,
    revision: Cell<u64>,
    config: FleetConfig,
    entries: Vec<WorkerEntry>,
    workers: RefCell<BTreeMap<WorkerId, FakeWorker>>,
    wave: RefCell<Option<WaveRequest>>,
    pub(crate) wave_complete: Cell<bool>,
    pub(crate) upkeeps: RefCell<Vec<(u64, HostId)>>,
    pub(crate) task_ms: Cell<u64>,
    pub(crate) lost_commits: Cell<u32>,
    pub(crate) lost_starts: Cell<u32>,
    pub(crate) table_down: Cell<bool>,
    pub(crate) workers_hidden: Cell<bool>,
    /// How often each task ended as done.
    pub(crate) done: RefCell<BTreeMap<TaskName, u32>>,
    /// Tasks that ran twice at a time.
    pub(crate) doubled: RefCell<Vec<TaskName>>,
}

impl FakeFleet {
    pub(crate) fn new(config: FleetConfig, entries: Vec<WorkerEntry>) -> Rc<Self> {
        let workers = entries
            .iter()
            .map(|entry| (entry.id.clone(), FakeWorker::default()));
        Rc::new(Self {
            started: Instant::now(),
            rows: RefCell::default(),
            changes: RefCell::default(),
            revision: Cell::new(1),
            config,
            workers: RefCell::new(workers.collect()),
            entries,
            wave: RefCell::default(),
            wave_complete: Cell::new(false),
            upkeeps: RefCell::default(),
            task_ms: Cell::new(100),
            lost_commits: Cell::new(0),
            lost_starts: Cell::new(0),
            table_down: Cell::new(false),
            workers_hidden: Cell::new(false),
            done: RefCell::default(),
            doubled: RefCell::default(),
        })
    }

    pub(crate) fn begin_wave(&self, request: WaveRequest) {
        *self.wave.borrow_mut() = Some(request);
        self.revision.set(self.revision.get() + 1);
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn commit(&self, transaction: &Transaction) -> TransactionOutcome {
        let mut rows = self.rows.borrow_mut();
        let held = |key: &str| rows.get(key).map_or(Revision::new(0), |row| row.revision);
        let wrong = |check: &&RowCheck| held(&check.key) != check.revision;
        if transaction.checks.iter().any(|check| wrong(&check)) {
            return TransactionOutcome::Conflict(Vec::new());
        }
        let number = self.revision.get() + 1;
        self.revision.set(number);
        let mut changes = self.changes.borrow_mut();
        for write in &transaction.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    let row = TableRow {
                        key: key.clone(),
                        revision: Revision::new(number),
                        value: value.clone(),
                    };
                    rows.insert(key, row.clone());
                    changes.push((number, TableChange::Written(row)));
                }
                None => {
                    rows.remove(&key);
                    changes.push((number, TableChange::Deleted(key)));
                }
            }
        }
        TransactionOutcome::Committed(Revision::new(number))
    }

    /// Lets time pass on a worker.
    fn advance(&self, id: &WorkerId) {
        let now_ms = self.now_ms();
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id).unwrap();
        let lapsed = worker.lease_ms < now_ms;
        let over = |run: &FakeRun| lapsed || run.until_ms <= now_ms;
        let ended: Vec<_> = worker
            .running
            .iter()
            .filter(|(_, run)| over(run))
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        for (task, run) in ended {
            worker.running.remove(&task);
            let kind = if lapsed {
                EndKind::Lapsed
            } else {
                *self.done.borrow_mut().entry(task.clone()).or_default() += 1;
                EndKind::Done
            };
            worker.end(task, run, kind);
        }
    }

    /// Renews a lease; nothing while the caller has to wait for an end.
    fn renew(&self, id: &WorkerId, renewal: &LeaseRenewal, over: bool) -> Option<RenewalOutcome> {
        self.advance(id);
        let clock_ms = self.now_ms();
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id).unwrap();
        if renewal.epoch < worker.fence {
            return Some(RenewalOutcome::Refused(OrderRefusal::Fenced));
        }
        worker.fence = renewal.epoch;
        worker.lease_ms = worker.lease_ms.max(renewal.lease_ms.unwrap_or(0));
        worker.ends.retain(|end| end.number > renewal.acknowledged);
        if worker.ends.is_empty() && !over {
            return None;
        }
        let running = worker.running.iter().map(|(task, run)| RunningTask {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
        });
        Some(RenewalOutcome::Report(WorkerReport {
            clock_ms,
            running: running.collect(),
            ends: worker.ends.clone(),
            has_more_ends: false,
        }))
    }

    fn start(&self, id: &WorkerId, order: &StartOrder) -> OrderOutcome {
        self.advance(id);
        let elsewhere = |(other, worker): (&WorkerId, &FakeWorker)| {
            other != id && worker.running.contains_key(&order.task)
        };
        if self.workers.borrow().iter().any(elsewhere) {
            self.doubled.borrow_mut().push(order.task.clone());
        }
        let now_ms = self.now_ms();
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id).unwrap();
        if order.epoch < worker.fence {
            return OrderOutcome::Refused(OrderRefusal::Fenced);
        }
        worker.fence = order.epoch;
        let barred = worker.barred.get(&order.task).copied().unwrap_or(0);
        if order.run <= barred {
            return OrderOutcome::Refused(OrderRefusal::OldRun);
        }
        worker.lease_ms = worker.lease_ms.max(order.lease_ms);
        let run = FakeRun {
            run: order.run,
            until_ms: now_ms + self.task_ms.get(),
        };
        worker.running.insert(order.task.clone(), run);
        OrderOutcome::Accepted(now_ms)
    }
}

impl FakeWorker {
    fn end(&mut self, task: TaskName, run: u64, kind: EndKind) {
        self.next_end += 1;
        self.barred.insert(task.clone(), run);
        self.ends.push(TaskEnd {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }
}

/// One entry host's way to the platform, which a test can cut for good.
pub(crate) struct FakeLink {
    pub(crate) fleet: Rc<FakeFleet>,
    pub(crate) cut: Cell<bool>,
}

impl FakeLink {
    pub(crate) fn new(fleet: &Rc<FakeFleet>) -> Rc<Self> {
        Rc::new(Self {
            fleet: Rc::clone(fleet),
            cut: Cell::new(false),
        })
    }

    async fn pass(&self) {
        sleep(Duration::from_millis(2)).await;
        if self.cut.get() {
            pending::<()>().await;
        }
    }

    async fn pass_table(&self) -> Result<()> {
        self.pass().await;
        if self.fleet.table_down.get() {
            return Err(Error::PlatformRefused {
                status: 503,
                reason: "down".to_owned(),
            });
        }
        Ok(())
    }
}

impl TableService for FakeLink {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.pass_table().await?;
        let outcome = self.fleet.commit(transaction);
        let lost = self.fleet.lost_commits.get();
        if lost > 0 {
            self.fleet.lost_commits.set(lost - 1);
            return Err(Error::PlatformSilent("lost".to_owned()));
        }
        Ok(outcome)
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.pass_table().await?;
        let rows = self.fleet.rows.borrow();
        Ok(keys
            .iter()
            .filter_map(|key| rows.get(*key).cloned())
            .collect())
    }

    async fn revisions(&self, _: &[&str]) -> Result<Vec<RowCheck>> {
        Ok(Vec::new())
    }

    async fn scan(&self, _: &str, _: &str, _: usize) -> Result<Vec<TableRow>> {
        Ok(Vec::new())
    }
}

impl ChangeFeed for FakeLink {
    async fn row_changes(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<ChangeSet<TableChange>> {
        self.pass_table().await?;
        let now = Revision::new(self.fleet.revision.get());
        if since == Revision::new(0) {
            let rows = self.fleet.rows.borrow();
            let found = rows.values().filter(|row| row.key.starts_with(prefix));
            let changes = found.cloned().map(TableChange::Written).collect();
            return Ok(ChangeSet::Changes(changes, now));
        }
        let deadline = Instant::now() + wait;
        loop {
            let now = Revision::new(self.fleet.revision.get());
            let changes: Vec<_> = {
                let changes = self.fleet.changes.borrow();
                let later = changes.iter().filter(|(number, change)| {
                    let key = match change {
                        TableChange::Written(row) => &row.key,
                        TableChange::Deleted(key) => key,
                    };
                    *number > since.get() && key.starts_with(prefix)
                });
                later.map(|(_, change)| change.clone()).collect()
            };
            if !changes.is_empty() || Instant::now() >= deadline {
                return Ok(ChangeSet::Changes(changes, now));
            }
            sleep(LOOK).await;
            self.pass_table().await?;
        }
    }

    async fn operator_changes(&self, _: Revision, _: Duration) -> Result<ChangeSet<OperatorFact>> {
        sleep(Duration::from_millis(50)).await;
        self.pass_table().await?;
        let mut facts = vec![OperatorFact::Config(self.fleet.config.clone())];
        facts.extend(self.fleet.wave.borrow().clone().map(OperatorFact::Wave));
        Ok(ChangeSet::Changes(facts, Revision::new(1)))
    }

    async fn worker_changes(&self, _: Revision, _: Duration) -> Result<ChangeSet<WorkerFact>> {
        self.pass_table().await?;
        if self.fleet.workers_hidden.get() {
            return Err(Error::PlatformSilent("hidden".to_owned()));
        }
        let facts = self.fleet.entries.iter().cloned();
        let facts = facts.map(WorkerFact::Present).collect();
        Ok(ChangeSet::Changes(facts, Revision::new(1)))
    }

    async fn publish_wave(&self, _: &WaveId, complete: bool) -> Result<()> {
        self.pass_table().await?;
        self.fleet.wave_complete.set(complete);
        Ok(())
    }
}

impl WorkerGateway for FakeLink {
    async fn start_task(&self, worker: &WorkerEntry, order: &StartOrder) -> OrderOutcome {
        self.pass().await;
        let outcome = self.fleet.start(&worker.id, order);
        let lost = self.fleet.lost_starts.get();
        if lost > 0 {
            self.fleet.lost_starts.set(lost - 1);
            return OrderOutcome::Unknown("lost".to_owned());
        }
        outcome
    }

    async fn stop_task(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        epoch: u64,
    ) -> OrderOutcome {
        self.pass().await;
        self.fleet.advance(&worker.id);
        let now_ms = self.fleet.now_ms();
        let mut workers = self.fleet.workers.borrow_mut();
        let worker = workers.get_mut(&worker.id).unwrap();
        if epoch < worker.fence {
            return OrderOutcome::Refused(OrderRefusal::Fenced);
        }
        let barred = worker.barred.entry(task.clone()).or_default();
        *barred = run.max(*barred);
        let here = worker.running.get(task).is_some_and(|held| held.run == run);
        if here {
            worker.running.remove(task);
            worker.end(task.clone(), run, EndKind::Stopped);
        }
        OrderOutcome::Accepted(now_ms)
    }

    async fn renew_lease(&self, entry: &WorkerEntry, renewal: &LeaseRenewal) -> RenewalOutcome {
        self.pass().await;
        let deadline = Instant::now() + renewal.wait;
        loop {
            let over = Instant::now() >= deadline;
            if let Some(outcome) = self.fleet.renew(&entry.id, renewal, over) {
                return outcome;
            }
            sleep(LOOK).await;
            self.pass().await;
        }
    }

    async fn pace_task(
        &self,
        _: &WorkerEntry,
        _: &TaskName,
        _: u64,
        _: u32,
        _: u64,
    ) -> OrderOutcome {
        OrderOutcome::Accepted(0)
    }
}

impl HostGateway for FakeLink {
    async fn list_hosts(&self) -> Result<HostList> {
        self.pass().await;
        let hosts = self.fleet.entries.iter().map(|entry| HostEntry {
            host: format!("host-{}", entry.id).parse().unwrap(),
            pool: entry.service.to_string(),
            state: HostState::Up,
            capacity: entry.capacity,
            worker: Some(entry.id.clone()),
        });
        Ok(HostList {
            hosts: hosts.collect(),
            has_gaps: false,
        })
    }

    async fn begin_upkeep(&self, host: &HostId, _: &WaveId, epoch: u64) -> HostOutcome {
        self.pass().await;
        self.fleet.upkeeps.borrow_mut().push((epoch, host.clone()));
        HostOutcome::Accepted
    }

    async fn move_host(&self, _: &HostId, _: &str, _: u64) -> HostOutcome {
        HostOutcome::Rejected("no".to_owned())
    }
}
