//! The adaptive timeout when responses are lost and when all of them become slow.

use std::time::Duration;

use zincpier::connection::AdaptiveTimeout;

const MIN_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Simulates sequential calls from `start_ms` until `calls` of them got a response. Returns the
/// elapsed milliseconds and the number of attempts. `latency_ms` maps the number of an attempt to
/// its latency, or to `None` if the response is lost.
fn simulate_calls(
    timeout: &AdaptiveTimeout,
    start_ms: u64,
    calls: u32,
    latency_ms: impl Fn(u32) -> Option<u64>,
) -> (u64, u32) {
    let mut now_ms = start_ms;
    let mut attempts = 0;
    let mut answered = 0;
    while answered < calls {
        let sent_ms = now_ms;
        let limit_ms = timeout.get().as_millis() as u64;
        attempts += 1;
        match latency_ms(attempts).filter(|latency_ms| *latency_ms <= limit_ms) {
            Some(latency_ms) => {
                now_ms += latency_ms;
                answered += 1;
                timeout.record_response(sent_ms, now_ms);
            }
            None => {
                now_ms += limit_ms;
                timeout.record_timeout(sent_ms, now_ms);
            }
        }
    }
    (now_ms - start_ms, attempts)
}

/// A timeout after 20 responses of 8 ms each.
fn timeout_after_fast_calls() -> AdaptiveTimeout {
    let timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    simulate_calls(&timeout, 0, 20, |_| Some(8));
    timeout
}

/// Guards against waiting for a long fixed timeout after each of many lost responses.
#[test]
fn losing_a_third_of_responses_costs_a_tenth_of_a_fixed_timeout() {
    // Arrange: every third response is lost, the loss rate that users reported.
    let lose_every_third = |number: u32| (number % 3 != 0).then_some(8);

    // Act.
    let (elapsed_ms, attempts) =
        simulate_calls(&timeout_after_fast_calls(), 10_000, 100, lose_every_third);

    // Assert: with a fixed timeout of 1.6 s the 49 losses would take 79 s.
    assert_eq!(attempts, 149);
    assert!(elapsed_ms < 10_000, "{elapsed_ms}");
}

/// Guards against a short timeout that abandons every call once all responses are slow.
#[test]
fn sixtyfold_slowdown_times_out_only_a_few_calls() {
    let (_, attempts) = simulate_calls(&timeout_after_fast_calls(), 10_000, 20, |_| Some(480));

    assert!(attempts <= 23, "{attempts}");
}

/// Guards against a timeout that stays long after the responses are fast again.
#[test]
fn timeout_returns_to_the_minimum_after_a_slowdown() {
    let timeout = timeout_after_fast_calls();
    simulate_calls(&timeout, 10_000, 20, |_| Some(480));

    simulate_calls(&timeout, 100_000, 5, |_| Some(8));

    assert_eq!(timeout.get(), MIN_TIMEOUT);
}

/// Guards against growing the timeout once for each of several calls that were lost together.
#[test]
fn concurrent_timeouts_count_once() {
    let timeout = timeout_after_fast_calls();

    (0..10).for_each(|_| timeout.record_timeout(1_000, 1_150));

    assert_eq!(timeout.get(), MIN_TIMEOUT * 2);
}
