//! Tracks the latest command to each host, so that a successor of the controller does not
//! command the same hosts too early.
//!
//! The controller may be restarted or lost while demand rises. Its successor has to move hosts at
//! once, so only those that the predecessor commanded recently are blocked.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::HostId;
use crate::workflow::RowLimit;

/// Min time between commands of two controllers for one host. The platform requires 3 s after
/// the earlier holder's last command; half a poll interval of the leader row is added.
const MIN_TAKEOVER_GAP_MS: u64 = 3_150;

/// Time for which an unanswered command is kept, so that a successor knows that it may be carried out.
const MAX_UNANSWERED_MS: u64 = 12_500;

/// Bytes of a command in that row besides the host's name: punctuation and an age of five digits.
const COMMAND_ROW_BYTES: usize = 11;

/// Key of the row with the ages of the latest commands, written with the leader row while there
/// are any.
pub const COMMANDS_KEY: &str = "control/orders";

/// Ages of the latest commands by host, in ms at the time when the row was written.
pub type CommandAges = BTreeMap<HostId, u64>;

/// State of the latest command to one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandState {
    /// May be in progress.
    Pending,
    /// Resolved at this time, in ms.
    Resolved(u64),
    /// Without an answer by this time, in ms, so that it may be carried out later.
    Unanswered(u64),
    /// Sent by an earlier controller at this time or before, in ms.
    Inherited(u64),
}

/// The latest commands to hosts, from this controller and earlier ones.
#[derive(Debug, Default)]
pub struct HostCommands {
    commands: HashMap<HostId, CommandState>,
    /// Time until which no host may be commanded, in ms, because earlier commands are not known.
    blocked_until_ms: u64,
    row_limit: RowLimit,
}

impl HostCommands {
    /// Creates the commands of a controller that takes over at `now_ms`. Without ages, any host
    /// may have been commanded recently.
    pub fn new(inherited: Option<&CommandAges>, now_ms: u64) -> Self {
        let Some(ages) = inherited else {
            return Self {
                commands: HashMap::new(),
                blocked_until_ms: now_ms + MIN_TAKEOVER_GAP_MS,
                row_limit: RowLimit::default(),
            };
        };
        let command = |(host, age_ms): (&HostId, &u64)| {
            let at_ms = now_ms.saturating_sub(*age_ms);
            (host.clone(), CommandState::Inherited(at_ms))
        };
        Self {
            commands: ages.iter().map(command).collect(),
            blocked_until_ms: 0,
            row_limit: RowLimit::default(),
        }
    }

    /// Sets the limit on the row with the ages.
    #[must_use]
    pub fn with_row_limit(mut self, limit: RowLimit) -> Self {
        self.row_limit = limit;
        self
    }

    /// Records that a command is about to be sent to a host.
    pub fn record_pending(&mut self, host: &HostId) {
        self.commands.insert(host.clone(), CommandState::Pending);
    }

    /// Records that a command has got no answer.
    pub fn record_unanswered(&mut self, host: &HostId, now_ms: u64) {
        self.commands
            .insert(host.clone(), CommandState::Unanswered(now_ms));
    }

    /// Records that a command was answered or was not sent.
    pub fn record_resolved(&mut self, host: &HostId, now_ms: u64) {
        self.commands
            .insert(host.clone(), CommandState::Resolved(now_ms));
    }

    /// Returns those of `hosts`, from the first one on, that this controller may command and whose
    /// commands the row of ages has room for.
    pub fn permitted(&self, hosts: impl Iterator<Item = HostId>, now_ms: u64) -> Vec<HostId> {
        let row_bytes = |host: &HostId| host.as_str().len() + COMMAND_ROW_BYTES;
        let mut bytes: usize = self.commands.keys().map(row_bytes).sum();
        let fits = |host: &HostId| {
            if !self.may_command(host, now_ms) || self.commands.contains_key(host) {
                return self.may_command(host, now_ms);
            }
            let has_room = bytes + row_bytes(host) <= self.row_limit.get();
            if has_room {
                bytes += row_bytes(host);
            }
            has_room
        };
        hosts.filter(fits).collect()
    }

    /// Returns whether this controller may command a host: not while its command to the host is in
    /// progress, or soon after an earlier controller's.
    pub fn may_command(&self, host: &HostId, now_ms: u64) -> bool {
        let is_blocked = self.is_pending(host) || self.is_blocked_by_predecessor(host, now_ms);
        now_ms >= self.blocked_until_ms && !is_blocked
    }

    /// Returns whether a command of this controller to a host may be in progress.
    pub fn is_pending(&self, host: &HostId) -> bool {
        matches!(self.commands.get(host), Some(CommandState::Pending))
    }

    /// Returns whether an earlier controller commanded a host so recently that this one may not
    /// command it yet.
    pub fn is_blocked_by_predecessor(&self, host: &HostId, now_ms: u64) -> bool {
        let at_ms = self.inherited_command_ms(host);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + MIN_TAKEOVER_GAP_MS)
    }

    /// Returns the latest time at which an earlier controller may have sent the host's latest
    /// command, in ms.
    pub fn inherited_command_ms(&self, host: &HostId) -> Option<u64> {
        match self.commands.get(host) {
            Some(CommandState::Inherited(at_ms)) => Some(*at_ms),
            _ => None,
        }
    }

    /// Removes commands that are too old to block a successor and returns the ages of the others.
    /// Returns `None` while earlier commands are not known.
    pub fn ages(&mut self, now_ms: u64) -> Option<CommandAges> {
        self.commands.retain(|_, command| match *command {
            CommandState::Pending => true,
            CommandState::Resolved(at_ms) | CommandState::Inherited(at_ms) => {
                now_ms < at_ms + MIN_TAKEOVER_GAP_MS
            }
            CommandState::Unanswered(at_ms) => now_ms < at_ms + MAX_UNANSWERED_MS,
        });
        if now_ms < self.blocked_until_ms {
            return None;
        }
        let age = |command: &CommandState| match *command {
            CommandState::Pending => 0,
            CommandState::Resolved(at_ms)
            | CommandState::Unanswered(at_ms)
            | CommandState::Inherited(at_ms) => now_ms - at_ms,
        };
        let ages = self.commands.iter();
        Some(
            ages.map(|(host, command)| (host.clone(), age(command)))
                .collect(),
        )
    }
}
