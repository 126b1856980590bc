//! The task that sends heartbeats and calls to one peer, another entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tarpc::client::Config;
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::connection::peer_service::PeerServiceClient;
use crate::connection::peer_transport::peer_transport;
use crate::connection::value_compression::decompress;
use crate::connection::PeerReply;
use crate::process::PeerCall;
use crate::process::PeerState;
use crate::version::FACT_KINDS;

/// The mean interval at which a heartbeat is due, with a jitter of 10%. [`HeartbeatPlan`] sets how
/// many of the due heartbeats are sent.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The deadline of a call, from sending to its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often heartbeats go to a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeartbeatPlan {
    /// The probability, 0 to 1, that a heartbeat is sent when it is due.
    pub(crate) probability: f64,
    /// Whether a heartbeat is sent at once when a fact changes.
    pub(crate) push: bool,
}

/// Exchanges heartbeats with one peer and sends calls to it.
pub struct PeerLink {
    state: Arc<PeerState>,
    address: SocketAddr,
    client: Option<PeerServiceClient>,
}

impl PeerLink {
    /// Creates a link to the peer at `address`, which connects on first use.
    pub fn new(state: Arc<PeerState>, address: SocketAddr) -> Self {
        Self {
            state,
            address,
            client: None,
        }
    }

    /// Runs the link until `calls` is closed.
    pub(crate) async fn run(
        mut self,
        plan: HeartbeatPlan,
        mut calls: mpsc::UnboundedReceiver<PeerCall>,
    ) {
        let mut changes = self.state.facts.subscribe();
        let mut next_heartbeat = tokio::time::Instant::now();
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.send_call(call).await,
                    None => return,
                },
                changed = changes.changed(), if plan.push => match changed {
                    Ok(()) => self.heartbeat().await,
                    Err(_) => return,
                },
                // An absolute time, since frequent calls would restart a relative sleep each time.
                () = sleep_until(next_heartbeat) => {
                    next_heartbeat +=
                        HEARTBEAT_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
                    if rand::rng().random_bool(plan.probability) {
                        self.heartbeat().await;
                    }
                }
            }
        }
    }

    /// Exchanges heartbeats and fetches the facts and hosts of which the peer has newer revisions.
    pub(crate) async fn heartbeat(&mut self) {
        let Some(client) = self.client().await else {
            return;
        };
        match client
            .heartbeat(call_context(), self.state.heartbeat())
            .await
        {
            Ok(reply) => {
                self.state.record_heartbeat(&reply);
                self.fetch_updates(&client, &reply).await;
            }
            Err(_) => self.client = None,
        }
    }

    async fn fetch_updates(&self, client: &PeerServiceClient, reply: &PeerReply) {
        let local = self.state.facts.digest();
        for kind in FACT_KINDS {
            let index = kind.index();
            if reply.facts[index] <= local[index] {
                continue;
            }
            if !self.state.facts.try_start_fetch(kind, reply.facts[index]) {
                continue;
            }
            let fetched = client.fetch_fact(call_context(), index as u8).await;
            let Ok((revision, compressed)) = fetched else {
                continue;
            };
            self.state.count_fetched_bytes(compressed.len());
            // A value that cannot be decompressed is fetched again from another peer.
            if let Ok(value) = decompress(&compressed) {
                self.state.facts.update_if_newer(kind, revision, &value);
            }
        }
        let since = self.state.hosts().revision();
        if reply.hosts > since {
            let fetched = client.fetch_hosts(call_context(), since).await;
            if let Ok(changes) = fetched {
                self.state.merge_hosts(changes);
            }
        }
    }

    /// Sends a call, unless its caller no longer waits for it. If it fails, its reply channel is
    /// dropped and the next call connects again.
    async fn send_call(&mut self, call: PeerCall) {
        if call.is_abandoned() {
            return;
        }
        let Some(client) = self.client().await else {
            return;
        };
        match call {
            PeerCall::FetchNewer { .. } => self.heartbeat().await,
            PeerCall::WakeJobs { .. } => {
                if client.wake_jobs(call_context()).await.is_err() {
                    self.client = None;
                }
            }
            PeerCall::Drain { hosts, reply, .. } => {
                match client.drain(call_context(), hosts).await {
                    Ok(report) => drop(reply.send(report)),
                    Err(_) => self.client = None,
                }
            }
            PeerCall::Borrow {
                wanted,
                time,
                reply,
                ..
            } => {
                let borrower = self.state.identity.entry.clone();
                let millis = time.as_millis() as u64;
                match client.lend(call_context(), borrower, wanted, millis).await {
                    Ok(granted) => drop(reply.send(granted)),
                    Err(_) => self.client = None,
                }
            }
        }
    }

    async fn client(&mut self) -> Option<PeerServiceClient> {
        if self.client.is_none() {
            self.client = self.connect().await;
        }
        self.client.clone()
    }

    async fn connect(&self) -> Option<PeerServiceClient> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = peer_transport(stream);
        Some(PeerServiceClient::new(Config::default(), transport).spawn())
    }
}

/// The address and heartbeat plan of a running peer link, and the channel for its calls.
pub(crate) struct LinkHandle {
    pub(crate) address: SocketAddr,
    pub(crate) plan: HeartbeatPlan,
    pub(crate) calls: mpsc::UnboundedSender<PeerCall>,
}

fn call_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
