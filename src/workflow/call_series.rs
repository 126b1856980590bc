//! Calls of one kind, of which another is sent while earlier ones wait for an answer.
//!
//! During an outage, the timeout of calls grows to that of a slow server. A call that was sent shortly
//! before the end then keeps its caller from noticing the end for as long, unless another is sent
//! beside it.

use std::future::Future;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures::StreamExt;
use monoio::time::sleep_until;
use monoio::time::timeout_at;
use monoio::time::Instant;

/// The calls without an answer, and when the next one is to be sent. Dropping it gives them up.
pub(crate) struct CallSeries<F> {
    calls: FuturesUnordered<F>,
    next_at: Instant,
}

impl<F: Future> CallSeries<F> {
    /// Creates a series whose first call is to be sent now.
    pub(crate) fn new() -> Self {
        Self {
            calls: FuturesUnordered::new(),
            next_at: Instant::now(),
        }
    }

    /// Sends a call. Unless it is answered first, the next one is to be sent after `interval`.
    pub(crate) fn send(&mut self, call: F, interval: Duration) {
        self.calls.push(call);
        self.next_at = Instant::now() + interval;
    }

    /// Advances the time of the next call so that it is sent after `delay` at most.
    pub(crate) fn retry_after(&mut self, delay: Duration) {
        self.next_at = self.next_at.min(Instant::now() + delay);
    }

    /// Puts off the next call, because an answer is arriving.
    pub(crate) fn postpone(&mut self, interval: Duration) {
        self.next_at = Instant::now() + interval;
    }

    /// Waits for the next answer or failure of a call. Returns `None` once another call is to be sent.
    pub(crate) async fn next(&mut self) -> Option<F::Output> {
        if let Ok(Some(answer)) = timeout_at(self.next_at, self.calls.next()).await {
            return Some(answer);
        }
        sleep_until(self.next_at).await;
        None
    }
}
