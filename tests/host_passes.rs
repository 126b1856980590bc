//! Guards against decisions about hosts that wait until all commands of the last ones are answered.

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
use zincpier::id::HostId;
use zincpier::process::ShutdownSignal;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::PoolConfig;
use zincpier::workflow::WaveRequest;
use zincpier::workflow::WorkerEntry;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// Time within which a controller of an idle fleet begins.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which a host that is due gets its upkeep, besides the second for which the one before
/// it counts as down.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Most commands of a kind that may be on their way together.
const MAX_COMMANDS: usize = 64;

fn host(index: usize) -> HostId {
    format!("host-w-{index}").parse().unwrap()
}

fn wave(hosts: impl Iterator<Item = usize>, max_down: usize) -> WaveRequest {
    WaveRequest {
        wave: "1".parse().unwrap(),
        hosts: hosts.map(host).collect(),
        unreadable_hosts: 0,
        deadline_ms: 60_000,
        max_down,
    }
}

fn start_entry(fleet: &Rc<FakeFleet>, name: &str, shutdown: &ShutdownSignal) -> Rc<FakeLink> {
    let options = EntryOptions {
        shutdown: shutdown.clone(),
        ..EntryOptions::default()
    };
    start_entry_with(fleet, name, options)
}

/// Submits a job of `tasks` tasks, each of an eighth of a host.
async fn submit(link: &Rc<FakeLink>, tasks: u32) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(tasks)],
        schedule: None,
    };
    let id = fixtures::JOB.parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    intake
        .submit(&id, &spec, &CallerScope::Everything, deadline)
        .await;
}

/// Waits until `is_met`, at most for `limit`. Returns whether it is.
async fn wait_until<F: Fn() -> bool>(is_met: F, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while !is_met() && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    is_met()
}

fn has_upkeep(fleet: &FakeFleet, index: usize) -> bool {
    let upkeeps = fleet.upkeeps.borrow();
    upkeeps.iter().any(|(_, taken)| *taken == host(index))
}

/// Returns a configuration with a second service and hosts in standby.
fn config_with_standby() -> FleetConfig {
    let mut config = fixtures::config();
    for (service, standby) in [("standby", true), ("render", false)] {
        config.pools.push(PoolConfig {
            service: service.parse().unwrap(),
            rejects_overload: true,
            standby,
        });
    }
    config
}

fn worker_of(service: &str, index: usize) -> WorkerEntry {
    WorkerEntry {
        service: service.parse().unwrap(),
        ..fixtures::worker_entry(index)
    }
}

/// One host whose upkeep isn't answered would delay its whole wave by the time limit of the call.
#[test]
fn upkeep_without_an_answer_holds_up_no_other_of_its_wave() {
    run(async {
        // Arrange: of two hosts that go down together, one does not answer.
        let entries = (0..3).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        fleet.silent_hosts.borrow_mut().insert(host(0));
        let _link = start_entry(&fleet, "boston-1", &ShutdownSignal::new());

        // Act.
        fleet.start_wave(wave(0..3, 2));
        let is_begun = wait_until(|| has_upkeep(&fleet, 1), TIMEOUT).await;
        let is_next_begun =
            wait_until(|| has_upkeep(&fleet, 2), Duration::from_secs(1) + MAX_DELAY).await;

        // Assert.
        assert!(is_begun);
        assert!(
            is_next_begun,
            "the third host waits for the first one's answer"
        );
        assert_eq!(
            *fleet.unanswered.borrow(),
            [host(0)],
            "commanded while a command is on its way"
        );
        assert!(!fleet.wave_complete.get());
    });
}

/// One host whose move isn't answered would delay all waves by the time limit of the call.
#[test]
fn move_without_an_answer_holds_up_no_upkeep() {
    run(async {
        // Arrange: demand beyond the only host of its pool, and a standby host that does not answer.
        let entries = vec![
            fixtures::worker_entry(0),
            worker_of("standby", 1),
            worker_of("render", 2),
        ];
        let fleet = FakeFleet::new(config_with_standby(), entries);
        fleet.silent_hosts.borrow_mut().insert(host(1));
        fleet.task_ms.set(60_000);
        let link = start_entry(&fleet, "boston-1", &ShutdownSignal::new());
        submit(&link, 12).await;
        let is_moving = wait_until(|| !fleet.unanswered.borrow().is_empty(), TIMEOUT).await;

        // Act.
        fleet.start_wave(wave(2..3, 1));
        let is_begun = wait_until(|| has_upkeep(&fleet, 2), MAX_DELAY).await;

        // Assert.
        assert!(is_moving);
        assert!(is_begun, "the upkeep waits for the answer about the move");
        assert_eq!(
            *fleet.unanswered.borrow(),
            [host(1)],
            "commanded while a command is on its way"
        );
    });
}

