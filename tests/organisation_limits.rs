//! Limits on organisations as the controller publishes them and entry hosts use them.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeMap;
use std::rc::Rc;

use fixtures::config;
use fixtures::step;
use fixtures::EngineFleet;
use fixtures::QUEUE;
use fixtures::SERVICE;
use serde_json::json;
use zincpier::id::JobId;
use zincpier::id::OrganisationId;
use zincpier::id::Revision;
use zincpier::id::ServiceId;
use zincpier::process::EntryMetrics;
use zincpier::provider::TableRow;
use zincpier::workflow::check_admission;
use zincpier::workflow::check_rate;
use zincpier::workflow::job_position;
use zincpier::workflow::AdmissionWindow;
use zincpier::workflow::BacklogView;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::OrganisationLimits;
use zincpier::workflow::OrganisationMonitor;
use zincpier::workflow::PoolPressure;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::StepSpec;
use zincpier::workflow::WorkerResources;
use zincpier::workflow::LEADER_KEY;

/// The interval at which the controller measures, in ms.
const MEASURE_MS: u64 = 250;

fn organisation(id: &str, weight: f64) -> Organisation {
    Organisation {
        id: id.parse().unwrap(),
        keys: Vec::new(),
        priority: 0,
        weight: ShareWeight::new(weight),
        cap: ResourceCap::default(),
    }
}

fn config_with(organisations: Vec<Organisation>) -> FleetConfig {
    FleetConfig {
        organisations: Some(OrganisationDirectory::new(organisations)),
        ..config()
    }
}

fn north() -> OrganisationId {
    "north".parse().unwrap()
}

fn south() -> OrganisationId {
    "south".parse().unwrap()
}

fn service() -> ServiceId {
    SERVICE.parse().unwrap()
}

fn spec(organisation: &str) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_owned(),
        organisation: Some(organisation.parse().unwrap()),
        payload: String::new(),
        steps: vec![step(1)],
        schedule: None,
    }
}

fn job_id(number: u64) -> JobId {
    let number = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{number:016x}").parse().unwrap()
}

/// A controller's engine and monitor, with jobs that arrive and are not served. Entry hosts know the
/// last limits at once.
struct Controller {
    fleet: EngineFleet,
    monitor: OrganisationMonitor,
    metrics: Rc<EntryMetrics>,
    limits: OrganisationLimits,
    jobs: u64,
}

impl Controller {
    fn new(workers: usize, organisations: Vec<Organisation>) -> Self {
        let mut fleet = EngineFleet::new(workers);
        fleet.engine.config = Some(Rc::new(config_with(organisations)));
        let metrics = Rc::new(EntryMetrics::new());
        Self {
            fleet,
            monitor: OrganisationMonitor::new(Rc::clone(&metrics)),
            metrics,
            limits: OrganisationLimits::default(),
            jobs: 0,
        }
    }

    fn submit(&mut self, organisation: &str, count: u64) {
        for _ in 0..count {
            self.jobs += 1;
            let (id, now_ms) = (job_id(self.jobs), self.fleet.now_ms);
            let window = self
                .limits
                .window(&organisation.parse().unwrap(), &service());
            let refusal = window.and_then(|window| check_rate(&spec(organisation), &id, &window));
            if refusal.is_some() {
                continue;
            }
            self.fleet
                .engine
                .add_job(id, spec(organisation), None, now_ms);
        }
    }

    /// Runs for one interval, in which north and south submit so many jobs; then measures.
    fn step(&mut self, north: u64, south: u64) -> OrganisationLimits {
        self.submit("north", north);
        self.submit("south", south);
        self.fleet.advance(MEASURE_MS);
        self.fleet.place();
        self.measure()
    }

    fn measure(&mut self) -> OrganisationLimits {
        let now_ms = self.fleet.now_ms;
        let limits = self.monitor.measure(&mut self.fleet.engine, 0, now_ms);
        self.limits = limits.clone();
        limits
    }
}

/// Guards against a surge that is not limited while its pool is short, and against a limit or a wait
/// for an organisation that stays within its rate and share.
#[test]
fn organisation_beyond_its_rate_is_limited_while_its_pool_is_short() {
    let mut controller = Controller::new(
        1,
        vec![organisation("north", 4.0), organisation("south", 4.0)],
    );

    let limits = (0..8).map(|_| controller.step(20, 1)).last().unwrap();

    let window = limits.window(&north(), &service()).unwrap();
    assert!(
        (2.0..=8.0).contains(&window.percent()),
        "4 of 80 jobs a second are 5%: {window:?}"
    );
    assert_eq!(limits.window(&south(), &service()), None);
    assert!(limits.wait_ms(&north(), &service()) > 1_000, "{limits:?}");
    assert_eq!(limits.wait_ms(&south(), &service()), 0);
}

