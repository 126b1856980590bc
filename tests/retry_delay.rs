//! Replays callers of a busy queue through an outage of the table.

use zincpier::id::JobId;
use zincpier::workflow::retry_delay_s;

/// How often a caller comes back before it gives up, as on the users' platform.
const RETURNS: u32 = 4;

/// Ten callers a second.
const GAP_MS: u64 = 100;

fn job_id(number: u64) -> JobId {
    let digits = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    digits.parse().expect("hexadecimal digits are an id")
}

/// The times in ms at which a caller that first asks at `start_ms` asks, until the table is
/// back at `back_ms`; nothing if it gave up before.
fn returns_of(id: &JobId, start_ms: u64, back_ms: u64) -> Option<Vec<u64>> {
    let mut asked = vec![start_ms];
    let mut now_ms = start_ms;
    for _ in 0..RETURNS {
        if now_ms >= back_ms {
            break;
        }
        now_ms += retry_delay_s(Some(id), now_ms, None) * 1_000;
        asked.push(now_ms);
    }
    (now_ms >= back_ms).then_some(asked)
}

#[test]
fn no_caller_gives_up_during_an_outage_of_nine_seconds() {
    // Arrange: the table is away from 0 to 9 s, callers come all the while.
    let callers = (0..90).map(|number| (job_id(number), number * GAP_MS));

    // Act.
    let lost = callers
        .filter(|(id, start_ms)| returns_of(id, *start_ms, 9_000).is_none())
        .count();

    // Assert.
    assert_eq!(lost, 0);
}

#[test]
fn callers_come_back_spread_after_an_outage() {
    // Arrange.
    let callers = (0..90).map(|number| (job_id(number), number * GAP_MS));

    // Act: how many of them come back in each second after the outage.
    let mut seconds = [0; 5];
    for (id, start_ms) in callers {
        if let Some(last_ms) =
            returns_of(&id, start_ms, 9_000).and_then(|asked| asked.last().copied())
        {
            seconds[(last_ms.saturating_sub(9_000) / 1_000) as usize] += 1;
        }
    }

    // Assert: no second has half of them.
    assert!(seconds.iter().all(|count| *count < 45), "{seconds:?}");
}

#[test]
fn a_refusal_by_a_table_that_answers_asks_for_the_shortest_pause() {
    assert_eq!(retry_delay_s(Some(&job_id(1)), 40, None), 1);
    assert_eq!(retry_delay_s(None, 700, None), 1);
}

#[test]
fn nobody_is_told_to_return_after_it_has_given_up() {
    assert_eq!(retry_delay_s(None, 6_000, Some(2_400)), 2);
    assert_eq!(retry_delay_s(None, 6_000, Some(300)), 1);
}
