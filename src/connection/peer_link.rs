//! The task that talks to one peer.

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

use crate::connection::packed_value::unpack;
use crate::connection::peer_service::PeerServiceClient;
use crate::connection::peer_transport::peer_transport;
use crate::connection::PeerReply;
use crate::process::PeerCall;
use crate::process::PeerState;
use crate::version::FACT_KINDS;

/// The time between two heartbeats to a peer.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The time within which a call must be answered.
const CALL_TIME: Duration = Duration::from_secs(1);
/// The time within which a connection must be made.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// How a peer is kept up to date.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BeatPlan {
    /// The probability that a heartbeat is sent at each interval.
    pub(crate) chance: f64,
    /// Whether changed facts are sent word of at once.
    pub(crate) push: bool,
}

/// Exchanges heartbeats with one peer and carries calls to it.
pub struct PeerLink {
    state: Arc<PeerState>,
    address: SocketAddr,
    client: Option<PeerServiceClient>,
}

impl PeerLink {
    /// Creates a link to the peer at `address`, connected when first used.
    pub fn new(state: Arc<PeerState>, address: SocketAddr) -> Self {
        Self {
            state,
            address,
            client: None,
        }
    }

    /// Keeps the link for as long as `calls` is open.
    pub(crate) async fn run(
        mut self,
        plan: BeatPlan,
        mut calls: mpsc::UnboundedReceiver<PeerCall>,
    ) {
        let mut changes = self.state.facts.subscribe();
        let mut next_beat = tokio::time::Instant::now();
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.carry(call).await,
                    None => return,
                },
                changed = changes.changed(), if plan.push => match changed {
                    Ok(()) => self.beat().await,
                    Err(_) => return,
                },
                // The time is kept across calls, which may come all the time.
                () = sleep_until(next_beat) => {
                    next_beat += BEAT_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
                    if rand::rng().random_bool(plan.chance) {
                        self.beat().await;
                    }
                }
            }
        }
    }

    /// Exchanges heartbeats and fetches what the peer has newer.
    pub(crate) async fn beat(&mut self) {
        let Some(client) = self.client().await else {
            return;
        };
        match client.beat(call_context(), self.state.beat()).await {
            Ok(reply) => {
                self.state.hear(&reply);
                self.catch_up(&client, &reply).await;
            }
            Err(_) => self.client = None,
        }
    }

    async fn catch_up(&self, client: &PeerServiceClient, reply: &PeerReply) {
        let held = self.state.facts.digest();
        for kind in FACT_KINDS {
            let index = kind.index();
            if reply.facts[index] <= held[index] {
                continue;
            }
            if !self.state.facts.try_start_fetch(kind, reply.facts[index]) {
                continue;
            }
            let fetched = client.fetch_fact(call_context(), index as u8).await;
            let Ok((revision, packed)) = fetched else {
                continue;
            };
            self.state.count_fetched(packed.len());
            // A value that cannot be unpacked is fetched again from another peer.
            if let Ok(value) = unpack(&packed) {
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

    async fn carry(&mut self, call: PeerCall) {
        let Some(client) = self.client().await else {
            return;
        };
        match call {
            PeerCall::CatchUp { .. } => self.beat().await,
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
        let connected = timeout(CONNECT_TIME, TcpStream::connect(self.address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = peer_transport(stream);
        Some(PeerServiceClient::new(Config::default(), transport).spawn())
    }
}

/// A peer link's task and the way to give it calls.
pub(crate) struct LinkHandle {
    pub(crate) address: SocketAddr,
    pub(crate) plan: BeatPlan,
    pub(crate) calls: mpsc::UnboundedSender<PeerCall>,
}

fn call_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_TIME;
    context
}
