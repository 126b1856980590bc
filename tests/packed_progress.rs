//! The resident memory of progress rows while a new holder loads the state. Guards against a holder that exceeds its
//! memory before it has started. The only test of its process, which it measures.

use serde_json::json;
use zincpier::workflow::PackedProgress;

const ROWS: u64 = 400;

/// The most tasks that a job has.
const TASKS: usize = 7_000;

/// The bytes that a row takes at most.
const MAX_ROW_BYTES: u64 = 8_192;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() * 1_024
}

/// Returns the row of a job of which some occurrences are over and one runs.
fn packed_row(done: usize) -> PackedProgress {
    let tasks = (0..TASKS).map(|position| match position {
        position if position < done => json!(1),
        position if position == done => json!([1, 0, "", "w-1"]),
        _ => json!(0),
    });
    let tasks: Vec<_> = tasks.collect();
    PackedProgress::new(json!({ "phase": "running", "tasks": tasks }))
}

#[test]
fn rows_of_jobs_with_many_occurrences_take_little_memory_while_they_are_loaded() {
    let before = resident_bytes();

    let rows: Vec<_> = (0..ROWS as usize).map(packed_row).collect();

    let taken = resident_bytes().saturating_sub(before) / ROWS;
    assert!(taken <= MAX_ROW_BYTES, "{taken} bytes a row");
    assert_eq!(rows.len(), ROWS as usize);
}
