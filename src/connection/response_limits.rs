//! Limits on the time that a response takes.

use std::rc::Rc;
use std::time::Duration;

use crate::connection::AnswerClock;

/// How long a client waits for a response.
///
/// A limit on the whole of a large response has to know its size and the link, or it gives up what
/// arrives steadily, and a limit long enough for any size notices a silent connection late. With a
/// limit on the silence, a response may take as long as its bytes arrive.
#[derive(Clone, Debug)]
pub struct ResponseLimits {
    pub(crate) time: Duration,
    pub(crate) silence: Option<Duration>,
    pub(crate) clock: Option<Rc<AnswerClock>>,
}

impl ResponseLimits {
    /// Limits the time of the whole response.
    pub fn new(time: Duration) -> Self {
        Self {
            time,
            silence: None,
            clock: None,
        }
    }

    /// Lets a response that has begun take longer than the time, while no pause between its bytes
    /// is longer than `silence`.
    pub fn with_silence(self, silence: Duration) -> Self {
        Self {
            silence: Some(silence),
            ..self
        }
    }

    /// Records in `clock` when a successful response began and when bytes of it arrived.
    pub fn with_clock(self, clock: Rc<AnswerClock>) -> Self {
        Self {
            clock: Some(clock),
            ..self
        }
    }
}

impl From<Duration> for ResponseLimits {
    fn from(time: Duration) -> Self {
        Self::new(time)
    }
}
