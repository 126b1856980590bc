//! A small platform in memory, at one of whose calls the caller dies.

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

/// The call at which the caller dies.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CrashPoint {
    /// It dies before the call takes effect.
    BeforeEffect(u64),
    /// It dies after the call took effect.
    AfterEffect(u64),
}

#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) table: FakeTable,
    boots: RefCell<BTreeMap<HostId, u64>>,
    down: RefCell<BTreeSet<HostId>>,
    tokens: RefCell<BTreeSet<String>>,
    revision: Cell<u64>,
    calls: Cell<u64>,
    fault: Cell<Option<CrashPoint>>,
    wait_for_crash: Notify,
}

impl FakePlatform {
    pub(crate) fn new(hosts: &[&str]) -> Self {
        let platform = Self::default();
        let boots = hosts.iter().map(|host| (host.parse().unwrap(), 0));
        platform.boots.borrow_mut().extend(boots);
        platform.revision.set(1);
        platform
    }

    pub(crate) fn set_crash_point(&self, fault: Option<CrashPoint>) {
        self.calls.set(0);
        self.fault.set(fault);
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// The restarts of each host, in the order of their names.
    pub(crate) fn boots(&self) -> Vec<u64> {
        self.boots.borrow().values().copied().collect()
    }

    /// Takes a host down, or brings it up without a restart.
    pub(crate) fn set_down(&self, host: &str, down: bool) {
        let host = host.parse().unwrap();
        match down {
            true => self.down.borrow_mut().insert(host),
            false => self.down.borrow_mut().remove(&host),
        };
        self.revision.set(self.revision.get() + 1);
    }

    /// Writes a row whatever it was.
    pub(crate) fn store(&self, key: &str, value: &impl Serialize) {
        self.table.store(key, serde_json::to_value(value).unwrap());
    }

    /// Waits until the caller has to die.
    pub(crate) async fn wait_for_crash(&self) {
        self.wait_for_crash.notified().await;
    }

    /// Returns the host list, without a lag.
    pub(crate) fn host_changes(&self) -> HostChanges {
        let record = |(host, boots): (&HostId, &u64)| HostRecord {
            id: host.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "east".parse().unwrap(),
            rack: "r1".parse().unwrap(),
            state: match self.down.borrow().contains(host) {
                true => HostState::Down,
                false => HostState::Live,
            },
            boots: *boots,
        };
        HostChanges {
            revision: Revision::new(self.revision.get()),
            hosts: self.boots.borrow().iter().map(record).collect(),
        }
    }

    async fn call<T>(&self, call: impl Future<Output = T>) -> T {
        let number = self.calls.get() + 1;
        self.calls.set(number);
        match self.fault.get() {
            Some(CrashPoint::BeforeEffect(fatal)) if fatal == number => self.kill().await,
            Some(CrashPoint::AfterEffect(fatal)) if fatal == number => {
                call.await;
                self.kill().await
            }
            _ => call.await,
        }
    }

    async fn kill<T>(&self) -> T {
        self.wait_for_crash.notify_one();
        sleep(Duration::from_secs(3_600)).await;
        panic!("the caller was not killed");
    }

    fn restart(&self, host: &HostId, order: &RebootCommand) {
        if self.tokens.borrow_mut().insert(order.token.clone()) {
            *self.boots.borrow_mut().get_mut(host).unwrap() += 1;
            self.revision.set(self.revision.get() + 1);
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

    async fn reboot(&self, host: &HostId, order: &RebootCommand) -> Result<()> {
        let effect = async {
            self.restart(host, order);
        };
        self.call(effect).await;
        Ok(())
    }
}
