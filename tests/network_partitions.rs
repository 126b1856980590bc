//! Tests a data centre that is partitioned from the platform, from the other data centre, or from
//! both.

mod common;
#[path = "common/relay.rs"]
mod relay;

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::common::call;
use crate::common::wait_for;
use crate::common::wave_text;
use crate::common::TestSystem;
use crate::common::TOKEN;
use crate::relay::Relay;

/// Two daemons; the one in `west` is connected to the platform and to its peer only through relays.
struct PartitionedSystem {
    system: TestSystem,
    platform: Relay,
    peers: [Relay; 2],
}

fn start_partitioned_system() -> PartitionedSystem {
    let mut system = TestSystem::start(&wave_text(), "1", &[]);
    let platform = Relay::start(system.platform);
    let peers = [(), ()].map(|()| Relay::start_without_target());
    let settings = |index: usize| {
        format!(
            "poll_ms = 300\npeers = \"127.0.0.1:0\"\npeers_advertised = \"{}\"\n",
            peers[index].address
        )
    };
    let east = system.start_daemon_with("entry-1", "east", system.platform, &settings(0));
    let west = system.start_daemon_with("entry-2", "west", platform.address, &settings(1));
    peers[0].set_target(east.peers);
    peers[1].set_target(west.peers);
    system.daemons = vec![east, west];
    assert_eq!(system.apply(&wave_text(), 0).status, 200);
    system.wait_ready();
    PartitionedSystem {
        system,
        platform,
        peers,
    }
}

impl PartitionedSystem {
    fn set_partition(&self, platform: bool, peers: bool) {
        self.platform.set_partitioned(platform);
        self.peers
            .iter()
            .for_each(|relay| relay.set_partitioned(peers));
    }

    fn text_revision(&self, daemon: usize) -> u64 {
        self.system.daemons[daemon].status()["text_in_force"]
            .as_u64()
            .unwrap()
    }

    fn serves(&self, daemon: usize) -> bool {
        (0..10).all(|_| self.system.daemons[daemon].get("/notices").status == 200)
    }
}

/// A daemon that loses the platform, its peer or both must keep serving. It gets a new service
/// text through the platform or the peer if it still reaches one of them, otherwise after the
/// partition.
#[test]
fn partitioned_data_centre_keeps_serving_and_catches_up() {
    for (platform, peers) in [(true, false), (false, true), (true, true)] {
        let partition = start_partitioned_system();
        partition.set_partition(platform, peers);
        let before = partition.text_revision(0);
        let text = wave_text().replace("availability = \"99.5\"", "availability = \"99.0\"");
        assert_eq!(partition.system.apply(&text, before).status, 200);
        thread::sleep(Duration::from_secs(4));

        assert!(
            partition.serves(0) && partition.serves(1),
            "a daemon does not serve; partitioned from platform: {platform}, from peers: {peers}"
        );
        let isolated = platform && peers;
        assert_eq!(
            partition.text_revision(1) == before,
            isolated,
            "wrong text revision; partitioned from platform: {platform}, from peers: {peers}"
        );
        partition.set_partition(false, false);
        wait_for("the service text is in force after the partition", || {
            partition.text_revision(1) > before
        });
        assert!(partition.serves(0) && partition.serves(1));
    }
}

/// The partitioned daemon does not know that hosts are closed and may still send them requests, so
/// the wave must restart no host until the daemon has reported its requests in flight.
#[test]
fn partitioned_daemon_delays_the_wave_until_the_partition_ends() {
    let partition = start_partitioned_system();
    partition.set_partition(true, true);
    let headers = [("zincpier-token", TOKEN)];
    let operators = partition.system.daemons[0].operators;
    let body = json!({ "scope": "pool:notices-pool" }).to_string();
    let started = call(operators, "POST", "/wave/start", &headers, &body);
    let wave = || call(operators, "GET", "/waves", &[], "").json()[0].clone();
    let boots = || -> u64 {
        let list = call(partition.system.platform, "GET", "/hosts?since=0", &[], "").json();
        list["hosts"]
            .as_array()
            .unwrap()
            .iter()
            .map(|host| host["boots"].as_u64().unwrap())
            .sum()
    };

    wait_for("the wave names the entry host that it waits for", || {
        wave()["waiting_for"].as_str().unwrap().contains("entry-2")
    });
    thread::sleep(Duration::from_secs(4));
    let boots_while_partitioned = boots();
    partition.set_partition(false, false);
    wait_for("the wave is finished", || wave()["state"] == "finished");

    assert_eq!(started.status, 200);
    assert_eq!(boots_while_partitioned, 0);
    assert_eq!(boots(), 8);
}

/// The platform answers all reads with the rows of an earlier time. A daemon that applied such an
/// answer would go back to an older service text.
#[test]
fn stale_read_of_the_platform_does_not_revert_the_service_text() {
    let system = TestSystem::start_ready(
        &wave_text(),
        "1",
        &[("entry-1", "east"), ("entry-2", "west")],
    );
    let before = system.daemons[0].status()["text_in_force"]
        .as_u64()
        .unwrap();
    system.set_platform_faults(&json!({ "stale_reads": true }));

    let text = wave_text().replace("availability = \"99.5\"", "availability = \"99.0\"");
    let applied = system.apply(&text, before);
    wait_for("the service text is in force on both daemons", || {
        system
            .daemons
            .iter()
            .all(|daemon| daemon.status()["text_in_force"].as_u64().unwrap() > before)
    });
    thread::sleep(Duration::from_secs(1));

    assert_eq!(applied.status, 200);
    let revisions = system
        .daemons
        .iter()
        .map(|daemon| daemon.status()["text_in_force"].as_u64().unwrap());
    assert!(revisions.into_iter().all(|revision| revision > before));
}