/// Guards against refusals for the rate while there is room.
#[test]
fn nothing_is_limited_without_a_shortage() {
    let mut controller = Controller::new(
        40,
        vec![organisation("north", 4.0), organisation("south", 4.0)],
    );

    let limits: Vec<_> = (0..8).map(|_| controller.step(20, 1)).collect();

    assert!(
        limits.iter().all(OrganisationLimits::is_empty),
        "{limits:?}"
    );
}

/// Guards against a cost or a statement where the configuration has no organisations.
#[test]
fn nothing_is_measured_without_organisations() {
    let mut controller = Controller::new(1, Vec::new());
    controller.fleet.engine.config = Some(Rc::new(config()));

    let limits = (0..8).map(|_| controller.step(20, 1)).last().unwrap();

    assert!(limits.is_empty(), "{limits:?}");
    let text = controller.metrics.to_text();
    assert!(!text.contains("organisation=\""), "{text}");
}

/// Guards against a new controller that limits organisations before it knows what they submit, and
/// against limits of a lost controller that stay in force.
#[test]
fn new_controller_publishes_no_limit_before_it_has_measured() {
    // Arrange: a controller has a limit in force.
    let organisations = vec![organisation("north", 4.0), organisation("south", 4.0)];
    let mut controller = Controller::new(1, organisations.clone());
    let old = (0..8).map(|_| controller.step(20, 1)).last().unwrap();
    assert!(old.windows.contains_key(&north()));
    let view = BacklogView::new();
    view.record_read(Some(&leader_row(7, &OrganisationLimits::default())), 1_000);
    view.record_read(Some(&leader_row(8, &old)), 1_300);
    let window = |now_ms| view.limits.window(&north(), &service(), now_ms);
    assert!(window(1_400).is_some());

    // Act: another one takes over with the same jobs.
    let fleet = &mut controller.fleet;
    let mut next = fleet.successor();
    next.engine.config = Some(Rc::new(config_with(organisations)));
    let mut monitor = OrganisationMonitor::new(Rc::new(EntryMetrics::new()));
    next.place();
    let now_ms = next.now_ms;
    let first = monitor.measure(&mut next.engine, 0, now_ms);

    // Assert.
    assert!(first.windows.is_empty(), "{first:?}");
    assert!(window(2_501).is_none(), "the old limit expires");
    view.record_read(Some(&leader_row(9, &first)), 1_600);
    assert!(window(1_700).is_none(), "the new row replaces it at once");
}

/// Guards against refusals at pools that have room because another pool is short.
#[test]
fn submissions_to_a_pool_with_room_are_not_limited() {
    let limits = OrganisationLimits {
        short: [service()].into(),
        windows: [(
            north(),
            AdmissionWindow {
                width: 33,
                first: 0,
                pace: 11,
            },
        )]
        .into(),
        ..OrganisationLimits::default()
    };

    assert!(limits.window(&north(), &service()).is_some());
    assert_eq!(limits.window(&north(), &"render".parse().unwrap()), None);
    assert_eq!(limits.window(&south(), &service()), None);
}

/// Guards against refusals by a limit whose age is unknown or high: entry hosts that don't reach the
/// table admit everything.
#[test]
fn limits_expire_when_the_leader_row_is_not_read() {
    let limits = OrganisationLimits {
        short: [service()].into(),
        windows: [(
            north(),
            AdmissionWindow {
                width: 33,
                first: 0,
                pace: 11,
            },
        )]
        .into(),
        waits: [(service(), [(north(), 9_000)].into())].into(),
    };
    let view = BacklogView::new();
    let queue = &config().queues[0];

    view.record_read(Some(&leader_row(7, &limits)), 1_000);
    assert_eq!(view.limits.window(&north(), &service(), 1_010), None);
    view.record_read(Some(&leader_row(8, &limits)), 1_300);

    let (window, age_ms) = view.limits.window(&north(), &service(), 1_310).unwrap();
    assert_eq!((window.width, age_ms), (33, 310));
    let (backlog, _) = view.get_for(queue, Some(&north()), 1_310).unwrap();
    assert_eq!(backlog.wait_ms, 9_000);
    assert!(view.limits.window(&north(), &service(), 2_500).is_some());
    assert_eq!(view.limits.window(&north(), &service(), 2_501), None);
    assert_eq!(view.get_for(queue, Some(&north()), 2_501), None);
}

