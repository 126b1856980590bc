//! Serves the connections of carriers.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::unfold;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::carrier::call_order::SentResult;
use crate::carrier::carrier_service::CarrierService;
use crate::carrier::CarrierBoard;
use crate::carrier::CarrierOffer;
use crate::carrier::OrderBatch;
use crate::connection::peer_transport;

/// The pause after a connection that can't be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The limit on open connections. Further ones are closed.
const MAX_CONNECTIONS: usize = 1_000;

/// The limit on calls of one connection that are served at the same time. A carrier has one that takes
/// orders and one that delivers results.
const MAX_CALLS: usize = 8;

/// Time without a call after which a connection is closed: a carrier's next one follows within a round trip.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the calls of one carrier.
#[derive(Clone)]
struct CarrierServer {
    board: Arc<CarrierBoard>,
    /// Numbers the connections. Unlike a number that carriers choose, it never goes back.
    session: u64,
}

impl CarrierService for CarrierServer {
    async fn take(self, _: Context, offer: CarrierOffer) -> OrderBatch {
        self.board.take(offer, self.session).await
    }

    async fn deliver(self, _: Context, name: String, results: Vec<SentResult>) -> bool {
        self.board.deliver(&name, self.session, results)
    }
}

/// Accepts and serves the connections of carriers; never returns.
pub(crate) async fn serve_carriers(listener: TcpListener, board: Arc<CarrierBoard>) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut session = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        session += 1;
        let server = CarrierServer {
            board: Arc::clone(&board),
            session,
        };
        let channel = BaseChannel::with_defaults(peer_transport(stream));
        let calls = Box::pin(channel.execute(server.serve()));
        // A connection without calls is closed.
        let calls = unfold(calls, |mut calls| async move {
            let next = timeout(IDLE_TIMEOUT, calls.next()).await;
            next.ok().flatten().map(|call| (call, calls))
        });
        tokio::spawn(async move {
            let served = calls.for_each_concurrent(MAX_CALLS, |call| call);
            served.await;
            drop(permit);
        });
    }
}
