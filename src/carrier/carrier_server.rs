//! Serves the connections of carriers.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::carrier::call_order::SentResult;
use crate::carrier::carrier_service::CarrierService;
use crate::carrier::CarrierBoard;
use crate::carrier::CarrierOffer;
use crate::carrier::OrderBatch;
use crate::connection::peer_transport;

/// The pause after a connection that can't be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The limit on open connections.
const MAX_CONNECTIONS: usize = 1_000;

/// Serves the calls of one carrier.
#[derive(Clone)]
struct CarrierServer {
    board: Arc<CarrierBoard>,
}

impl CarrierService for CarrierServer {
    async fn take(self, _: Context, offer: CarrierOffer, session: u64) -> OrderBatch {
        self.board.take(offer, session).await
    }

    async fn deliver(
        self,
        _: Context,
        name: String,
        session: u64,
        results: Vec<SentResult>,
    ) -> bool {
        self.board.deliver(&name, session, results)
    }
}

/// Accepts and serves the connections of carriers; never returns.
pub(crate) async fn serve_carriers(listener: TcpListener, board: Arc<CarrierBoard>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let server = CarrierServer {
            board: Arc::clone(&board),
        };
        let channel = BaseChannel::with_defaults(peer_transport(stream));
        let served = channel
            .execute(server.serve())
            .for_each_concurrent(None, |call| async move {
                call.await;
            });
        tokio::spawn(async move {
            served.await;
            drop(place);
        });
    }
}
