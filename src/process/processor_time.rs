//! The processor time of this process.

use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Returns the processor time that all threads of this process have used; zero if it can't be read.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    time.map_or(Duration::ZERO, Duration::from)
}
