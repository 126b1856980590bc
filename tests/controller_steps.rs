//! Tests the wave controller against an in-memory platform, with a failure at each of its calls.

#[path = "common/fake_platform.rs"]
mod fake_platform;
#[path = "common/fake_table.rs"]
mod fake_table;
#[path = "common/runtime.rs"]
mod runtime;

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::select;
use futures::future::Either;

use zincpier::id::HostId;
use zincpier::id::Incarnation;
use zincpier::id::Revision;
use zincpier::id::WaveId;
use zincpier::process::AuditLog;
use zincpier::process::EntryIdentity;
use zincpier::process::HostPhase;
use zincpier::process::HostPlacement;
use zincpier::process::MemberSet;
use zincpier::process::PeerState;
use zincpier::process::Placement;
use zincpier::process::RoleLease;
use zincpier::process::SlotShare;
use zincpier::provider::AuditRecord;
use zincpier::version::FactKind;
use zincpier::version::ServiceText;
use zincpier::wave::wave_key;
use zincpier::wave::WaveController;
use zincpier::wave::WaveRecord;
use zincpier::wave::WaveState;
use zincpier::wave::WAVE_PREFIX;

use crate::fake_platform::CrashPoint;
use crate::fake_platform::FakePlatform;
use crate::runtime::run;

/// Passes within which a wave must reach a state, or over which its hosts must not change.
const MAX_PASSES: usize = 200;
/// Row that the lease holder renews. Without it, another process can acquire the lease at once.
const RENEWAL_ROW: &str = "lease/controller/renewal";

/// A service whose pool needs one of four hosts, each in its own rack.
fn text() -> Arc<ServiceText> {
    text_with_hosts(4)
}

