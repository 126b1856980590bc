//! Replays callers of a busy queue through a table outage. Guards against callers that run out
//! of retries before the table is back, and against all of them retrying at once.

use zincpier::id::JobId;
use zincpier::workflow::retry_delay_s;

/// Retries of a caller before it gives up, as on the platform.
const MAX_RETRIES: u32 = 4;

/// Time between callers: ten arrive per second.
const CALLER_INTERVAL_MS: u64 = 100;

fn job_id(number: u64) -> JobId {
    let digits = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    digits
        .parse()
        .expect("16 hexadecimal digits form a valid job id")
}

/// Returns the times in ms at which a caller that starts at `start_ms` sends its requests until
/// the outage ends at `outage_end_ms`, or `None` if it gives up before.
fn attempt_times_ms(id: &JobId, start_ms: u64, outage_end_ms: u64) -> Option<Vec<u64>> {
    let mut attempts = vec![start_ms];
    let mut now_ms = start_ms;
    for _ in 0..MAX_RETRIES {
        if now_ms >= outage_end_ms {
            break;
        }
        now_ms += retry_delay_s(Some(id), now_ms, None) * 1_000;
        attempts.push(now_ms);
    }
    (now_ms >= outage_end_ms).then_some(attempts)
}

#[test]
fn no_caller_gives_up_during_a_nine_second_outage() {
    // Arrange: the table is unreachable from 0 to 9 s while callers arrive.
    let callers = (0..90).map(|number| (job_id(number), number * CALLER_INTERVAL_MS));

    // Act.
    let lost = callers
        .filter(|(id, start_ms)| attempt_times_ms(id, *start_ms, 9_000).is_none())
        .count();

    // Assert.
    assert_eq!(lost, 0);
}

#[test]
fn retries_are_spread_after_an_outage() {
    // Arrange.
    let callers = (0..90).map(|number| (job_id(number), number * CALLER_INTERVAL_MS));

    // Act: count the retries in each second after the outage.
    let mut seconds = [0; 5];
    for (id, start_ms) in callers {
        if let Some(last_ms) =
            attempt_times_ms(&id, start_ms, 9_000).and_then(|attempts| attempts.last().copied())
        {
            seconds[(last_ms.saturating_sub(9_000) / 1_000) as usize] += 1;
        }
    }

    // Assert: no second gets half of them.
    assert!(seconds.iter().all(|count| *count < 45), "{seconds:?}");
}

#[test]
fn refusal_by_an_answering_table_gets_the_shortest_delay() {
    assert_eq!(retry_delay_s(Some(&job_id(1)), 40, None), 1);
    assert_eq!(retry_delay_s(None, 700, None), 1);
}

#[test]
fn delay_is_capped_by_the_callers_remaining_wait() {
    assert_eq!(retry_delay_s(None, 6_000, Some(2_400)), 2);
    assert_eq!(retry_delay_s(None, 6_000, Some(300)), 1);
}
