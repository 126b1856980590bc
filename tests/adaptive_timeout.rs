//! Replays a table whose answers are lost, and one that turns slow.

use std::time::Duration;

use zincpier::connection::AdaptiveTimeout;

const MIN_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Calls one after another from `start_ms` until `calls` were answered; returns the time in
/// ms and the tries. An answer takes `latency_ms` of the number of its try, or is lost.
fn simulate_calls(
    time: &AdaptiveTimeout,
    start_ms: u64,
    calls: u32,
    latency_ms: impl Fn(u32) -> Option<u64>,
) -> (u64, u32) {
    let mut now_ms = start_ms;
    let mut attempts = 0;
    let mut answered = 0;
    while answered < calls {
        let sent_ms = now_ms;
        let limit_ms = time.get().as_millis() as u64;
        attempts += 1;
        match latency_ms(attempts).filter(|latency_ms| *latency_ms <= limit_ms) {
            Some(latency_ms) => {
                now_ms += latency_ms;
                answered += 1;
                time.record_response(sent_ms, now_ms);
            }
            None => {
                now_ms += limit_ms;
                time.record_timeout(sent_ms, now_ms);
            }
        }
    }
    (now_ms - start_ms, attempts)
}

/// An answer time that has seen a calm table.
fn timeout_after_fast_calls() -> AdaptiveTimeout {
    let time = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    simulate_calls(&time, 0, 20, |_| Some(8));
    time
}

#[test]
fn losing_a_third_of_responses_costs_a_tenth_of_a_fixed_timeout() {
    // Arrange: every third answer is lost, as on the users' days.
    let lose_every_third = |number: u32| (number % 3 != 0).then_some(8);

    // Act.
    let (elapsed_ms, attempts) =
        simulate_calls(&timeout_after_fast_calls(), 10_000, 100, lose_every_third);

    // Assert: 49 losses at 1.6 s each would take 79 s.
    assert_eq!(attempts, 149);
    assert!(elapsed_ms < 10_000, "{elapsed_ms}");
}

#[test]
fn sixtyfold_slowdown_times_out_only_a_few_calls() {
    let (_, attempts) = simulate_calls(&timeout_after_fast_calls(), 10_000, 20, |_| Some(480));

    assert!(attempts <= 23, "{attempts}");
}

#[test]
fn timeout_returns_to_the_minimum_after_a_slowdown() {
    let time = timeout_after_fast_calls();
    simulate_calls(&time, 10_000, 20, |_| Some(480));

    simulate_calls(&time, 100_000, 5, |_| Some(8));

    assert_eq!(time.get(), MIN_TIMEOUT);
}

#[test]
fn concurrent_timeouts_count_once() {
    let time = timeout_after_fast_calls();

    (0..10).for_each(|_| time.record_timeout(1_000, 1_150));

    assert_eq!(time.get(), MIN_TIMEOUT * 2);
}
