//! How long feeds wait while answers are lost.

use std::time::Duration;

use zincpier::workflow::FeedWait;

/// Returns how late a change is seen when the first answers about it are lost: each such
/// wait, and then the one whose answer comes at once.
fn delay(wait: &mut FeedWait, losses: u32) -> Duration {
    let mut delay = Duration::ZERO;
    for _ in 0..losses {
        delay += wait.get();
        wait.record_answer(false);
    }
    delay
}

#[test]
fn further_losses_in_a_row_delay_a_change_little() {
    let mut wait = FeedWait::new();
    let first = delay(&mut wait, 1);

    let further = delay(&mut wait, 4);

    assert!(further * 3 < first, "{first:?}, {further:?}");
}

#[test]
fn a_feed_that_answers_again_soon_waits_as_before() {
    let mut wait = FeedWait::new();
    let calm = wait.get();
    wait.record_answer(false);

    (0..5).for_each(|_| wait.record_answer(true));

    assert_eq!(wait.get(), calm);
}
