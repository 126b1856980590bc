//! A monotonic clock that includes the time for which the host was suspended.

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Returns the time since the host booted in milliseconds, suspensions included; 0 if the clock
/// cannot be read.
///
/// A lease that is measured with this clock also runs out during a suspension, so that its holder
/// detects the expiry as soon as it resumes.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}
