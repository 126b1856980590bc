//! How soon jobs are looked at again.

use std::time::Duration;

const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);
const RUNNING_PASS_INTERVAL: Duration = Duration::from_secs(1);
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// An urgent job that makes room for itself takes two looks, which must end in 1.1 s.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(700);
/// The part of a core that planning may take, as a divisor.
const PLANNING_SHARE_DIVISOR: u32 = 100;

/// How soon the next look is worthwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobActivity {
    /// No job is known.
    Idle,
    /// Jobs run or wait, and nothing has just changed.
    Running,
    /// Some job has just been placed or has ended, or is being started or stopped.
    Changing,
}

impl JobActivity {
    /// Returns the time to the next look, after one whose planning took `plan_time`.
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
