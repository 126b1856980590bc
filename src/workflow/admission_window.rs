//! The part of an organisation's submissions that is admitted at a time.

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;

/// The number of positions that job ids map to, and the length of a cycle, in hundredths of a percent.
const CYCLE: u16 = 10_000;

/// The time in s for which a position is admitted at least once its turn has come. Callers are told
/// the second of it, and may return up to a second sooner or later: delays are whole seconds, hosts
/// learn of a new window at different times, and the pace may change.
pub(crate) const TURN_S: u16 = 3;

/// The limit on `Retry-After`, in s, since the pace is known only for the present.
pub(crate) const MAX_RETRY_S: u64 = 8;

/// Parameters of the FNV-1a hash with 64 bits.
const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The job ids of an organisation that are admitted in the present second.
///
/// Each job id has a fixed position in a cycle. Positions in the window are admitted. The end of the
/// window advances by the pace each second, so that each position's turn comes once in a cycle; a
/// wider window admits positions for longer after their turn has come, and leaves the turns to come as
/// they were told. Amounts are in hundredths of a percent of all positions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionWindow {
    /// The width of the window.
    pub width: u16,
    /// The start of the window.
    pub first: u16,
    /// The advance of the window's end in a second.
    pub pace: u16,
}

impl AdmissionWindow {
    /// Returns the admitted part of all positions, in percent.
    pub fn percent(&self) -> f64 {
        f64::from(self.width) / 100.0
    }

    /// Returns the window of the next second, with its own width and pace.
    #[must_use]
    pub fn next(&self, width: u16, pace: u16) -> Self {
        let cycle = u32::from(CYCLE);
        let end = u32::from(self.first) + u32::from(self.width) + u32::from(self.pace);
        let first = (end + cycle - u32::from(width) % cycle) % cycle;
        Self {
            width,
            first: first as u16,
            pace,
        }
    }

    /// Returns in how many seconds the job is to be submitted again: 0 if it is admitted now, at most 8.
    pub fn turn_s(&self, job: &JobId) -> u64 {
        let cycle = u64::from(CYCLE);
        let width = u64::from(self.width);
        let distance = (turn_position(job) + cycle - u64::from(self.first) % cycle) % cycle;
        if distance < width {
            return 0;
        }
        let start_s = (distance - width) / u64::from(self.pace.max(1)) + 1;
        (start_s + u64::from(TURN_S) / 2).min(MAX_RETRY_S)
    }
}

/// Returns a job id's position in percent of a cycle, from 0 to 99. Any entry host computes the same.
pub fn job_position(job: &JobId) -> u64 {
    turn_position(job) * 100 / u64::from(CYCLE)
}

/// Returns a job id's position in a cycle.
fn turn_position(job: &JobId) -> u64 {
    let hash = hash_text(job.as_str());
    (hash ^ (hash >> 32)) % u64::from(CYCLE)
}

/// Returns the FNV-1a hash of a text with 64 bits, the same on any entry host.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(HASH_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    })
}
