//! Delay between two passes of the job controller.

use std::time::Duration;

const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);
const RUNNING_PASS_INTERVAL: Duration = Duration::from_secs(1);
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// An urgent job that preempts others takes two passes with one delay between them; both passes
/// must end within 1.1 s.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(700);
/// Planning may use at most 1/100 of a core.
const PLANNING_SHARE_DIVISOR: u32 = 100;

/// What the last pass found, which sets the delay before the next one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobActivity {
    /// No job is open.
    Idle,
    /// Jobs run or wait, and the last pass changed none of them.
    Running,
    /// A job was just placed or has just ended, or is being started or stopped.
    Changing,
}

impl JobActivity {
    /// Returns the delay before the next pass, after one whose planning took `plan_time`.
    pub(super) fn pass_delay(self, plan_time: Duration) -> Duration {
        match self {
            Self::Idle => IDLE_PASS_INTERVAL,
            Self::Running => RUNNING_PASS_INTERVAL,
            Self::Changing => {
                let pass_delay = plan_time * PLANNING_SHARE_DIVISOR;
                pass_delay.clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL)
            }
        }
    }
}
