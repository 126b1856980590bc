//! The peer thread: serves peers and runs one link for each other member, the task that sends it
//! heartbeats and calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::connection::serve_peers;
use crate::connection::HeartbeatPlan;
use crate::connection::LinkHandle;
use crate::connection::PeerLink;
use crate::error::Error;
use crate::error::Result;
use crate::id::EntryId;
use crate::process::Member;
use crate::process::MemberSet;
use crate::process::PeerCall;
use crate::process::PeerState;
use crate::version::FactKind;

/// The average number of heartbeats per interval to members picked at random.
const RANDOM_HEARTBEATS_PER_INTERVAL: f64 = 1.0;
/// The interval between two attempts to reach the known peers at start.
const KNOWN_PEERS_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the thread that serves peers and keeps the links to them.
///
/// # Errors
///
/// Returns an error if the thread or its runtime cannot be started.
pub(crate) fn start_peer_thread(
    listener: std::net::TcpListener,
    state: Arc<PeerState>,
    calls: mpsc::UnboundedReceiver<PeerCall>,
    known_peers: Vec<SocketAddr>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|source| start_error("cannot start the peer runtime", source))?;
    thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || runtime.block_on(run_peers(listener, state, calls, known_peers)))
        .map_err(|source| start_error("cannot start the peer thread", source))?;
    Ok(())
}

fn start_error(action: &str, source: std::io::Error) -> Error {
    Error::Socket {
        action: action.to_owned(),
        source,
    }
}

async fn run_peers(
    listener: std::net::TcpListener,
    state: Arc<PeerState>,
    calls: mpsc::UnboundedReceiver<PeerCall>,
    known_peers: Vec<SocketAddr>,
) {
    match TcpListener::from_std(listener) {
        Ok(listener) => drop(tokio::spawn(serve_peers(listener, Arc::clone(&state)))),
        Err(error) => {
            log::error!(target: "zincpier::peers", "cannot register the peer listener, peers are not served: {error}")
        }
    }
    tokio::spawn(contact_known_peers(Arc::clone(&state), known_peers));
    LinkTable::new(state).run(calls).await;
}

/// Exchanges heartbeats with the known peers until a service text is known.
async fn contact_known_peers(state: Arc<PeerState>, known_peers: Vec<SocketAddr>) {
    let mut links = known_peers
        .into_iter()
        .map(|address| PeerLink::new(Arc::clone(&state), address))
        .collect::<Vec<_>>();
    while state.facts.get(FactKind::Text).revision.get() == 0 {
        for link in &mut links {
            link.heartbeat().await;
        }
        sleep(KNOWN_PEERS_RETRY_INTERVAL).await;
    }
}

/// The running links, one for each other member.
struct LinkTable {
    state: Arc<PeerState>,
    links: HashMap<EntryId, LinkHandle>,
}

impl LinkTable {
    fn new(state: Arc<PeerState>) -> Self {
        Self {
            state,
            links: HashMap::new(),
        }
    }

    async fn run(mut self, mut calls: mpsc::UnboundedReceiver<PeerCall>) {
        let mut changes = self.state.facts.subscribe();
        loop {
            self.update_links(&self.state.members());
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.forward(call),
                    None => return,
                },
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    fn forward(&self, call: PeerCall) {
        if let Some(link) = self.links.get(call.entry()) {
            // A link that has just ended drops the call; its caller then sees a closed channel.
            let _ = link.calls.send(call);
        }
    }

    fn update_links(&mut self, members: &MemberSet) {
        let own = &self.state.identity.entry;
        self.links.retain(|entry, link| {
            let plan = heartbeat_plan(&self.state, members, entry);
            let member = members.get(entry);
            member.is_some_and(|member| member.peer == link.address && plan == link.plan)
        });
        for (entry, member) in members.members() {
            if entry == own || self.links.contains_key(entry) {
                continue;
            }
            let link = start_link(&self.state, members, entry, member);
            self.links.insert(entry.clone(), link);
        }
        self.state.tracker().retain(members);
    }
}

fn start_link(
    state: &Arc<PeerState>,
    members: &MemberSet,
    entry: &EntryId,
    member: &Member,
) -> LinkHandle {
    let plan = heartbeat_plan(state, members, entry);
    let (calls, receiver) = mpsc::unbounded_channel();
    let link = PeerLink::new(Arc::clone(state), member.peer);
    tokio::spawn(link.run(plan, receiver));
    LinkHandle {
        address: member.peer,
        plan,
        calls,
    }
}

/// Returns how often heartbeats are sent to a peer, and whether a changed fact is sent at once.
///
/// Neighbours exchange heartbeats at each interval. In a large set each member also sends one
/// heartbeat per interval, on average, to a member picked at random, so that the cost for a
/// member does not grow with the set. Changes are sent at once to all members of a full mesh, and
/// otherwise to the members of the same data centre.
fn heartbeat_plan(state: &PeerState, members: &MemberSet, entry: &EntryId) -> HeartbeatPlan {
    let own = &state.identity;
    let same_data_centre = members
        .get(entry)
        .is_some_and(|member| member.data_centre == own.data_centre);
    let others = members.members().len().saturating_sub(1);
    let full_mesh = members.is_full_mesh();
    let probability = match members.sends_heartbeats_to(&own.entry, entry) {
        true => 1.0,
        false if full_mesh => 0.0,
        false => (RANDOM_HEARTBEATS_PER_INTERVAL / others as f64).min(1.0),
    };
    HeartbeatPlan {
        probability,
        push: full_mesh || same_data_centre,
    }
}
