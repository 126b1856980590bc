//! What a controller says about its own work.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

#[path = "common/write_recorder.rs"]
mod write_recorder;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::operator::LogLine;
use zincpier::process::start_log_stream_to;
use zincpier::process::EntryMetrics;
use zincpier::workflow::CallerScope;
use zincpier::workflow::ControlWork;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::WorkKind;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;
use crate::write_recorder::WriteRecorder;

const TIMEOUT: Duration = Duration::from_secs(15);

/// How long the thread of the controller is blocked again and again.
const BLOCK_TIME: Duration = Duration::from_millis(200);

/// How long the controller may work between two blocks.
const YIELD_TIME: Duration = Duration::from_millis(30);

/// Fields of the line about the lag that say what the controller did.
const FIELDS: [&str; 15] = [
    "starts",
    "ends",
    "renewals",
    "unanswered_renewals",
    "commits",
    "commit_bytes",
    "passes",
    "pass_us",
    "commit_us",
    "start_wait_ms",
    "processor_us",
    "open_jobs",
    "waiting_tasks",
    "renewal_overdue_ms",
    "carriers",
];

/// Submits jobs of three tasks each.
async fn submit(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    for number in 0..jobs {
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: vec![fixtures::step(3)],
            schedule: None,
        };
        let id = format!("{number:016x}").parse().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let scope = CallerScope::Everything;
        let outcome = intake.submit(&id, &spec, &scope, deadline).await;
        assert!(matches!(outcome, SubmitOutcome::Accepted));
    }
}

/// Returns the sum of a field.
fn total(lines: &[LogLine], name: &str) -> u64 {
    lines.iter().filter_map(|line| line.u64_field(name)).sum()
}

/// Blocks the controller's thread again and again until it has logged its lag twice, and `starts` starts with
/// it. Returns these lines.
async fn delay_controller(recorder: &WriteRecorder, starts: u64) -> Vec<LogLine> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let lines = recorder.lines_with("event=control_lag ");
        let lines = lines.iter().filter_map(|line| LogLine::parse(line));
        let lines: Vec<_> = lines.collect();
        let is_done = lines.len() >= 2 && total(&lines, "starts") >= starts;
        if is_done || Instant::now() >= deadline {
            return lines;
        }
        std::thread::sleep(BLOCK_TIME);
        sleep(YIELD_TIME).await;
    }
}

/// Guards against a late controller of which the log says how late it is and not what it does.
#[test]
fn late_controller_says_what_it_did_in_the_last_second() {
    run(async {
        // Arrange.
        let recorder = WriteRecorder::default();
        let _stream = start_log_stream_to(recorder.clone());
        let workers = (0..4).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        let metrics = Rc::new(EntryMetrics::new());
        let options = EntryOptions {
            metrics: Rc::clone(&metrics),
            ..EntryOptions::default()
        };
        let link = start_entry_with(&fleet, "boston-1", options);
        submit(&link, 6).await;

        // Act.
        let lines = delay_controller(&recorder, 6).await;

        // Assert: each line has all fields, at most one a second, and work was counted.
        assert!(lines.len() >= 2, "{} lines", lines.len());
        for line in &lines {
            for name in FIELDS {
                assert!(line.u64_field(name).is_some(), "{name} in {}", line.text);
            }
            assert!(line.u64_field("covered_ms") >= Some(1_000), "{}", line.text);
        }
        assert!(lines[1].time_ms >= lines[0].time_ms + 900);
        assert!(total(&lines, "starts") >= 6, "{lines:?}");
        for name in [
            "renewals",
            "commits",
            "commit_bytes",
            "passes",
            "pass_us",
            "commit_us",
            "processor_us",
        ] {
            assert!(total(&lines, name) > 0, "{name} in {lines:?}");
        }
        let text = metrics.to_text();
        for name in FIELDS {
            let value = format!("zincpier_control_work{{kind=\"{name}\"}}");
            assert!(text.contains(&value), "{value}");
        }
    });
}

/// Guards against a controller whose starts wait although its timers fire in time, and whose log says nothing.
#[test]
fn mean_wait_of_starts_is_told_apart_from_the_lag() {
    let work = ControlWork::new();
    work.add(WorkKind::Starts, 4);
    work.add(WorkKind::StartWait, 1_000);
    work.record_lag(5);

    let summary = work.take(0).unwrap();
    let idle = work.take(0).unwrap();

    assert_eq!(summary.mean_start_wait_ms(), 250);
    assert_eq!(summary.max_lag_ms, 5);
    assert_eq!(idle.mean_start_wait_ms(), 0);
}

/// Counts that were not taken whole would be told twice, or never.
#[test]
fn work_is_taken_once_and_only_after_its_interval() {
    let work = ControlWork::new();
    work.add(WorkKind::Starts, 3);
    work.add(WorkKind::Starts, 4);
    work.record_lag(120);
    work.record_lag(90);

    let early = work.take(60_000);
    let first = work.take(0).unwrap();
    let later = work.take(0).unwrap();

    assert!(early.is_none());
    assert_eq!(first.counts[0], (WorkKind::Starts, 7));
    assert_eq!(later.counts[0], (WorkKind::Starts, 0));
    assert_eq!((first.max_lag_ms, later.max_lag_ms), (120, 0));
}
