//! One call to a worker and its outcome.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::WorkerId;
use crate::workflow::CommandOutcome;
use crate::workflow::LeaseRenewal;
use crate::workflow::RenewalOutcome;
use crate::workflow::StartCommand;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;

/// The worker that a call is meant for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerTarget {
    /// The worker's id; another incarnation refuses the call.
    pub id: WorkerId,
    /// The address that accepts commands.
    pub address: SocketAddr,
}

impl From<&WorkerEntry> for WorkerTarget {
    fn from(entry: &WorkerEntry) -> Self {
        Self {
            id: entry.id.clone(),
            address: entry.address,
        }
    }
}

/// A call to a worker. Each bears the holder's epoch; starts and renewals also bear the end of the lease
/// on the worker's clock, so that a call which is sent late is refused or grants nothing more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkerCall {
    /// Starts a run.
    Start(StartCommand),
    /// Stops a run.
    Stop {
        /// The task to stop.
        task: TaskName,
        /// The number of the run.
        run: u64,
        /// Epoch of the controller's lease.
        epoch: u64,
    },
    /// Renews the lease of all runs and waits for a run to end.
    Renew(LeaseRenewal),
    /// Limits a run's processing rate.
    Pace {
        /// The task to slow down.
        task: TaskName,
        /// The number of the run.
        run: u64,
        /// The rate, in percent of the full one.
        percent: u32,
        /// Epoch of the controller's lease.
        epoch: u64,
    },
}

impl WorkerCall {
    /// Returns how long the worker may wait before it answers.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Renew(renewal) => renewal.wait,
            _ => Duration::ZERO,
        }
    }

    /// Returns the estimated size of the encoded call, in bytes.
    pub(crate) fn size(&self) -> usize {
        const FIXED_BYTES: usize = 100;
        match self {
            Self::Start(command) => FIXED_BYTES + command.payload.len() + command.checkpoint.len(),
            _ => FIXED_BYTES,
        }
    }
}

/// The outcome of a call, by its kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallOutcome {
    /// Of a start, a stop or a change of pace.
    Command(CommandOutcome),
    /// Of a renewal.
    Renewal(RenewalOutcome),
}

impl CallOutcome {
    /// Returns whether the worker has answered, whatever it did.
    pub fn is_answer(&self) -> bool {
        match self {
            Self::Command(outcome) => matches!(
                outcome,
                CommandOutcome::Accepted(_) | CommandOutcome::Refused(_)
            ),
            Self::Renewal(outcome) => !matches!(outcome, RenewalOutcome::Unknown(_)),
        }
    }
}

/// Sends calls to workers.
pub trait CallExecutor {
    /// Sends a call and returns its outcome.
    fn execute(
        &self,
        target: &WorkerTarget,
        call: &WorkerCall,
    ) -> impl Future<Output = CallOutcome>;
}