/// Guards against an organisation that stays limited, or whose state stays in memory, after it was
/// removed from the configuration.
#[test]
fn removed_organisation_is_not_limited() {
    let mut controller = Controller::new(
        1,
        vec![organisation("north", 4.0), organisation("south", 4.0)],
    );
    (0..8).for_each(|_| {
        controller.step(20, 1);
    });

    let remaining = vec![organisation("south", 4.0)];
    controller.fleet.engine.config = Some(Rc::new(config_with(remaining)));
    let limits = controller.step(0, 1);
    controller.fleet.engine.config = Some(Rc::new(config_with(vec![
        organisation("north", 4.0),
        organisation("south", 4.0),
    ])));
    let after_return = controller.step(0, 1);

    assert!(limits.windows.is_empty(), "{limits:?}");
    assert!(after_return.windows.is_empty(), "{after_return:?}");
}

/// Guards against a leader row over the table's limit of 64 KB.
#[test]
fn limits_of_thousands_of_organisations_fit_the_leader_row() {
    let name = |number: usize| format!("{number:064}");
    let organisations = (0..5_000).map(|number| organisation(&name(number), 1.0));
    let mut controller = Controller::new(1, organisations.collect());

    let mut limits = OrganisationLimits::default();
    for _ in 0..6 {
        for number in 0..300 {
            controller.submit(&name(number), 3);
        }
        limits = controller.step(0, 0);
    }

    let bytes = serde_json::to_string(&limits).unwrap().len();
    assert_eq!(limits.windows.len(), OrganisationLimits::MAX_WINDOWS);
    assert!(!limits.waits.is_empty());
    assert!(bytes < 16_000, "{bytes} bytes");
}

/// Guards against a limit that comes and goes several times a second.
#[test]
fn shortage_ends_only_after_a_second_of_relief() {
    let mut pressure = PoolPressure::new();
    let mut update = |percent, now_ms| {
        let pressures = BTreeMap::from([(service(), percent)]);
        !pressure.update(&pressures, now_ms).is_empty()
    };

    assert!(!update(99, 0), "all jobs can be in time");
    assert!(update(120, 250));
    assert!(update(60, 500), "still close to the limit");
    assert!(update(10, 750));
    assert!(update(55, 1_000), "the relief was short");
    assert!(update(10, 1_750));
    assert!(!update(10, 2_000));
    assert!(!update(60, 2_250));
}

/// Guards against an organisation that is refused because of another's backlog.
#[test]
fn organisation_within_its_share_is_not_refused_for_the_backlog_of_another() {
    // Both stay within their rates.
    let organisations = vec![organisation("north", 400.0), organisation("south", 400.0)];
    let mut controller = Controller::new(1, organisations);
    let limits = (0..16).map(|_| controller.step(40, 1)).last().unwrap();
    let now_ms = controller.fleet.now_ms;
    let backlogs = controller.fleet.engine.queue_backlogs(0, now_ms);
    let view = BacklogView::new();
    view.record_own(&backlogs, now_ms);
    view.limits.record(limits, now_ms);
    let config = config();
    let queue = &config.queues[0];
    let refusal = |organisation: &OrganisationId| {
        let (backlog, _) = view.get_for(queue, Some(organisation), now_ms).unwrap();
        check_admission(&spec(organisation.as_str()), queue, &backlog)
    };

    assert!(refusal(&north()).is_some());
    assert_eq!(refusal(&south()), None);
    let (backlog, _) = view.get_for(queue, None, now_ms).unwrap();
    assert!(check_admission(&spec("north"), queue, &backlog).is_some());
}

/// Guards against job ids whose turn never comes, or comes later than their callers were told, and
/// against callers that miss their turn because they return a second early or late.
#[test]
fn each_job_is_admitted_when_it_was_told_and_within_one_cycle() {
    for pace in [100_u16, 330, 1_250, 2_000, 3_000] {
        let width = 3 * pace;
        let first = AdmissionWindow {
            width,
            first: 9_700,
            pace,
        };
        let windows: Vec<_> =
            std::iter::successors(Some(first), |window| Some(window.next(width, pace)))
                .take(110)
                .collect();
        let cycle_s = 10_000_usize.div_ceil(usize::from(pace));
        for job in (0..300).map(job_id) {
            let told_s = windows[0].turn_s(&job);
            let turn_s = windows.iter().position(|window| window.turn_s(&job) == 0);
            let turn_s = turn_s.unwrap() as u64;

            assert!(turn_s < cycle_s as u64, "{pace} {turn_s}");
            if turn_s == 0 {
                assert_eq!(told_s, 0, "{pace}");
                continue;
            }
            assert_eq!(told_s, (turn_s + 1).min(8), "{pace}");
            for return_s in turn_s..turn_s + 3 {
                let window = windows[return_s as usize];
                assert_eq!(window.turn_s(&job), 0, "{pace} {turn_s} {return_s}");
            }
        }
    }
}

