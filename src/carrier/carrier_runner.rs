//! Makes the calls that the holder of the lease has ordered.

use std::rc::Rc;

use crate::carrier::carrier_seat::max_age_ms;
use crate::carrier::CallExecutor;
use crate::carrier::CallOrder;
use crate::carrier::CallOutcome;
use crate::carrier::CallResult;
use crate::carrier::CarrierChannels;
use crate::carrier::WorkerCall;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::workflow::CommandOutcome;
use crate::workflow::RenewalOutcome;

/// Orders as they were received.
#[derive(Debug)]
pub(crate) struct ReceivedBatch {
    /// Epoch of the holder that they are from.
    pub(crate) epoch: u64,
    pub(crate) orders: Vec<CallOrder>,
    /// The earliest time at which the holder may have handed them out, in ms on this host's clock.
    pub(crate) handed_out_ms: u64,
}

/// A result, and whom it is for.
#[derive(Debug)]
pub(crate) struct RunnerResult {
    pub(crate) epoch: u64,
    pub(crate) worker: WorkerId,
    pub(crate) result: CallResult,
}

/// Carries out orders, each beside the others, until the thread that receives them has ended.
pub async fn run_carrier<E: CallExecutor + 'static>(executor: Rc<E>, channels: CarrierChannels) {
    let holder = channels.holder_sender();
    let (mut batches, results) = channels.into_parts();
    while let Some(batch) = batches.recv().await {
        for order in batch.orders {
            let holder = holder.clone();
            let executor = Rc::clone(&executor);
            let results = results.clone();
            let (epoch, handed_out_ms) = (batch.epoch, batch.handed_out_ms);
            monoio::spawn(async move {
                // Orders of a holder that this host knows to be replaced are not carried out.
                let is_current = holder.borrow().is_some_and(|now| now.epoch == epoch);
                let outcome = match is_current {
                    true => carry_out(executor.as_ref(), &order, handed_out_ms).await,
                    false => unsent_outcome(&order.call, "another holder is known".to_owned()),
                };
                let result = RunnerResult {
                    epoch,
                    worker: order.target.id,
                    result: CallResult {
                        number: order.number,
                        outcome,
                    },
                };
                // Without room, the holder counts the call as one without an answer.
                let _ = results.try_send(result);
            });
        }
    }
}

/// Makes a call unless the order is too old: a carrier that was paused sends nothing on a permission that has
/// run out meanwhile.
async fn carry_out<E: CallExecutor>(
    executor: &E,
    order: &CallOrder,
    handed_out_ms: u64,
) -> CallOutcome {
    let age_ms = order.age_ms + boot_ms().saturating_sub(handed_out_ms);
    if age_ms > max_age_ms(&order.call) {
        log::warn!(
            "event=order_expired number={} worker={} age_ms={age_ms}",
            order.number,
            order.target.id
        );
        return unsent_outcome(&order.call, "the order is too old".to_owned());
    }
    executor.execute(&order.target, &order.call).await
}

/// Returns the outcome of a call that was certainly not sent.
pub(crate) fn unsent_outcome(call: &WorkerCall, reason: String) -> CallOutcome {
    match call {
        WorkerCall::Renew(_) => CallOutcome::Renewal(RenewalOutcome::Unknown(reason)),
        _ => CallOutcome::Command(CommandOutcome::NotSent(reason)),
    }
}
