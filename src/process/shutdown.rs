//! The way from running to stopped.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::sync::watch;

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ShutdownPhase {
    /// The process serves.
    Running,
    /// Readiness fails, requests are still accepted.
    Notice,
    /// No connection is accepted, requests in flight finish.
    Closing,
}

/// Tells every task of a process how far its shutdown has come.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    phase: Arc<watch::Sender<ShutdownPhase>>,
    busy: Arc<AtomicUsize>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl ShutdownSignal {
    /// Creates the signal of a process that runs.
    pub fn new() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(ShutdownPhase::Running)),
            busy: Arc::default(),
        }
    }

    /// Makes readiness fail.
    pub fn give_notice(&self) {
        self.advance(ShutdownPhase::Notice);
    }

    /// Ends the acceptance of connections and requests.
    pub fn close(&self) {
        self.advance(ShutdownPhase::Closing);
    }

    /// Tells whether the process still asks for requests.
    pub fn is_running(&self) -> bool {
        *self.phase.borrow() == ShutdownPhase::Running
    }

    /// Tells whether connections close after the request in flight.
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() == ShutdownPhase::Closing
    }

    /// Waits until connections close.
    pub async fn closing(&self) {
        let mut receiver = self.phase.subscribe();
        let closed = receiver
            .wait_for(|phase| *phase == ShutdownPhase::Closing)
            .await;
        drop(closed);
    }

    /// Waits until shutdown has begun.
    pub async fn notice(&self) {
        let mut receiver = self.phase.subscribe();
        let noticed = receiver
            .wait_for(|phase| *phase >= ShutdownPhase::Notice)
            .await;
        drop(noticed);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(&self) -> BusyGuard {
        self.busy.fetch_add(1, Ordering::AcqRel);
        BusyGuard {
            busy: Arc::clone(&self.busy),
        }
    }

    /// Returns the number of requests in flight.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|held| {
            let later = phase > *held;
            *held = phase.max(*held);
            later
        });
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct BusyGuard {
    busy: Arc<AtomicUsize>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }
}
