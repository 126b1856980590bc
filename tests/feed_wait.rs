//! Guards against changes that are read late because polls keep their full wait while answers are
//! lost.

use std::time::Duration;

use zincpier::workflow::FeedWait;

/// Returns the delay until a change is read if the answers to the next `losses` polls are lost. The
/// poll after them is answered at once.
fn delay(wait: &mut FeedWait, losses: u32) -> Duration {
    let mut delay = Duration::ZERO;
    for _ in 0..losses {
        delay += wait.get();
        wait.record_answer(false);
    }
    delay
}

#[test]
fn repeated_lost_answers_add_little_delay() {
    let mut wait = FeedWait::new();
    let first = delay(&mut wait, 1);

    let further = delay(&mut wait, 4);

    assert!(
        further * 3 < first,
        "first loss {first:?}, further losses {further:?}"
    );
}

#[test]
fn wait_recovers_after_a_few_answers() {
    let mut wait = FeedWait::new();
    let initial = wait.get();
    wait.record_answer(false);

    (0..5).for_each(|_| wait.record_answer(true));

    assert_eq!(wait.get(), initial);
}