/// The same service text with only the first `hosts` hosts.
fn text_with_hosts(hosts: usize) -> Arc<ServiceText> {
    let names = (1..=hosts).map(|number| format!("\"h{number}\""));
    let names = names.collect::<Vec<_>>().join(", ");
    let racks = (1..=hosts).map(|number| {
        format!(
            "[[racks]]\nname = \"r{number}\"\ndata_centre = \"east\"\nhosts = [\"h{number}\"]\n"
        )
    });
    let text = format!(
        "deployment = \"test\"\n[[data_centres]]\nname = \"east\"\nregion = \"one\"\n\
         [[services]]\nname = \"notices\"\npath = \"/notices\"\navailability = \"99.9\"\n{}\
         [[pools]]\nname = \"executors\"\nservice = \"notices\"\nrole = \"executor\"\nneeded = 1\n\
         hosts = [{names}]\n",
        racks.collect::<String>()
    );
    Arc::new(ServiceText::parse("text", &text).unwrap())
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn identity(name: &str, incarnation: u64) -> EntryIdentity {
    EntryIdentity {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        data_centre: "east".parse().unwrap(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

/// An entry host that is the only member and competes for the controller's lease.
struct Controller {
    state: Arc<PeerState>,
    lease: Rc<RoleLease<FakePlatform>>,
    wave_controller: WaveController<FakePlatform>,
}

impl Controller {
    async fn new(platform: &Rc<FakePlatform>, incarnation: u64) -> Self {
        let identity = identity("entry-1", incarnation);
        let member = identity.member(false);
        let set = MemberSet::new().with_member(identity.entry.clone(), member);
        platform.store(FactKind::Members.row_key(), &set);
        let (state, _) = PeerState::new(identity.clone());
        let state = Arc::new(state);
        state.set_text_in_force(Revision::new(1), text());
        let lease = RoleLease::new(Rc::clone(platform), identity, "controller");
        let lease = Rc::new(lease);
        let wave_controller = WaveController::new(
            Rc::clone(platform),
            Arc::clone(&state),
            Rc::new(AuditLog::new(Rc::clone(platform))),
            Rc::clone(&lease),
        );
        Self {
            state,
            lease,
            wave_controller,
        }
    }

    /// Copies the platform's rows and host list into the local state, as a daemon's other tasks
    /// do.
    fn copy_platform_state(&self, platform: &FakePlatform) {
        for kind in [FactKind::Members, FactKind::Placement] {
            if let Some(row) = platform.table.row(kind.row_key()) {
                let value = serde_json::to_vec(&row.value).unwrap();
                self.state.facts.update_if_newer(kind, row.revision, &value);
            }
        }
        self.state.merge_hosts(platform.host_changes());
        let fact = self.state.facts.get(FactKind::Placement);
        let placement = Placement::from_fact(&fact);
        let closed = placement.closed_hosts().cloned().collect::<BTreeSet<_>>();
        self.state
            .allocator
            .install_placement(fact.revision, closed);
    }

    /// Runs one pass and returns whether the process survived it.
    async fn run_pass(&self, platform: &FakePlatform) -> bool {
        self.copy_platform_state(platform);
        let pass = Box::pin(async {
            self.lease.poll().await.unwrap();
            self.wave_controller.run_pass().await.unwrap();
        });
        matches!(
            select(pass, Box::pin(platform.wait_for_crash())).await,
            Either::Left(_)
        )
    }
}

fn start_wave(platform: &FakePlatform) -> String {
    let text = text();
    let hosts = text.pools.values().flat_map(|pool| pool.hosts.clone());
    let id = "wave-1".parse().unwrap();
    let key = wave_key(&id);
    let scope = "pool:executors".parse().unwrap();
    platform.store(&key, &WaveRecord::new(id, scope, hosts.collect(), 1));
    key
}

fn wave_in(platform: &FakePlatform, key: &str) -> WaveRecord {
    serde_json::from_value(platform.table.row(key).unwrap().value).unwrap()
}

fn placement_in(platform: &FakePlatform) -> Placement {
    let row = platform.table.row(FactKind::Placement.row_key());
    row.map_or_else(Placement::new, |row| {
        serde_json::from_value(row.value).unwrap()
    })
}

fn assert_capacity_is_kept(platform: &FakePlatform) {
    let closed = placement_in(platform).closed_hosts().count();
    // Of four hosts one must serve, even after the loss of one more rack.
    assert!(closed <= 2, "{closed} hosts are closed");
}

fn audit_transcript(platform: &FakePlatform) -> String {
    let mut transcript = String::new();
    for row in platform.table.rows_with_prefix("audit/") {
        let record = serde_json::from_value::<AuditRecord>(row.value).unwrap();
        writeln!(transcript, "{}: {}", record.action, record.after).unwrap();
    }
    transcript
}

/// Runs a wave to its end and returns the platform. The controller's process dies at the call that
/// `fault` names, and a new one takes over.
async fn wave_with_fault(fault: Option<CrashPoint>) -> Rc<FakePlatform> {
    let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
    let key = start_wave(&platform);
    let mut incarnation = 1;
    let mut controller = Controller::new(&platform, incarnation).await;
    platform.set_crash_point(fault);
    for _ in 0..MAX_PASSES {
        if !controller.run_pass(&platform).await {
            incarnation += 1;
            platform.table.remove(RENEWAL_ROW);
            controller = Controller::new(&platform, incarnation).await;
        }
        assert_capacity_is_kept(&platform);
        if wave_in(&platform, &key).state == WaveState::Finished {
            break;
        }
    }
    assert_eq!(wave_in(&platform, &key).state, WaveState::Finished);
    platform
}

/// Guards against steps that are skipped, repeated or out of order in a wave without faults.
#[test]
fn wave_without_faults_advances_step_by_step() {
    run(async {
        let platform = wave_with_fault(None).await;

        insta::assert_snapshot!(audit_transcript(&platform));
        assert_eq!(platform.boots(), [1, 1, 1, 1]);
    });
}

/// Guards against skipped or repeated restarts when the controller's process dies at any of its
/// calls to the platform, before or after the call takes effect.
#[test]
fn next_controller_finishes_wave_after_a_kill_at_any_call() {
    run(async {
        let call_count = wave_with_fault(None).await.call_count();
        for call in 1..=call_count {
            for fault in [
                CrashPoint::BeforeEffect(call),
                CrashPoint::AfterEffect(call),
            ] {
                let platform = wave_with_fault(Some(fault)).await;

                assert_eq!(platform.boots(), [1, 1, 1, 1], "{fault:?}");
                assert!(placement_in(&platform).hosts().is_empty(), "{fault:?}");
            }
        }
    });
}

/// Runs passes until the wave's row fulfils `reached`.
async fn run_until(
    platform: &FakePlatform,
    controller: &Controller,
    key: &str,
    reached: impl Fn(&WaveRecord) -> bool,
) {
    for _ in 0..MAX_PASSES {
        if reached(&wave_in(platform, key)) {
            return;
        }
        assert!(controller.run_pass(platform).await);
    }
    panic!(
        "state not reached within {MAX_PASSES} passes: {:?}",
        wave_in(platform, key)
    );
}

/// Sets the wave's state in its row, as an operator's request does.
fn set_wave_state(platform: &FakePlatform, key: &str, state: WaveState) {
    let mut record = wave_in(platform, key);
    record.state = state;
    platform.store(key, &record);
}

/// Guards against a wave that continues although maintained hosts fail after their restart.
#[test]
fn failures_after_maintenance_hold_the_wave() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        let key = start_wave(&platform);
        let controller = Controller::new(&platform, 1).await;
        run_until(&platform, &controller, &key, |wave| wave.done.len() == 3).await;

        platform.set_down("h1", true);
        platform.set_down("h2", true);
        let held = |wave: &WaveRecord| matches!(wave.state, WaveState::Held(_));
        run_until(&platform, &controller, &key, held).await;
        let boots = platform.boots();
        for _ in 0..MAX_PASSES {
            controller.run_pass(&platform).await;
        }
        let later = platform.boots();
        platform.set_down("h1", false);
        platform.set_down("h2", false);
        set_wave_state(&platform, &key, WaveState::Running);
        let finished = |wave: &WaveRecord| wave.state == WaveState::Finished;
        run_until(&platform, &controller, &key, finished).await;

        assert_eq!(boots, later);
        assert_eq!(platform.boots(), [1, 1, 1, 1]);
        insta::assert_snapshot!(audit_transcript(&platform));
    });
}

/// Guards against a closed host that is restarted or not reopened when the wave is held before the
/// host is stopped.
#[test]
fn hold_before_the_stop_reopens_the_host() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        let key = start_wave(&platform);
        let controller = Controller::new(&platform, 1).await;
        run_until(&platform, &controller, &key, |wave| wave.stopped.len() == 1).await;

        set_wave_state(&platform, &key, WaveState::Held("an operator".to_owned()));
        for _ in 0..MAX_PASSES {
            controller.run_pass(&platform).await;
        }
        let held = (platform.boots(), placement_in(&platform));
        set_wave_state(&platform, &key, WaveState::Running);
        let finished = |wave: &WaveRecord| wave.state == WaveState::Finished;
        run_until(&platform, &controller, &key, finished).await;

        assert_eq!(held.0, [0, 0, 0, 0]);
        assert!(held.1.hosts().is_empty());
        insta::assert_snapshot!(audit_transcript(&platform));
    });
}

