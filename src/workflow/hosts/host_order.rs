//! An order to a host, and the incarnation that it was decided for.

use crate::id::HostId;
use crate::id::IncarnationStart;
use crate::id::WaveId;
use crate::id::WorkerId;
use crate::workflow::CordonReason;

/// An order that ends all that runs on its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum HostOrder {
    /// Upkeep for a wave, which is done once for each wave.
    Upkeep(WaveId),
    /// A move to the named pool.
    Move(String),
}

impl HostOrder {
    /// Returns why the worker is cordoned on a host that is to get the order.
    pub(crate) fn cordon(&self) -> CordonReason {
        match self {
            Self::Upkeep(_) => CordonReason::Upkeep,
            Self::Move(pool) => CordonReason::Move(pool.clone()),
        }
    }
}

/// A host, and the worker on it that an order was decided for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OrderTarget {
    pub(crate) host: HostId,
    /// `None` for a host without a worker.
    pub(crate) worker: Option<WorkerId>,
    /// The start of the worker's incarnation, if it states any.
    pub(crate) incarnation_start: Option<IncarnationStart>,
    /// It has no worker, and one may register at any time. The hosts of a standby pool run none.
    pub(crate) awaits_worker: bool,
}
