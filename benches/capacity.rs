//! Measures how the cost of the control plane grows, for the table of docs/CAPACITY.md.
//!
//! Runs the production code against a simulated platform at several sizes, fits a line for each
//! cost driver and prints the cost at the size of the reference fleet. Run with
//! `cargo bench --bench capacity`; `-- --recovery` measures recovery and text changes only.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "support/fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use zincpier::connection::PeerHeartbeat;
use zincpier::id::EntryId;
use zincpier::id::Incarnation;
use zincpier::id::Revision;
use zincpier::process::slot_share;
use zincpier::process::EntryIdentity;
use zincpier::process::MemberSet;
use zincpier::process::Placement;
use zincpier::process::ServerHealth;
use zincpier::process::ServerPicker;
use zincpier::process::SlotAllocator;
use zincpier::process::SlotShare;
use zincpier::provider::HostChanges;
use zincpier::standin::host_records;
use zincpier::version::HostList;
use zincpier::version::RoutingTable;
use zincpier::version::ServiceText;
use zincpier::wave::BudgetTracker;
use zincpier::wave::FleetView;
use zincpier::wave::SparePlanner;

use crate::common::small_text;
use crate::common::TestSystem;
use crate::fleet::FleetDemand;

/// The number of entry hosts for which docs/CAPACITY.md gives the cost of the reference fleet.
const ENTRY_HOSTS: f64 = 35.0;
/// The kernel's clock ticks per second of processor time in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// How long the idle daemons are measured.
const IDLE_DURATION: Duration = Duration::from_secs(8);
/// Changes of the service text of the reference fleet.
const TEXT_CHANGES_PER_DAY: f64 = 1_800.0;
/// Each of 9 failures, 260 restarts and the restarts by waves (830 hosts in 14 days) changes a
/// host's state twice.
const HOST_CHANGES_PER_DAY: f64 = 2.0 * (9.0 + 260.0 + 830.0 / 14.0);
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A line fitted to measurements.
struct LinearFit {
    base: f64,
    /// The increase per unit of the cost driver.
    per_unit: f64,
    /// The largest relative error, as a fraction.
    residual: f64,
}

impl LinearFit {
    /// Fits a line by least squares.
    fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let variance = points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        let per_unit = covariance / variance;
        let base = mean_y - per_unit * mean_x;
        let errors = points
            .iter()
            .map(|(x, y)| ((base + per_unit * x - y) / y).abs());
        Self {
            base,
            per_unit,
            residual: errors.fold(0.0, f64::max),
        }
    }

    fn predict(&self, x: f64) -> f64 {
        self.base + self.per_unit * x
    }
}

/// Fits and prints a line; returns its value where the cost driver is `reference_size`.
fn print_fit(cost_name: &str, driver: &str, points: &[(f64, f64)], reference_size: f64) -> f64 {
    let fit = LinearFit::fit(points);
    let shown = points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}"));
    println!(
        "{cost_name}: {:.4} + {:.6} per {driver}, residual {:.0}%, at {reference_size:.0}: {:.4}  ({})",
        fit.base,
        fit.per_unit,
        fit.residual * 100.0,
        fit.predict(reference_size),
        shown.collect::<Vec<_>>().join(", ")
    );
    fit.predict(reference_size)
}

/// Returns a service text with `pools` pools and as many hosts per pool as the reference fleet,
/// whose 186 pools need 458 hosts besides two spare hosts each.
fn text_of(pools: usize) -> ServiceText {
    FleetDemand::new(pools, pools * 458 / 186, 5).with_fixed_spare(2)
}