/// Guards against a wave that never finishes because a pending host is no longer listed.
#[test]
fn wave_skips_host_dropped_from_the_service_text() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        let key = start_wave(&platform);
        let controller = Controller::new(&platform, 1).await;
        run_until(&platform, &controller, &key, |wave| wave.done.len() == 1).await;

        controller
            .state
            .set_text_in_force(Revision::new(2), text_with_hosts(3));
        let finished = |wave: &WaveRecord| wave.state == WaveState::Finished;
        run_until(&platform, &controller, &key, finished).await;

        assert_eq!(platform.boots(), [1, 1, 1, 0]);
        insta::assert_snapshot!(audit_transcript(&platform));
    });
}

/// Guards against interrupted requests: a new member may send requests to a host until it has
/// received the placement.
#[test]
fn member_that_joins_before_a_stop_must_acknowledge() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        let key = start_wave(&platform);
        let controller = Controller::new(&platform, 1).await;
        run_until(&platform, &controller, &key, |wave| wave.stopped.len() == 1).await;
        controller.copy_platform_state(&platform);

        // The member joins after the controller has read the member set and before it commits.
        let new_member = identity("entry-2", 1);
        let set = MemberSet::from_fact(&controller.state.facts.get(FactKind::Members));
        let set = set.with_member(new_member.entry.clone(), new_member.member(false));
        platform.store(FactKind::Members.row_key(), &set);
        controller.wave_controller.run_pass().await.unwrap();
        let boots = platform.boots();
        let phases = placement_in(&platform)
            .hosts()
            .values()
            .map(|host_placement| host_placement.phase)
            .collect::<Vec<_>>();
        controller.run_pass(&platform).await;

        assert_eq!(boots, [0, 0, 0, 0]);
        assert_eq!(phases, [HostPhase::Leaving]);
        let waiting_for = wave_in(&platform, &key).waiting_for;
        assert!(waiting_for.contains("entry-2"), "{waiting_for}");
    });
}

