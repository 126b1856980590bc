//! A data centre cut off from the platform, from the others, and from both.

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

/// Two daemons, the western one behind relays.
struct CutSystem {
    system: TestSystem,
    platform: Relay,
    peers: [Relay; 2],
}

fn start_cut_system() -> CutSystem {
    let mut system = TestSystem::start(&wave_text(), "1", &[]);
    let platform = Relay::start(system.platform);
    let peers = [(), ()].map(|()| Relay::start_without_target());
    let lines = |index: usize| {
        format!(
            "poll_ms = 300\npeers = \"127.0.0.1:0\"\npeers_advertised = \"{}\"\n",
            peers[index].address
        )
    };
    let east = system.start_daemon_with("entry-1", "east", system.platform, &lines(0));
    let west = system.start_daemon_with("entry-2", "west", platform.address, &lines(1));
    peers[0].set_target(east.peers);
    peers[1].set_target(west.peers);
    system.daemons = vec![east, west];
    assert_eq!(system.apply(&wave_text(), 0).status, 200);
    system.wait_ready();
    CutSystem {
        system,
        platform,
        peers,
    }
}

impl CutSystem {
    fn cut(&self, platform: bool, peers: bool) {
        self.platform.set_cut(platform);
        self.peers.iter().for_each(|relay| relay.set_cut(peers));
    }

    fn text_of(&self, daemon: usize) -> u64 {
        self.system.daemons[daemon].status()["text_in_force"]
            .as_u64()
            .unwrap()
    }

    fn serves(&self, daemon: usize) -> bool {
        (0..10).all(|_| self.system.daemons[daemon].get("/notices").status == 200)
    }
}

#[test]
fn cut_data_centre_serves_on_and_catches_up() {
    for (platform, peers) in [(true, false), (false, true), (true, true)] {
        let cut = start_cut_system();
        cut.cut(platform, peers);
        let before = cut.text_of(0);
        let text = wave_text().replace("availability = \"99.5\"", "availability = \"99.0\"");
        assert_eq!(cut.system.apply(&text, before).status, 200);
        thread::sleep(Duration::from_secs(4));

        assert!(cut.serves(0) && cut.serves(1), "cut {platform} {peers}");
        let cut_off = platform && peers;
        assert_eq!(cut.text_of(1) == before, cut_off, "cut {platform} {peers}");
        cut.cut(false, false);
        wait_for("the text is in force after the cut", || {
            cut.text_of(1) > before
        });
        assert!(cut.serves(0) && cut.serves(1));
    }
}

#[test]
fn cut_off_daemon_holds_the_wave_until_the_cut_is_over() {
    let cut = start_cut_system();
    cut.cut(true, true);
    let headers = [("zincpier-token", TOKEN)];
    let operators = cut.system.daemons[0].operators;
    let body = json!({ "scope": "pool:notices-pool" }).to_string();
    let started = call(operators, "POST", "/wave/start", &headers, &body);
    let wave = || call(operators, "GET", "/waves", &[], "").json()[0].clone();
    let boots = || -> u64 {
        let list = call(cut.system.platform, "GET", "/hosts?since=0", &[], "").json();
        list["hosts"]
            .as_array()
            .unwrap()
            .iter()
            .map(|host| host["boots"].as_u64().unwrap())
            .sum()
    };

    wait_for("the wave says whom it waits for", || {
        wave()["waiting_for"].as_str().unwrap().contains("entry-2")
    });
    thread::sleep(Duration::from_secs(4));
    let stopped_while_cut = boots();
    cut.cut(false, false);
    wait_for("the wave is finished", || wave()["state"] == "finished");

    assert_eq!(started.status, 200);
    assert_eq!(stopped_while_cut, 0);
    assert_eq!(boots(), 8);
}

#[test]
fn stale_answer_of_the_platform_reverts_nothing() {
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
    wait_for("the text is in force", || {
        system
            .daemons
            .iter()
            .all(|daemon| daemon.status()["text_in_force"].as_u64().unwrap() > before)
    });
    thread::sleep(Duration::from_secs(1));

    assert_eq!(applied.status, 200);
    let held = system
        .daemons
        .iter()
        .map(|daemon| daemon.status()["text_in_force"].as_u64().unwrap());
    assert!(held.into_iter().all(|held| held > before));
}
