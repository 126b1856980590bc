//! A clock that goes on while the host is suspended.

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Returns the time since the host's boot in ms, suspensions included.
///
/// Leases are measured with it, so that a paused holder finds its lease over.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}