/// Hundreds of commands at once would be refused by the platform or fill the link; those that still
/// wait when the lease is released would reach hosts that the next holder commands.
#[test]
fn commands_that_wait_are_not_sent_after_the_lease_is_released() {
    run(async {
        // Arrange: a wave of more hosts than may be commanded together, none of which answers.
        let hosts = MAX_COMMANDS + 20;
        let entries = (0..hosts).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        fleet.silent_hosts.borrow_mut().extend((0..hosts).map(host));
        fleet.silence.set(Duration::from_millis(800));
        let shutdown = ShutdownSignal::new();
        let _link = start_entry(&fleet, "boston-1", &shutdown);
        fleet.start_wave(wave(0..hosts, hosts));
        let is_begun = wait_until(|| !fleet.unanswered.borrow().is_empty(), TIMEOUT).await;
        sleep(Duration::from_millis(200)).await;
        let sent = fleet.unanswered.borrow().len();

        // Act.
        shutdown.close();
        sleep(Duration::from_secs(2)).await;

        // Assert.
        assert!(is_begun);
        assert_eq!(sent, MAX_COMMANDS);
        assert_eq!(fleet.unanswered.borrow().len(), sent);
    });
}

/// A task that starts on a host while its upkeep is commanded would be ended by it.
#[test]
fn no_task_starts_on_a_host_whose_upkeep_is_commanded() {
    run(async {
        // Arrange: the upkeep of one of two empty hosts is not answered.
        let entries = (0..2).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        fleet.silent_hosts.borrow_mut().insert(host(0));
        fleet.task_ms.set(60_000);
        let link = start_entry(&fleet, "boston-1", &ShutdownSignal::new());
        fleet.start_wave(wave(0..1, 1));
        let is_commanded = wait_until(|| !fleet.unanswered.borrow().is_empty(), TIMEOUT).await;

        // Act.
        submit(&link, 12).await;
        let is_full = wait_until(|| fleet.start_workers.borrow().len() >= 8, MAX_DELAY).await;
        sleep(Duration::from_millis(300)).await;

        // Assert.
        assert!(is_commanded);
        assert!(is_full);
        let start_workers = fleet.start_workers.borrow();
        let on_commanded = start_workers
            .iter()
            .filter(|worker| worker.as_str() == "w-0");
        assert_eq!(on_commanded.count(), 0);
    });
}

/// A short pool would wait for that host, whose move is sent several times a second.
#[test]
fn host_whose_move_is_refused_does_not_stand_in_for_others() {
    run(async {
        // Arrange: demand beyond the only host of its pool, and two standby hosts.
        let entries = vec![
            fixtures::worker_entry(0),
            worker_of("standby", 1),
            worker_of("standby", 2),
        ];
        let fleet = FakeFleet::new(config_with_standby(), entries);
        fleet.refused_hosts.borrow_mut().insert(host(1));
        fleet.task_ms.set(60_000);
        let link = start_entry(&fleet, "boston-1", &ShutdownSignal::new());

        // Act.
        submit(&link, 12).await;
        let is_moved = |index| fleet.moves.borrow().contains(&host(index));
        let is_refused = wait_until(|| is_moved(1), TIMEOUT).await;
        let is_next_moved = wait_until(|| is_moved(2), MAX_DELAY).await;
        sleep(Duration::from_secs(2)).await;

        // Assert: the refused move is sent again after pauses of 1 and 2 s.
        assert!(is_refused);
        assert!(is_next_moved);
        let moves = fleet.moves.borrow();
        let refused = moves.iter().filter(|moved| **moved == host(1));
        let refused = refused.count();
        assert!((1..=3).contains(&refused), "{refused} moves in 3 s");
    });
}