/// Guards against turns that come sooner or later than told because the admitted part changes.
#[test]
fn turn_comes_when_it_was_told_while_the_width_changes() {
    let widths = [600_u16, 2_000, 900, 300, 1_800, 400, 300, 300, 700, 300];
    let first = AdmissionWindow {
        width: 1_500,
        first: 0,
        pace: 100,
    };
    let mut window = first;
    let mut windows = vec![first];
    for width in widths {
        window = window.next(width, 100);
        windows.push(window);
    }
    let mut checked = 0;
    for job in (0..300).map(job_id) {
        let told_s = first.turn_s(&job);
        if (1..8).contains(&told_s) {
            checked += 1;
            for return_s in told_s - 1..=told_s + 1 {
                assert_eq!(windows[return_s as usize].turn_s(&job), 0, "{return_s}");
            }
        }
    }
    assert!(checked > 10, "{checked}");
}

/// Guards against ids that crowd in few positions, so that a window admits far more or less than its
/// width.
#[test]
fn positions_of_job_ids_are_spread_evenly() {
    let mut counts = [0_u32; 100];
    (0..20_000).for_each(|number| counts[job_position(&job_id(number)) as usize] += 1);
    let mut consecutive = [0_u32; 100];
    for number in 0..20_000 {
        let id: JobId = format!("{number:016x}").parse().unwrap();
        consecutive[job_position(&id) as usize] += 1;
    }

    for counts in [counts, consecutive] {
        assert!(
            counts.iter().all(|count| (130..270).contains(count)),
            "{counts:?}"
        );
    }
}

/// Guards against long-running and scheduled jobs that are refused for the rate.
#[test]
fn exempt_jobs_are_admitted_outside_their_turn() {
    let closed = AdmissionWindow {
        width: 0,
        first: 0,
        pace: 0,
    };
    let ordinary = spec("north");
    let long_running = JobSpec {
        steps: vec![StepSpec {
            long_running: true,
            ..step(1)
        }],
        ..spec("north")
    };
    let scheduled = JobSpec {
        schedule: Some(JobSchedule {
            times: 2,
            first_ms: 0,
            interval_ms: 1_000,
        }),
        ..spec("north")
    };
    let job = (0..).map(job_id).find(|id| job_position(id) == 50).unwrap();

    assert!(check_rate(&ordinary, &job, &closed).is_some());
    assert_eq!(check_rate(&long_running, &job, &closed), None);
    assert_eq!(check_rate(&scheduled, &job, &closed), None);
}

/// Guards against metrics whose number of labels grows with the organisations, and against values
/// that a former controller keeps reporting.
#[test]
fn metrics_have_at_most_eight_organisations_and_the_rest() {
    let name = |number: usize| format!("org-{number}");
    let mut organisations: Vec<_> = (0..30)
        .map(|number| organisation(&name(number), 1.0))
        .collect();
    organisations[29].cap = ResourceCap::new(WorkerResources {
        cpu_millis: 3_000,
        ..WorkerResources::default()
    });
    let mut controller = Controller::new(1, organisations);
    for number in 0..30 {
        controller.submit(&name(number), number as u64 + 1);
        let metrics = &controller.metrics.organisations;
        (0..=number).for_each(|_| metrics.count_accepted(&name(number)));
        metrics.count_refused(&name(number));
    }
    // Nothing is placed, so that all jobs wait.
    controller.measure();

    let text = controller.metrics.to_text();
    drop(controller.monitor);
    let after = controller.metrics.to_text();

    let labels = |metric: &str, text: &str| {
        let prefix = format!("zincpier_organisation_{metric}{{");
        text.lines()
            .filter(|line| line.starts_with(&prefix))
            .count()
    };
    assert_eq!(labels("waiting_jobs", &text), 9, "{text}");
    assert_eq!(labels("accepted_jobs_total", &text), 9);
    let expected = [
        "zincpier_organisation_accepted_jobs_total{organisation=\"org-29\"} 30",
        "zincpier_organisation_refused_jobs_total{organisation=\"other\"} 22",
        "zincpier_organisation_waiting_jobs{organisation=\"org-29\"} 30",
        "zincpier_organisation_cap_millis{organisation=\"org-29\"} 3000",
    ];
    for line in expected {
        assert!(text.contains(line), "{line}\n{text}");
    }
    assert_eq!(labels("waiting_jobs", &after), 0);
    assert_eq!(labels("accepted_jobs_total", &after), 9);
}

fn leader_row(revision: u64, limits: &OrganisationLimits) -> TableRow {
    let mut value = json!({
        "epoch": 1, "holder": "boston-2", "commit": revision, "released": false,
        "backlogs": { QUEUE: { "wait_ms": 9_000, "task_ms": 500 } },
    });
    if !limits.is_empty() {
        value["limits"] = serde_json::to_value(limits).unwrap();
    }
    TableRow {
        key: LEADER_KEY.to_owned(),
        revision: Revision::new(revision),
        value,
    }
}
