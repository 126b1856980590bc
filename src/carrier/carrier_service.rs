//! RPC interface of the holder for its carriers.

use crate::carrier::call_order::SentResult;
use crate::carrier::CarrierOffer;
use crate::carrier::OrderBatch;

/// The calls of carriers to the holder of the lease.
#[tarpc::service]
pub(crate) trait CarrierService {
    /// Waits for orders for this carrier. `session` differs for each connection: an order that was handed
    /// out on an earlier one is not handed out again.
    async fn take(offer: CarrierOffer, session: u64) -> OrderBatch;
    /// Delivers the outcomes of orders. Returns whether this session is the carrier's current one.
    async fn deliver(name: String, session: u64, results: Vec<SentResult>) -> bool;
}
