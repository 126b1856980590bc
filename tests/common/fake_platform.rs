//! In-memory platform that can simulate a crash of its caller at a given call.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::time::sleep;
use serde::Serialize;
use tokio::sync::Notify;

use zincpier::error::Result;
use zincpier::id::HostId;
use zincpier::id::Revision;
use zincpier::provider::HostChanges;
use zincpier::provider::HostService;
use zincpier::provider::RebootCommand;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::version::HostRecord;
use zincpier::version::HostState;

use crate::fake_table::FakeTable;

/// The call at which the caller crashes, counted from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CrashPoint {
    /// The caller crashes before the call takes effect.
    BeforeEffect(u64),
    /// The caller crashes after the call took effect, but before it receives the response.
    AfterEffect(u64),
}

/// A table and hosts in memory. Reads of the host list are not counted as calls and cannot crash.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) table: FakeTable,
    boots: RefCell<BTreeMap<HostId, u64>>,
    down_hosts: RefCell<BTreeSet<HostId>>,
    reboot_tokens: RefCell<BTreeSet<String>>,
    host_list_revision: Cell<u64>,
    call_count: Cell<u64>,
    crash_point: Cell<Option<CrashPoint>>,
    crash_notify: Notify,
}

impl FakePlatform {
    pub(crate) fn new(hosts: &[&str]) -> Self {
        let platform = Self::default();
        let boots = hosts.iter().map(|host| (host.parse().unwrap(), 0));
        platform.boots.borrow_mut().extend(boots);
        platform.host_list_revision.set(1);
        platform
    }

    /// Sets or removes the crash point and restarts the count of calls.
    pub(crate) fn set_crash_point(&self, crash_point: Option<CrashPoint>) {
        self.call_count.set(0);
        self.crash_point.set(crash_point);
    }

    /// Returns the number of calls since the crash point was last set.
    pub(crate) fn call_count(&self) -> u64 {
        self.call_count.get()
    }

    /// Returns the number of restarts of each host, sorted by host.
    pub(crate) fn boots(&self) -> Vec<u64> {
        self.boots.borrow().values().copied().collect()
    }

    /// Marks a host as down, or as up without counting a restart.
    pub(crate) fn set_down(&self, host: &str, down: bool) {
        let host = host.parse().unwrap();
        match down {
            true => self.down_hosts.borrow_mut().insert(host),
            false => self.down_hosts.borrow_mut().remove(&host),
        };
        self.host_list_revision
            .set(self.host_list_revision.get() + 1);
    }

    /// Writes a row without checking its revision.
    pub(crate) fn store(&self, key: &str, value: &impl Serialize) {
        self.table.store(key, serde_json::to_value(value).unwrap());
    }

    /// Waits until a call reaches the crash point; the test must then drop the caller.
    pub(crate) async fn wait_for_crash(&self) {
        self.crash_notify.notified().await;
    }

    /// Returns the current host list, without delay.
    pub(crate) fn host_changes(&self) -> HostChanges {
        let record = |(host, boots): (&HostId, &u64)| HostRecord {
            id: host.clone(),
            // No test connects to this address.
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "east".parse().unwrap(),
            rack: "r1".parse().unwrap(),
            state: match self.down_hosts.borrow().contains(host) {
                true => HostState::Down,
                false => HostState::Live,
            },
            boots: *boots,
        };
        HostChanges {
            revision: Revision::new(self.host_list_revision.get()),
            hosts: self.boots.borrow().iter().map(record).collect(),
        }
    }

    /// Counts a call and runs it, or simulates the crash of its caller at the crash point.
    async fn call<T>(&self, call: impl Future<Output = T>) -> T {
        let number = self.call_count.get() + 1;
        self.call_count.set(number);
        match self.crash_point.get() {
            Some(CrashPoint::BeforeEffect(crash_call)) if crash_call == number => {
                self.crash_caller().await
            }
            Some(CrashPoint::AfterEffect(crash_call)) if crash_call == number => {
                call.await;
                self.crash_caller().await
            }
            _ => call.await,
        }
    }

    async fn crash_caller<T>(&self) -> T {
        self.crash_notify.notify_one();
        // The call does not return; the test drops it together with the caller.
        sleep(Duration::from_secs(3_600)).await;
        panic!("the test did not drop the caller after its simulated crash");
    }

    fn restart(&self, host: &HostId, command: &RebootCommand) {
        if self
            .reboot_tokens
            .borrow_mut()
            .insert(command.token.clone())
        {
            *self.boots.borrow_mut().get_mut(host).unwrap() += 1;
            self.host_list_revision
                .set(self.host_list_revision.get() + 1);
        }
    }
}

impl TableService for FakePlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.call(self.table.transact(transaction)).await
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.call(self.table.read(keys)).await
    }

    async fn revisions(&self, keys: &[&str]) -> Result<Vec<RowCheck>> {
        self.call(self.table.revisions(keys)).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>> {
        self.call(self.table.scan(prefix, after, limit)).await
    }
}

impl HostService for FakePlatform {
    async fn changed_hosts(&self, _since: Revision) -> Result<HostChanges> {
        Ok(self.host_changes())
    }

    async fn reboot(&self, host: &HostId, command: &RebootCommand) -> Result<()> {
        let effect = async {
            self.restart(host, command);
        };
        self.call(effect).await;
        Ok(())
    }
}
