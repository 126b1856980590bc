//! When a server was last heard from.

use std::cell::Cell;
use std::rc::Rc;

use crate::process::boot_ms;

/// The time of the last answer of a server, or of the last bytes of one that is arriving. The one
/// that reads answers and those that ask how old they are share it.
#[derive(Debug)]
pub struct AnswerClock {
    heard_ms: Cell<u64>,
}

impl AnswerClock {
    /// Creates a clock of a server that counts as heard from now.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            heard_ms: Cell::new(boot_ms()),
        })
    }

    /// Records that the server is heard from now.
    pub fn record(&self) {
        self.heard_ms.set(boot_ms());
    }

    /// Returns the time since the server was heard from, in ms.
    pub fn silent_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.heard_ms.get())
    }
}