/// Returns the TOML source of a generated service text, as an operator would write it.
fn source_of(text: &ServiceText) -> String {
    let mut source = "deployment = \"generated\"\n".to_owned();
    for id in text.data_centres.keys() {
        source += &format!("\n[[data_centres]]\nname = \"{id}\"\nregion = \"one\"\n");
    }
    for service in text.services.values() {
        source += &format!(
            "\n[[services]]\nname = \"{}\"\npath = \"{}\"\navailability = \"{}\"\n",
            service.id, service.path, service.availability
        );
    }
    let list = |hosts: &[zincpier::id::HostId]| {
        let quoted = hosts.iter().map(|host| format!("\"{host}\""));
        quoted.collect::<Vec<_>>().join(", ")
    };
    for rack in text.racks.values() {
        source += &format!(
            "\n[[racks]]\nname = \"{}\"\ndata_centre = \"{}\"\nhosts = [{}]\n",
            rack.id,
            rack.data_centre,
            list(&rack.hosts)
        );
    }
    for pool in text.pools.values() {
        source += &format!(
            "\n[[pools]]\nname = \"{}\"\nservice = \"{}\"\nrole = \"executor\"\nneeded = {}\nhosts = [{}]\n",
            pool.id, pool.service, pool.needed, list(&pool.hosts)
        );
    }
    source
}

fn host_list_of(text: &ServiceText) -> HostList {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut list = HostList::new();
    list.merge(HostChanges {
        revision: Revision::new(1),
        hosts: host_records(text, |_| Some(address)),
    });
    list
}

