//! How soon jobs are looked at again.

use std::time::Duration;

const PAUSE_IDLE: Duration = Duration::from_secs(1);
const PAUSE_RUNNING: Duration = Duration::from_secs(1);
const PAUSE_MOVING_LEAST: Duration = Duration::from_millis(100);
/// An urgent job that makes room for itself takes two looks, which must end in 1.1 s.
const PAUSE_MOVING_MOST: Duration = Duration::from_millis(700);
/// The part of a core that planning may take, as a divisor.
const PLAN_DIVISOR: u32 = 100;

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
    pub(super) fn pause(self, plan_time: Duration) -> Duration {
        match self {
            Self::Idle => PAUSE_IDLE,
            Self::Running => PAUSE_RUNNING,
            Self::Changing => {
                let pause = plan_time * PLAN_DIVISOR;
                pause.clamp(PAUSE_MOVING_LEAST, PAUSE_MOVING_MOST)
            }
        }
    }
}