/// Guards against a restart that waits for requests in flight to another host of the group.
#[test]
fn stopped_host_restarts_while_another_drains() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        let key = start_wave(&platform);
        let mut record = wave_in(&platform, &key);
        let mut placement = Placement::new();
        for (name, phase) in [("h1", HostPhase::Leaving), ("h2", HostPhase::Restarting)] {
            record.pending.remove(&host(name));
            record.stopped.insert(host(name));
            let host_placement = HostPlacement {
                pool: None,
                moving_to: None,
                pinned: false,
                phase,
                wave: Some(record.id.clone()),
                boots: 0,
            };
            placement.set(host(name), host_placement);
        }
        platform.store(&key, &record);
        platform.store(FactKind::Placement.row_key(), &placement);
        let controller = Controller::new(&platform, 1).await;
        let slot_share = SlotShare {
            reserve: 8,
            full: 8,
        };
        let shares = [(host("h1"), slot_share)].into_iter().collect();
        controller.state.allocator.set_shares(&shares);
        let now = Instant::now();
        let acquired =
            controller
                .state
                .allocator
                .acquire(&host("h1"), now, now + Duration::from_secs(60));

        for _ in 0..4 {
            assert!(controller.run_pass(&platform).await);
        }

        assert!(acquired);
        assert_eq!(platform.boots(), [0, 1, 0, 0]);
        assert!(!placement_in(&platform).is_closed(&host("h2")));
        assert!(placement_in(&platform).is_closed(&host("h1")));
    });
}

/// Guards against unlimited growth of the table by rows of ended waves.
#[test]
fn rows_of_oldest_ended_waves_are_deleted() {
    run(async {
        let platform = Rc::new(FakePlatform::new(&["h1", "h2", "h3", "h4"]));
        for number in 0..130 {
            let id = format!("wave-{number}").parse::<WaveId>().unwrap();
            let scope = "pool:executors".parse().unwrap();
            let mut record = WaveRecord::new(id.clone(), scope, BTreeSet::new(), number);
            record.state = WaveState::Aborted;
            record.ended_ms = Some(number);
            platform.store(&wave_key(&id), &record);
        }
        let controller = Controller::new(&platform, 1).await;

        assert!(controller.run_pass(&platform).await);

        let kept = platform.table.rows_with_prefix(WAVE_PREFIX);
        let ended = kept.iter().map(|row| row.value["ended_ms"].as_u64());
        assert_eq!(kept.len(), 100);
        assert_eq!(ended.min(), Some(Some(30)));
    });
}
