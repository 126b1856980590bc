//! The phases of a graceful shutdown, and the count of requests in flight.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::sync::watch;

/// The phase of a shutdown; phases only advance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ShutdownPhase {
    /// Requests are served and readiness succeeds.
    Running,
    /// Readiness fails; requests are still accepted.
    Notice,
    /// No connection is accepted; requests in flight finish.
    Closing,
}

/// Signals the phase of the shutdown to all tasks of a process.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    phase: Arc<watch::Sender<ShutdownPhase>>,
    in_flight: Arc<AtomicUsize>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl ShutdownSignal {
    /// Creates a signal without requests in flight, before any shutdown.
    pub fn new() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(ShutdownPhase::Running)),
            in_flight: Arc::default(),
        }
    }

    /// Starts the shutdown: readiness fails from now on.
    pub fn give_notice(&self) {
        self.advance(ShutdownPhase::Notice);
    }

    /// Stops accepting connections and requests.
    pub fn close(&self) {
        self.advance(ShutdownPhase::Closing);
    }

    /// Returns whether no shutdown has started.
    pub fn is_running(&self) -> bool {
        *self.phase.borrow() == ShutdownPhase::Running
    }

    /// Returns whether connections close after their request in flight.
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() == ShutdownPhase::Closing
    }

    /// Waits until [`Self::close`] is called.
    pub async fn closing(&self) {
        let mut receiver = self.phase.subscribe();
        let closed = receiver
            .wait_for(|phase| *phase == ShutdownPhase::Closing)
            .await;
        drop(closed);
    }

    /// Waits until [`Self::give_notice`] is called.
    pub async fn notice(&self) {
        let mut receiver = self.phase.subscribe();
        let noticed = receiver
            .wait_for(|phase| *phase >= ShutdownPhase::Notice)
            .await;
        drop(noticed);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            in_flight: Arc::clone(&self.in_flight),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }
}

/// Counts one request as in flight while it exists.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
