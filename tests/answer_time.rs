//! Replays a table whose answers are lost, and one that turns slow.

use std::time::Duration;

use zincpier::connection::AnswerTime;

const LEAST: Duration = Duration::from_millis(150);
const MOST: Duration = Duration::from_millis(1_600);

/// Calls one after another from `start_ms` until `calls` were answered; returns the time in
/// ms and the tries. An answer takes `takes_ms` of the number of its try, or is lost.
fn play(
    time: &AnswerTime,
    start_ms: u64,
    calls: u32,
    takes_ms: impl Fn(u32) -> Option<u64>,
) -> (u64, u32) {
    let mut now_ms = start_ms;
    let mut tries = 0;
    let mut answered = 0;
    while answered < calls {
        let asked_ms = now_ms;
        let limit_ms = time.get().as_millis() as u64;
        tries += 1;
        match takes_ms(tries).filter(|takes_ms| *takes_ms <= limit_ms) {
            Some(takes_ms) => {
                now_ms += takes_ms;
                answered += 1;
                time.note_answer(asked_ms, now_ms);
            }
            None => {
                now_ms += limit_ms;
                time.note_silence(asked_ms, now_ms);
            }
        }
    }
    (now_ms - start_ms, tries)
}

/// An answer time that has seen a calm table.
fn calm() -> AnswerTime {
    let time = AnswerTime::new(LEAST, MOST);
    play(&time, 0, 20, |_| Some(8));
    time
}

#[test]
fn a_third_of_lost_answers_costs_a_tenth_of_what_a_fixed_time_does() {
    // Arrange: every third answer is lost, as on the users' days.
    let lossy = |number: u32| (number % 3 != 0).then_some(8);

    // Act.
    let (passed_ms, tries) = play(&calm(), 10_000, 100, lossy);

    // Assert: 49 losses at 1.6 s each would take 79 s.
    assert_eq!(tries, 149);
    assert!(passed_ms < 10_000, "{passed_ms}");
}

#[test]
fn a_table_that_turns_sixty_times_as_slow_is_given_up_on_a_few_times() {
    let (_, tries) = play(&calm(), 10_000, 20, |_| Some(480));

    assert!(tries <= 23, "{tries}");
}

#[test]
fn a_table_that_is_quick_again_is_not_waited_for_long() {
    let time = calm();
    play(&time, 10_000, 20, |_| Some(480));

    play(&time, 100_000, 5, |_| Some(8));

    assert_eq!(time.get(), LEAST);
}

#[test]
fn calls_that_are_lost_together_count_once() {
    let time = calm();

    (0..10).for_each(|_| time.note_silence(1_000, 1_150));

    assert_eq!(time.get(), LEAST * 2);
}