/// Returns the time of one call in microseconds: the minimum of the averages of three runs of
/// 60 ms.
fn micros_per_call(mut call: impl FnMut()) -> f64 {
    let run = |call: &mut dyn FnMut()| {
        let started = Instant::now();
        let mut calls = 0;
        while started.elapsed() < Duration::from_millis(60) {
            call();
            calls += 1;
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    };
    (0..3).map(|_| run(&mut call)).fold(f64::MAX, f64::min)
}

/// Measures the cost of a service text and of the host list.
///
/// Returns, at the size of the reference fleet, the bytes of the text and the time to parse it and
/// to build the routing table, in microseconds.
fn measure_text_costs() -> (f64, f64) {
    let (mut bytes, mut parse, mut build, mut list_bytes) = (vec![], vec![], vec![], vec![]);
    for pools in [46, 93, 186, 372] {
        let text = text_of(pools);
        let hosts = text.initial_pools_by_host().len() as f64;
        let source = source_of(&text);
        let list = host_list_of(&text);
        let placement = Placement::new();
        bytes.push((hosts, source.len() as f64));
        parse.push((
            hosts,
            micros_per_call(|| drop(black_box(ServiceText::parse("bench", &source)))),
        ));
        build.push((
            hosts,
            micros_per_call(|| drop(black_box(RoutingTable::new(&text, &placement, &list)))),
        ));
        list_bytes.push((
            hosts,
            serde_json::to_vec(&list.changed_since(Revision::new(0)))
                .unwrap()
                .len() as f64,
        ));
    }
    let reference_hosts = 830.0;
    let size = print_fit("service text, bytes", "host", &bytes, reference_hosts);
    let parse = print_fit("parse of the text, us", "host", &parse, reference_hosts);
    let build = print_fit("routing table, us", "host", &build, reference_hosts);
    print_fit(
        "complete host list, bytes as JSON",
        "host",
        &list_bytes,
        reference_hosts,
    );
    (size, parse + build)
}

/// Measures the time to pick a server, compute a slot share, build the view of the fleet and plan
/// repairs.
fn measure_decision_costs() {
    let (mut pick, mut share, mut plan, mut view_times) = (vec![], vec![], vec![], vec![]);
    for servers in [8, 32, 128, 512] {
        let text = FleetDemand::new(1, servers, 1).with_fixed_spare(0);
        let list = host_list_of(&text);
        let table = RoutingTable::new(&text, &Placement::new(), &list);
        let route = table.routes().next().unwrap();
        let allocator = SlotAllocator::new();
        let full = SlotShare {
            reserve: 4,
            full: 8,
        };
        let shares = route
            .servers
            .iter()
            .map(|server| (server.host.clone(), full));
        allocator.set_shares(&shares.collect::<HashMap<_, _>>());
        let health = ServerHealth::new();
        let data_centre = route.servers[0].data_centre.clone();
        let mut random = rand::rng();
        let now = Instant::now();
        let micros = micros_per_call(|| {
            let picker = ServerPicker::new(&allocator, &health, now, now);
            let server = picker
                .pick(&route.servers, &data_centre, &[], true, &mut random)
                .unwrap();
            allocator.release(&server.host);
        });
        pick.push((servers as f64, micros * 1_000.0));
    }
    for pools in [46, 93, 186, 372] {
        let text = Arc::new(text_of(pools));
        let hosts = text.initial_pools_by_host().len() as f64;
        let list = host_list_of(&text);
        view_times.push((
            hosts,
            micros_per_call(|| {
                drop(black_box(FleetView::from_facts(
                    &text,
                    &Placement::new(),
                    &list,
                )))
            }),
        ));
        let view = FleetView::from_facts(&text, &Placement::new(), &host_list_of(&text));
        let tracker = BudgetTracker::full(&text);
        plan.push((
            hosts,
            micros_per_call(|| drop(black_box(SparePlanner::new(&view, &tracker).repairs()))),
        ));
    }
    for entries in [7, 35, 105] {
        let members = members_of(entries);
        let entry = "entry-000".parse::<EntryId>().unwrap();
        let host = "h".parse().unwrap();
        let data_centre = "dc-0".parse().unwrap();
        let micros = micros_per_call(|| {
            black_box(slot_share(&members, &entry, &host, &data_centre, 8));
        });
        share.push((entries as f64, micros * 1_000.0));
    }
    print_fit(
        "pick of a backend server, ns",
        "server of the service",
        &pick,
        50.0,
    );
    print_fit(
        "slot share of one server, ns",
        "entry host",
        &share,
        ENTRY_HOSTS,
    );
    print_fit("view of the fleet, us", "host", &view_times, 830.0);
    print_fit("plan of repairs, us", "host", &plan, 830.0);
}

fn members_of(entries: usize) -> MemberSet {
    (0..entries).fold(MemberSet::new(), |set, number| {
        let identity = EntryIdentity {
            entry: format!("entry-{number:03}").parse().unwrap(),
            incarnation: Incarnation::new(1),
            data_centre: format!("dc-{}", number % 5).parse().unwrap(),
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        set.with_member(identity.entry.clone(), identity.member(false))
    })
}

/// Measures `entries` idle daemons, alternating between two data centres.
///
/// Returns per daemon the processor time (% of a core), memory (kB), heartbeat bytes and table
/// reads per second, then the table writes per second of all daemons together.
fn measure_idle_daemons(entries: usize) -> (f64, f64, f64, f64, f64) {
    let names =
        (0..entries).map(|number| (format!("entry-{number:03}"), ["east", "west"][number % 2]));
    let names = names.collect::<Vec<_>>();
    let mut system = TestSystem::start(&small_text(), "1", &[]);
    for (name, data_centre) in &names {
        let daemon = system.start_daemon_with(
            name,
            data_centre,
            system.platform,
            "peers = \"127.0.0.1:0\"\n",
        );
        system.daemons.push(daemon);
    }
    system.apply(&small_text(), 0);
    common::wait_for("all entry hosts are members", || {
        let status = system.daemons[0].status();
        status["entries"].as_array().unwrap().len() == entries
    });
    thread::sleep(Duration::from_secs(3));
    let before = sample_counters(&system);
    thread::sleep(IDLE_DURATION);
    let after = sample_counters(&system);
    let seconds = IDLE_DURATION.as_secs_f64();
    let daemon_seconds = seconds * entries as f64;
    let cpu = (after.0 - before.0) / TICKS_PER_SECOND / daemon_seconds;
    let memory = after.1 / entries as f64;
    let bytes = (after.2 - before.2) / daemon_seconds;
    let reads = (after.3 - before.3) / daemon_seconds;
    let writes = (after.4 - before.4) / seconds;
    (cpu * 100.0, memory, bytes, reads, writes)
}

/// Returns clock ticks, resident kB, heartbeat bytes, table reads and table writes, each summed
/// over all daemons.
fn sample_counters(system: &TestSystem) -> (f64, f64, f64, f64, f64) {
    let (mut ticks, mut memory, mut bytes) = (0.0, 0.0, 0.0);
    for daemon in &system.daemons {
        let (resident_kb, used_ticks) = daemon.process.resource_usage();
        ticks += used_ticks as f64;
        memory += resident_kb as f64;
        let metrics = daemon.metrics();
        let heartbeats = metrics
            .lines()
            .find(|line| line.starts_with("zincpier_peer_beats"));
        let heartbeats = heartbeats
            .and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .unwrap_or(0.0);
        bytes += heartbeats * heartbeat_bytes();
    }
    let counts = common::call(system.platform, "GET", "/counts", &[], "").json();
    let count = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    (
        ticks,
        memory,
        bytes,
        count("reads") + count("lists") + count("scans"),
        count("writes"),
    )
}

/// Returns the bytes of one exchange of heartbeats: one that is received and one that is sent.
fn heartbeat_bytes() -> f64 {
    let heartbeat = PeerHeartbeat {
        entry: "entry-000".parse().unwrap(),
        incarnation: Incarnation::new(1),
        facts: [Revision::new(1); 3],
        hosts: Revision::new(1),
        text_in_force: Revision::new(1),
        applied_member_set: Revision::new(1),
    };
    // Frame length, call number, deadline and trace context: about as long as the heartbeat.
    const ENVELOPE_BYTES: f64 = 64.0;
    let body = 8.0 + heartbeat.entry.as_str().len() as f64 + 8.0 * 7.0;
    2.0 * (body + ENVELOPE_BYTES)
}

/// Changes a service text of the reference size on seven entry hosts, and measures how soon it is
/// in force and the bytes that each of the six hosts that did not apply it fetches from its peers.
fn measure_text_changes() {
    const CHANGES: u64 = 5;
    let source = source_of(&text_of(186));
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let mut system = TestSystem::start(&small_text(), "1", &[]);
    for name in names {
        let lines = "peers = \"127.0.0.1:0\"\nbody_bytes = 4000000\n";
        let daemon = system.start_daemon_with(name, "dc-0", system.platform, lines);
        system.daemons.push(daemon);
    }
    let min_revision = |system: &TestSystem| {
        let status = system.daemons.iter().map(|daemon| daemon.status());
        let revisions = status.map(|status| status["text_in_force"].as_u64().unwrap());
        revisions.min().unwrap()
    };
    let fetched = |system: &TestSystem| -> f64 {
        let metrics = system.daemons.iter().map(common::DaemonProcess::metrics);
        let bytes = metrics.map(|text| {
            let line = text
                .lines()
                .find(|line| line.starts_with("zincpier_peer_fetched"));
            line.unwrap()
                .rsplit(' ')
                .next()
                .unwrap()
                .parse::<f64>()
                .unwrap()
        });
        bytes.sum()
    };
    let mut revision = system.apply(&source, 0).json().as_u64().unwrap();
    common::wait_for("the first service text is in force", || {
        min_revision(&system) >= revision
    });
    thread::sleep(Duration::from_secs(3));
    let before = fetched(&system);
    let mut longest = Duration::ZERO;
    for _ in 0..CHANGES {
        let started = Instant::now();
        revision = system.apply(&source, revision).json().as_u64().unwrap();
        common::wait_for("the changed service text is in force", || {
            min_revision(&system) >= revision
        });
        longest = longest.max(started.elapsed());
        thread::sleep(Duration::from_millis(500));
    }
    let bytes = (fetched(&system) - before) / (CHANGES * 6) as f64;
    println!(
        "a text of {} bytes: {bytes:.0} bytes fetched from peers by each of six others, in force on all after {} ms at most",
        source.len(),
        longest.as_millis()
    );
}

/// Restarts all entry hosts at once, and measures the time until they serve and the calls to the
/// platform.
fn measure_restart() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let data_centre = |index: usize| ["east", "west"][index % 2];
    let daemons = names
        .iter()
        .enumerate()
        .map(|(index, name)| (*name, data_centre(index)));
    let mut system = TestSystem::start_ready(&small_text(), "1", &daemons.collect::<Vec<_>>());
    let calls = |system: &TestSystem| {
        let counts = common::call(system.platform, "GET", "/counts", &[], "").json();
        let count = |name: &str| counts[name].as_f64().unwrap_or(0.0);
        (
            count("reads") + count("lists") + count("scans"),
            count("writes"),
        )
    };
    let before = calls(&system);
    let started = Instant::now();
    for daemon in &system.daemons {
        daemon.process.signal("-KILL");
    }
    system.daemons.clear();
    for (index, name) in names.iter().enumerate() {
        let daemon = system.start_daemon_with(
            name,
            data_centre(index),
            system.platform,
            "peers = \"127.0.0.1:0\"\n",
        );
        system.daemons.push(daemon);
    }
    system.wait_ready();
    let time = started.elapsed();
    let after = calls(&system);
    println!(
        "restart of 7 entry hosts at once: all serve after {:.2} s, {:.0} reads and {:.0} writes",
        time.as_secs_f64(),
        after.0 - before.0,
        after.1 - before.1
    );
}

/// Kills the holder of the controller lease and measures the time until another host holds it.
fn measure_takeover() {
    let names = [("a", "east"), ("b", "west"), ("c", "east")];
    let system = TestSystem::start_ready(&small_text(), "1", &names);
    let lease = || {
        let keys = r#"{"keys":["lease/controller"]}"#;
        let rows = common::call(system.platform, "POST", "/table/read", &[], keys).json();
        let holder = rows[0]["value"]["holder"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        (holder, rows[0]["value"]["epoch"].as_u64().unwrap_or(0))
    };
    common::wait_for("the lease is held", || lease().1 > 0);
    let (holder, epoch) = lease();
    let index = names.iter().position(|(name, _)| *name == holder).unwrap();
    let started = Instant::now();
    system.daemons[index].process.signal("-KILL");
    common::wait_for("the lease is taken over", || lease().1 > epoch);
    println!(
        "time without a controller after a kill: {:.1} s",
        started.elapsed().as_secs_f64()
    );
}

fn main() {
    if std::env::args().any(|argument| argument == "--recovery") {
        measure_restart();
        measure_takeover();
        measure_text_changes();
        return;
    }
    println!("== text, host list, routing");
    let (text_bytes, install_us) = measure_text_costs();
    println!("== decisions");
    measure_decision_costs();
    println!("== membership and polls of the platform (idle daemons, poll interval 1 s)");
    let (mut cpu, mut memory, mut bytes, mut reads, mut writes) =
        (vec![], vec![], vec![], vec![], vec![]);
    for entries in [3, 7, 20, 40] {
        let costs = measure_idle_daemons(entries);
        let entry_count = entries as f64;
        cpu.push((entry_count, costs.0));
        memory.push((entry_count, costs.1));
        bytes.push((entry_count, costs.2));
        reads.push((entry_count, costs.3));
        writes.push((entry_count, costs.4));
    }
    print_fit(
        "processor, % of a core each",
        "entry host",
        &cpu,
        ENTRY_HOSTS,
    );
    print_fit("memory, kB each", "entry host", &memory, ENTRY_HOSTS);
    print_fit(
        "heartbeats, bytes a second each",
        "entry host",
        &bytes,
        ENTRY_HOSTS,
    );
    print_fit(
        "platform calls a second each",
        "entry host",
        &reads,
        ENTRY_HOSTS,
    );
    println!("table writes a second, all: {writes:?}");
    println!("== recovery");
    measure_restart();
    measure_takeover();
    measure_text_changes();
    println!("== changes at the rate of the reference fleet");
    let text_changes = TEXT_CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "text changes: {:.0} bytes/s and {:.3}% of a core each",
        text_bytes * text_changes,
        install_us * text_changes / 1e4
    );
    let host_changes = HOST_CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "host changes: {:.5} a second, {:.4}% of a core each for routing tables",
        host_changes,
        install_us * host_changes / 1e4
    );
}
