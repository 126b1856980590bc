//! Which hosts were given orders lately, so that the next controller keeps its distance.
//!
//! Load pattern: the controller is restarted or lost in the middle of a rise. Its successor
//! has to move hosts at once; only those that its predecessor gave an order lately must wait.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::HostId;

/// The least time between orders of two controllers for one host, in ms: the platform's
/// bound of 3 s from the earlier holder's last order, and half a look.
const MIN_TAKEOVER_GAP_MS: u64 = 3_150;

/// The row with the ages of the latest orders; written beside the leader row while there
/// are any.
pub const COMMANDS_KEY: &str = "control/orders";

/// The ages in ms of the latest orders, by host, when the row was written.
pub type CommandAges = BTreeMap<HostId, u64>;

/// What is known of one host's latest order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandState {
    /// It may be under way.
    Pending,
    /// It was settled at this time, in ms.
    Resolved(u64),
    /// An earlier controller gave it at this time or before, in ms.
    Inherited(u64),
}

/// The latest orders for hosts, of this controller and of those before it.
#[derive(Debug, Default)]
pub struct HostCommands {
    commands: HashMap<HostId, CommandState>,
    /// Until then no host may be given an order, in ms: earlier orders are not known.
    blocked_until_ms: u64,
}

impl HostCommands {
    /// Creates the orders of a controller that takes over at `now_ms`; without ages any host
    /// may have been given an order lately.
    pub fn new(inherited: Option<&CommandAges>, now_ms: u64) -> Self {
        let Some(ages) = inherited else {
            return Self {
                commands: HashMap::new(),
                blocked_until_ms: now_ms + MIN_TAKEOVER_GAP_MS,
            };
        };
        let command = |(host, age_ms): (&HostId, &u64)| {
            let at_ms = now_ms.saturating_sub(*age_ms);
            (host.clone(), CommandState::Inherited(at_ms))
        };
        Self {
            commands: ages.iter().map(command).collect(),
            blocked_until_ms: 0,
        }
    }

    /// Notes that a host is about to be given an order.
    pub fn record_pending(&mut self, host: &HostId) {
        self.commands.insert(host.clone(), CommandState::Pending);
    }

    /// Notes that an order was answered, was not sent, or will get no answer.
    pub fn record_resolved(&mut self, host: &HostId, now_ms: u64) {
        self.commands
            .insert(host.clone(), CommandState::Resolved(now_ms));
    }

    /// Tells whether this controller may give a host an order.
    pub fn may_command(&self, host: &HostId, now_ms: u64) -> bool {
        now_ms >= self.blocked_until_ms && !self.is_inherited(host, now_ms)
    }

    /// Tells whether an earlier controller gave a host an order lately.
    pub fn is_inherited(&self, host: &HostId, now_ms: u64) -> bool {
        let at_ms = self.inherited_ms(host);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + MIN_TAKEOVER_GAP_MS)
    }

    /// Returns the latest time at which an earlier controller may have given a host its
    /// latest order, in ms.
    pub fn inherited_ms(&self, host: &HostId) -> Option<u64> {
        match self.commands.get(host) {
            Some(CommandState::Inherited(at_ms)) => Some(*at_ms),
            _ => None,
        }
    }

    /// Returns the ages of the latest orders and forgets those that concern nobody any more;
    /// nothing while earlier orders are not known.
    pub fn ages(&mut self, now_ms: u64) -> Option<CommandAges> {
        self.commands.retain(|_, command| match *command {
            CommandState::Pending => true,
            CommandState::Resolved(at_ms) | CommandState::Inherited(at_ms) => {
                now_ms < at_ms + MIN_TAKEOVER_GAP_MS
            }
        });
        if now_ms < self.blocked_until_ms {
            return None;
        }
        let age = |command: &CommandState| match *command {
            CommandState::Pending => 0,
            CommandState::Resolved(at_ms) | CommandState::Inherited(at_ms) => now_ms - at_ms,
        };
        let ages = self.commands.iter();
        Some(
            ages.map(|(host, command)| (host.clone(), age(command)))
                .collect(),
        )
    }
}
