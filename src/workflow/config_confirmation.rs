//! Until when the configuration that an entry host holds is known to be the newest.

use std::cell::Cell;

/// What the complete answer to a poll says about the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigSighting {
    /// No version was stored since the previous answer.
    Unchanged,
    /// Its newest version is the held one, or has replaced it.
    Newest,
    /// Its newest version is older than the held one, so the rows were read before that one was
    /// stored.
    Outdated,
    /// Its newest version could not be decoded.
    Unreadable,
}

/// The time up to which the held version of the configuration is confirmed as the newest.
///
/// The table is linearizable: the answer to a poll contains each version that was stored before the
/// poll was sent. The time is that of the sending, on [`crate::process::boot_ms`], and not that of
/// the answer, which may be received late.
#[derive(Debug, Default)]
pub struct ConfigConfirmation {
    confirmed_ms: Cell<Option<u64>>,
    /// The newest version could not be decoded. It may have revoked any key, so nothing is confirmed
    /// until a later one is read.
    is_newest_unreadable: Cell<bool>,
}

impl ConfigConfirmation {
    /// Starts without any confirmation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete answer to a poll that was sent at `sent_ms`.
    pub fn record_answer(&self, sighting: ConfigSighting, sent_ms: u64) {
        match sighting {
            ConfigSighting::Unchanged => {}
            ConfigSighting::Newest => self.is_newest_unreadable.set(false),
            ConfigSighting::Outdated => return,
            ConfigSighting::Unreadable => self.is_newest_unreadable.set(true),
        }
        if !self.is_newest_unreadable.get() {
            let confirmed_ms = self.confirmed_ms.get().unwrap_or(0);
            self.confirmed_ms.set(Some(confirmed_ms.max(sent_ms)));
        }
    }

    /// Returns the time since the last confirmation, in ms. Returns `None` before the first one, and
    /// for a time before the confirmation, as from a clock that can't be read.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        now_ms.checked_sub(self.confirmed_ms.get()?)
    }
}
