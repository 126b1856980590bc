//! Guards against a controller's lease that passes to an unsuitable entry host, or away from a
//! holder that is alive, because some entry hosts notice the end of a table outage late.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::provider::TableService;
use zincpier::workflow::HostResources;
use zincpier::workflow::LeaderRecord;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(15);

/// An outage at whose end the second read of an entry host is on its way. A read is given up after
/// 1.6 s, and the next one is sent 300 ms later.
const READ_OUTAGE: Duration = Duration::from_millis(2_500);

/// An outage at whose end the second attempt to renew the lease is on its way. An attempt is given up
/// after 1.6 s, and the next one is sent 60 ms later.
const RENEWAL_OUTAGE: Duration = Duration::from_millis(2_100);

const STRONG: HostResources = HostResources {
    processor_share: Some(0.5),
    link_mbps: Some(200.0),
    memory_mb: None,
};

const WEAK: HostResources = HostResources {
    processor_share: Some(0.12),
    link_mbps: Some(10.0),
    memory_mb: None,
};

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

/// Starts the controller of an entry host that never shuts down. Returns its connection.
fn start_entry(fleet: &Rc<FakeFleet>, name: &str, resources: HostResources) -> Rc<FakeLink> {
    let options = EntryOptions {
        resources,
        ..EntryOptions::default()
    };
    start_entry_with(fleet, name, options)
}

async fn leader(link: &FakeLink) -> LeaderRecord {
    let rows = link.read(&[LEADER_KEY]).await.unwrap();
    let value = rows.first().map(|row| row.value.clone());
    value.map_or_else(LeaderRecord::default, |value| {
        serde_json::from_value(value).unwrap()
    })
}

/// Waits until an entry host other than `last` holds the lease; panics after [`TIMEOUT`].
async fn next_holder(link: &FakeLink, last: &str) -> String {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let holder = leader(link).await.holder;
        if holder != last {
            return holder;
        }
        assert!(Instant::now() < deadline, "{last} still holds the lease");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn pass_outage(fleet: &FakeFleet, length: Duration) {
    fleet.table_silent.set(true);
    sleep(length).await;
    fleet.table_silent.set(false);
}

/// Guards against a lease that goes to a restarted host with a thin link, which takes seconds to
/// load the state, only because the others still wait for answers to reads of the outage.
#[test]
fn lease_that_expires_in_an_outage_goes_to_a_host_like_the_last_holder() {
    run(async {
        let fleet = fleet();
        let holder = start_entry(&fleet, "boston-1", STRONG);
        let observer = FakeLink::new(&fleet);
        next_holder(&observer, "").await;
        start_entry(&fleet, "boston-2", STRONG);
        sleep(Duration::from_millis(700)).await;

        holder.is_disconnected.set(true);
        pass_outage(&fleet, READ_OUTAGE).await;
        start_entry(&fleet, "boston-3", WEAK);

        assert_eq!(next_holder(&observer, "boston-1").await, "boston-2");
    });
}

/// Guards against a takeover from a holder that could not renew its lease in time only because it
/// still waits for the answer to a renewal of the outage.
#[test]
fn live_holder_keeps_its_lease_after_an_outage() {
    run(async {
        let fleet = fleet();
        start_entry(&fleet, "boston-1", STRONG);
        let observer = FakeLink::new(&fleet);
        next_holder(&observer, "").await;
        start_entry(&fleet, "boston-2", STRONG);
        sleep(Duration::from_millis(700)).await;
        let before = leader(&observer).await;

        pass_outage(&fleet, RENEWAL_OUTAGE).await;
        start_entry(&fleet, "boston-3", STRONG);
        sleep(Duration::from_secs(3)).await;

        let after = leader(&observer).await;
        assert_eq!((after.holder, after.epoch), (before.holder, before.epoch));
        assert!(after.commit > before.commit);
    });
}
