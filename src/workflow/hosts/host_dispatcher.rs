//! Sends commands to hosts beside the decisions about them, so that a command without an answer
//! delays no other host.

use std::future::Future;
use std::rc::Rc;

use futures::future::join_all;
use tokio::sync::Semaphore;

use crate::id::HostId;
use crate::process::boot_ms;
use crate::provider::RowWrite;
use crate::workflow::ControllerTerm;

/// Max commands of one kind that are on their way together. Each needs a connection, and one that is
/// not answered holds its place until its time limit.
const MAX_COMMANDS: usize = 64;

/// Age in ms at which a decision is dropped if its command is not sent yet. The next pass decides anew:
/// the list of hosts and the demand have changed meanwhile.
const MAX_DECISION_AGE_MS: u64 = 1_500;

/// Sends commands of one kind during one term.
pub(crate) struct HostDispatcher {
    term: Rc<ControllerTerm>,
    /// Permits for commands on their way.
    permits: Semaphore,
}

impl HostDispatcher {
    pub(crate) fn new(term: Rc<ControllerTerm>) -> Rc<Self> {
        Rc::new(Self {
            term,
            permits: Semaphore::new(MAX_COMMANDS),
        })
    }

    /// Announces commands to hosts that this controller may command, with a commit that also writes
    /// `row`, and sends them. No other command may be sent to a host until its own is answered or
    /// dropped.
    pub(crate) fn dispatch<F>(self: &Rc<Self>, commands: Vec<(HostId, F)>, row: Option<RowWrite>)
    where
        F: Future<Output = ()> + 'static,
    {
        if commands.is_empty() {
            return;
        }
        let decided_ms = boot_ms();
        let hosts = commands.iter().map(|(host, _)| host.clone()).collect();
        let announced = self.term.announce_commands(hosts, row);
        let dispatcher = Rc::clone(self);
        monoio::spawn(async move {
            if !announced.await {
                return;
            }
            let sends = commands
                .into_iter()
                .map(|(host, send)| dispatcher.send(host, send, decided_ms));
            join_all(sends).await;
        });
    }

    /// Sends a command once there is room for it, unless its decision is too old then or the lease
    /// isn't held for sure.
    async fn send<F: Future<Output = ()>>(&self, host: HostId, send: F, decided_ms: u64) {
        let permit = self.permits.acquire().await;
        let is_current = boot_ms() < decided_ms + MAX_DECISION_AGE_MS;
        if permit.is_ok() && is_current && self.term.may_command() {
            send.await;
        } else {
            log::info!("event=host_order_dropped host={host}");
        }
        let now_ms = boot_ms();
        let is_open = self
            .term
            .engine
            .borrow()
            .may_order_take_effect(&host, now_ms);
        let mut commands = self.term.host_commands.borrow_mut();
        match is_open {
            true => commands.record_unanswered(&host, now_ms),
            false => commands.record_resolved(&host, now_ms),
        }
    }
}
