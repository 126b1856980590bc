//! The part of an organisation's submissions that is admitted at a time.

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;

/// The number of positions that job ids map to.
const POSITIONS: u64 = 100;

/// The length of a cycle, in tenths of a position or percent.
const CYCLE: u16 = 1_000;

/// The limit on `Retry-After`, in s, since a window is known only for the present.
const MAX_RETRY_S: u64 = 8;

/// Parameters of the FNV-1a hash with 64 bits.
const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The job ids of an organisation that are admitted in the present second.
///
/// Each job id has a fixed position from 0 to 99. Positions in the window are admitted. The window
/// advances by its width each second, so that each position has its turn once in 100 / percent
/// seconds. Amounts are in tenths, since an organisation with thirty times its rate has a window of
/// 3.3 positions: 3 would be 10% too few.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionWindow {
    /// The width of the window, in tenths of a percent of all positions.
    pub width: u16,
    /// The start of the window, in tenths of a position.
    pub first: u16,
}

impl AdmissionWindow {
    /// Returns the admitted part of the submissions, in percent.
    pub fn percent(&self) -> f64 {
        f64::from(self.width) / 10.0
    }

    /// Returns the window of the next second, with its own width.
    #[must_use]
    pub fn next(&self, width: u16) -> Self {
        let first = (u32::from(self.first) + u32::from(self.width)) % u32::from(CYCLE);
        Self {
            width,
            first: first as u16,
        }
    }

    /// Returns in how many seconds it is the job's turn: 0 if it is admitted now, at most 8.
    pub fn turn_s(&self, job: &JobId) -> u64 {
        let cycle = u64::from(CYCLE);
        let distance = (job_position(job) * 10 + cycle - u64::from(self.first) % cycle) % cycle;
        let turn_s = distance / u64::from(self.width.max(1));
        turn_s.min(MAX_RETRY_S)
    }
}

/// Returns a job id's position, from 0 to 99. Any entry host computes the same.
pub fn job_position(job: &JobId) -> u64 {
    let hash = hash_text(job.as_str());
    (hash ^ (hash >> 32)) % POSITIONS
}

/// Returns the FNV-1a hash of a text with 64 bits, the same on any entry host.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(HASH_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    })
}
