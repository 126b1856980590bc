//! RPC interface of the holder for its carriers.

use crate::carrier::call_order::SentResult;
use crate::carrier::CarrierOffer;
use crate::carrier::OrderBatch;

/// The calls of carriers to the holder of the lease.
#[tarpc::service]
pub(crate) trait CarrierService {
    /// Waits for orders for this carrier. An order that was handed out on an earlier connection is not
    /// handed out again.
    async fn take(offer: CarrierOffer) -> OrderBatch;
    /// Delivers the outcomes of orders. Returns whether the carrier may go on with this connection.
    async fn deliver(name: String, results: Vec<SentResult>) -> bool;
}
