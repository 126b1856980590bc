//! Pauses between commands to a host that the platform refuses for an unstated reason.

/// The pause after the first refusal, in ms; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 1_000;

/// The limit on a pause, in ms.
const MAX_PAUSE_MS: u64 = 60_000;

/// The time until which a command is not sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RefusalPause {
    pause_ms: u64,
    until_ms: u64,
}

impl RefusalPause {
    /// Returns the pause after a refusal at `now_ms`, which follows on `previous`, if any.
    pub(crate) fn after(previous: Option<&Self>, now_ms: u64) -> Self {
        let pause_ms = previous.map_or(FIRST_PAUSE_MS, |previous| previous.pause_ms * 2);
        let pause_ms = pause_ms.min(MAX_PAUSE_MS);
        Self {
            pause_ms,
            until_ms: now_ms + pause_ms,
        }
    }

    /// Returns the pause after a refusal for good.
    pub(crate) fn without_end() -> Self {
        Self {
            pause_ms: MAX_PAUSE_MS,
            until_ms: u64::MAX,
        }
    }

    /// Returns whether the pause lasts.
    pub(crate) fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns the length of the pause, in ms.
    pub(crate) fn pause_ms(&self) -> u64 {
        self.pause_ms
    }
}
