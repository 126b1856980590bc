//! The holder's calls to workers, through carriers where the fleet is large.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::carrier::carrier_pool::CarriedCall;
use crate::carrier::CallOutcome;
use crate::carrier::CarrierPool;
use crate::carrier::WorkerCall;
use crate::workflow::CommandOutcome;
use crate::workflow::LeaseRenewal;
use crate::workflow::RenewalOutcome;
use crate::workflow::StartCommand;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerGateway;
use crate::workflow::WorkerState;

/// Sends calls through carriers; those that no carrier was handed are sent by this process.
pub struct CarriedGateway<G> {
    direct: Rc<G>,
    pool: Option<Rc<CarrierPool>>,
}

impl<G: WorkerGateway> CarriedGateway<G> {
    /// Creates a gateway that sends all calls itself through `direct`.
    pub fn new(direct: Rc<G>) -> Self {
        Self { direct, pool: None }
    }

    /// Sets the carriers.
    pub fn with_carriers(mut self, pool: Option<Rc<CarrierPool>>) -> Self {
        self.pool = pool;
        self
    }

    /// Tells the carriers' choice the present fleet and how late this process is.
    pub(crate) fn update<'a>(&self, workers: impl Iterator<Item = &'a WorkerState>, lag: Duration) {
        let Some(pool) = &self.pool else {
            return;
        };
        let mut fleet = BTreeMap::new();
        for worker in workers {
            let data_centre = &worker.entry.data_centre;
            match fleet.get_mut(data_centre) {
                Some(count) => *count += 1,
                None => drop(fleet.insert(data_centre.clone(), 1)),
            }
        }
        pool.set_fleet(fleet);
        pool.set_lag(lag);
    }

    /// Returns the number of carriers in use.
    pub(crate) fn carrier_count(&self) -> usize {
        let pool = self.pool.as_ref();
        pool.map_or(0, |pool| pool.carrier_count())
    }

    /// Hands a call to a carrier. Returns `None` if none was handed it.
    async fn carry(
        &self,
        worker: &WorkerEntry,
        call: impl FnOnce() -> WorkerCall,
    ) -> Option<CarriedCall> {
        let pool = self.pool.as_ref()?;
        match pool.call(worker, call()).await {
            CarriedCall::NotHandedOut => None,
            carried => Some(carried),
        }
    }
}

/// Returns the outcome of a carried command.
fn command_outcome(carried: CarriedCall) -> CommandOutcome {
    match carried {
        CarriedCall::Done(CallOutcome::Command(outcome)) => outcome,
        CarriedCall::NotSent => CommandOutcome::NotSent("no carrier took it in time".to_owned()),
        _ => CommandOutcome::Unknown("no answer of the carrier".to_owned()),
    }
}

impl<G: WorkerGateway> WorkerGateway for CarriedGateway<G> {
    async fn start_task(&self, worker: &WorkerEntry, command: &StartCommand) -> CommandOutcome {
        let call = || WorkerCall::Start(command.clone());
        match self.carry(worker, call).await {
            Some(carried) => command_outcome(carried),
            None => self.direct.start_task(worker, command).await,
        }
    }

    async fn stop_task(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        epoch: u64,
    ) -> CommandOutcome {
        let task_name = task.clone();
        let call = || WorkerCall::Stop {
            task: task_name,
            run,
            epoch,
        };
        match self.carry(worker, call).await {
            Some(carried) => command_outcome(carried),
            None => self.direct.stop_task(worker, task, run, epoch).await,
        }
    }

    async fn renew_lease(&self, worker: &WorkerEntry, renewal: &LeaseRenewal) -> RenewalOutcome {
        match self.carry(worker, || WorkerCall::Renew(*renewal)).await {
            Some(CarriedCall::Done(CallOutcome::Renewal(outcome))) => outcome,
            Some(_) => RenewalOutcome::Unknown("no answer of the carrier".to_owned()),
            None => self.direct.renew_lease(worker, renewal).await,
        }
    }

    async fn set_task_pace(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        percent: u32,
        epoch: u64,
    ) -> CommandOutcome {
        let task_name = task.clone();
        let call = || WorkerCall::Pace {
            task: task_name,
            run,
            percent,
            epoch,
        };
        match self.carry(worker, call).await {
            Some(carried) => command_outcome(carried),
            None => {
                let direct = self.direct.as_ref();
                direct
                    .set_task_pace(worker, task, run, percent, epoch)
                    .await
            }
        }
    }
}
