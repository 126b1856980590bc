//! A monotonic clock that includes the time for which the host was suspended.

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Returns the time since the host booted in milliseconds, suspensions included.
///
/// Leases are measured with this clock, so that a holder that was suspended sees that its
/// lease has expired.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}
