//! RPC server for the calls of peers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::connection::peer_service::PeerService;
use crate::connection::peer_transport::peer_transport;
use crate::connection::value_compression::compress;
use crate::connection::PeerHeartbeat;
use crate::connection::PeerReply;
use crate::connection::SlotRequest;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::process::PeerState;
use crate::provider::HostChanges;
use crate::version::FACT_KINDS;

/// The maximum duration of a slot loan; longer loans are shortened to it.
const MAX_LOAN_DURATION: Duration = Duration::from_secs(10);

/// Serves the calls of one peer.
#[derive(Clone)]
struct PeerServer {
    state: Arc<PeerState>,
}

impl PeerService for PeerServer {
    async fn heartbeat(self, _: Context, heartbeat: PeerHeartbeat) -> PeerReply {
        self.state.record_incoming_heartbeat(&heartbeat);
        self.state.heartbeat()
    }

    async fn fetch_fact(self, _: Context, index: u8) -> (Revision, Vec<u8>) {
        match FACT_KINDS.get(usize::from(index)) {
            Some(kind) => {
                let fact = self.state.facts.get(*kind);
                (fact.revision, compress(&fact.value).unwrap_or_default())
            }
            None => (Revision::new(0), Vec::new()),
        }
    }

    async fn fetch_hosts(self, _: Context, since: Revision) -> HostChanges {
        self.state.hosts().changed_since(since)
    }

    async fn drain(self, _: Context, hosts: Vec<HostId>) -> (Incarnation, Vec<DrainReport>) {
        let reports = hosts
            .iter()
            .map(|host| self.state.allocator.drain_report(host))
            .collect();
        (self.state.identity.incarnation, reports)
    }

    async fn wake_jobs(self, _: Context) {
        self.state.wake_jobs();
    }

    async fn lend(
        self,
        _: Context,
        borrower: EntryId,
        wanted: Vec<SlotRequest>,
        time_ms: u64,
    ) -> Vec<SlotRequest> {
        let time = Duration::from_millis(time_ms).min(MAX_LOAN_DURATION);
        let now = Instant::now();
        let allocator = &self.state.allocator;
        wanted
            .into_iter()
            .map(|request| SlotRequest {
                slots: allocator.lend(&request.host, &borrower, request.slots, time, now),
                host: request.host,
            })
            .collect()
    }
}

/// Accepts and serves the connections of peers; never returns.
pub async fn serve_peers(listener: TcpListener, state: Arc<PeerState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let transport = peer_transport(stream);
        let server = PeerServer {
            state: Arc::clone(&state),
        };
        let channel = BaseChannel::with_defaults(transport);
        let served = channel
            .execute(server.serve())
            .for_each_concurrent(None, |call| async move {
                call.await;
            });
        tokio::spawn(served);
    }
}
