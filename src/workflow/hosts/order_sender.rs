//! Sends orders to hosts.

use std::rc::Rc;

use crate::process::boot_ms;
use crate::workflow::hosts::host_order::HostOrder;
use crate::workflow::hosts::host_order::OrderTarget;
use crate::workflow::ControllerTerm;
use crate::workflow::FleetPlatform;
use crate::workflow::HostOutcome;

/// Sends the orders of one term, and records what they end.
pub(crate) struct OrderSender<P> {
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
}

impl<P: FleetPlatform> OrderSender<P> {
    pub(crate) fn new(platform: Rc<P>, term: Rc<ControllerTerm>) -> Self {
        Self { platform, term }
    }

    /// Sends an order; returns `None` if its target has changed since it was decided. An accepted one has ended the
    /// target, if `is_first`: otherwise an earlier one may have been carried out before the target began.
    pub(crate) async fn send(
        &self,
        order: &HostOrder,
        target: &OrderTarget,
        is_first: bool,
    ) -> Option<HostOutcome> {
        let host = &target.host;
        let checked = self.term.engine.borrow().check_target(order, target);
        if let Err(reason) = checked {
            log::info!("event=host_order_dropped host={host} reason={reason:?}");
            return None;
        }
        let (engine, epoch) = (&self.term.engine, self.term.epoch);
        let sent_ms = boot_ms();
        engine.borrow_mut().begin_order(order, target, sent_ms);
        let outcome = match order {
            HostOrder::Upkeep(wave) => self.platform.start_upkeep(host, wave, epoch).await,
            HostOrder::Move(pool) => self.platform.move_host(host, pool, epoch).await,
        };
        let worker = target.worker.as_ref().map_or("none", |id| id.as_str());
        match order {
            HostOrder::Upkeep(wave) => log::info!(
                "event=host_upkeep host={host} wave={wave} worker={worker} epoch={epoch} outcome={outcome:?}"
            ),
            HostOrder::Move(pool) => log::info!(
                "event=host_moved host={host} to={pool} worker={worker} epoch={epoch} outcome={outcome:?}"
            ),
        }
        let mut engine = engine.borrow_mut();
        engine.finish_order(order, target, &outcome, boot_ms());
        if is_first && outcome == HostOutcome::Accepted {
            engine.end_ordered(order, target, boot_ms());
        }
        drop(engine);
        self.term.plan.notify_one();
        Some(outcome)
    }
}
