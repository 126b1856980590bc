//! How a controller that is short of processor time slows down the work that can wait.

use std::time::Duration;

use zincpier::workflow::ControlLag;

const PAUSE: Duration = Duration::from_millis(20);

fn record_times(lag: &ControlLag, count: usize, late: Duration) {
    for _ in 0..count {
        lag.record(PAUSE, PAUSE + late);
    }
}

#[test]
fn timers_that_fire_in_time_lengthen_no_pause() {
    let lag = ControlLag::new();

    record_times(&lag, 20, Duration::from_millis(1));

    assert_eq!(lag.lengthen(PAUSE), PAUSE);
}

/// Guards against a peak at which reports of workers are collected as often as ever, so that renewals
/// of leases wait behind them until the leases are lost.
#[test]
fn pauses_grow_while_the_controller_is_behind_and_shrink_afterwards() {
    let lag = ControlLag::new();

    record_times(&lag, 20, Duration::from_millis(40));
    let behind = lag.lengthen(PAUSE);
    record_times(&lag, 20, Duration::ZERO);
    let recovered = lag.lengthen(PAUSE);

    assert!(behind > PAUSE * 4, "{behind:?}");
    assert_eq!(recovered, PAUSE);
}

/// Guards against a stop of a process that pauses all reports for as long as it lasted.
#[test]
fn one_long_stop_lengthens_pauses_within_a_limit() {
    let lag = ControlLag::new();

    record_times(&lag, 1, Duration::from_secs(30));

    assert!(lag.lengthen(PAUSE) < Duration::from_millis(300));
}
