//! Joins and leaves the member set, and marks peers in it as lost or as live again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Result;
use crate::id::EntryId;
use crate::process::member_tracker::LOST_AFTER;
use crate::process::AuditEvent;
use crate::process::AuditLog;
use crate::process::Member;
use crate::process::MemberSet;
use crate::process::PeerState;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::version::FactKind;

/// The time without a heartbeat after which a member of another data centre is marked as lost,
/// once no other member there is live.
const REMOTE_LOST_AFTER: Duration = Duration::from_secs(15);

/// The minimum timeout per member of the set: in a large set, the timeout is longer than
/// [`REMOTE_LOST_AFTER`], since heartbeats to members of other data centres are less frequent.
const REMOTE_LOST_AFTER_PER_MEMBER: Duration = Duration::from_secs(2);

/// Changes the member set by transactions on its one row.
pub(crate) struct MembershipManager<P> {
    state: Arc<PeerState>,
    audit: Rc<AuditLog<P>>,
    /// When each peer that is marked as lost was first known to be marked.
    lost_since: RefCell<HashMap<EntryId, Instant>>,
}

impl<P: TableService> MembershipManager<P> {
    /// Creates a manager of an entry host that has not joined.
    pub(crate) fn new(state: Arc<PeerState>, audit: Rc<AuditLog<P>>) -> Self {
        Self {
            state,
            audit,
            lost_since: RefCell::default(),
        }
    }

    /// Returns whether a newer run of this entry host is in the member set.
    pub(crate) fn is_superseded(&self) -> bool {
        let own = &self.state.identity;
        let members = self.state.members();
        members
            .get(&own.entry)
            .is_some_and(|member| member.incarnation > own.incarnation)
    }

    /// Joins if this run is not a member or is marked as lost; otherwise corrects the `lost` flag
    /// of one peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub(crate) async fn reconcile(&self) -> Result<()> {
        let members = self.state.members();
        let own = &self.state.identity;
        let recorded = members.get(&own.entry);
        let is_joined =
            recorded.is_some_and(|member| member.incarnation == own.incarnation && !member.lost);
        if !is_joined && !self.is_superseded() {
            let replaces = recorded
                .is_some_and(|member| member.incarnation != own.incarnation || member.replaces);
            let joined =
                MemberSet::clone(&members).with_member(own.entry.clone(), own.member(replaces));
            return self
                .replace_members(joined, "member join", &own.entry)
                .await;
        }
        let Some((entry, member)) = self.find_wrong_lost_flag(&members) else {
            return Ok(());
        };
        let action = if member.lost {
            "member lost"
        } else {
            "member found"
        };
        let changed = MemberSet::clone(&members).with_member(entry.clone(), member);
        self.replace_members(changed, action, &entry).await
    }

    /// Removes this entry host from the member set.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub(crate) async fn leave(&self) -> Result<()> {
        let own = &self.state.identity;
        let members = MemberSet::clone(&self.state.members()).without_member(&own.entry);
        self.replace_members(members, "member leave", &own.entry)
            .await
    }

    /// Returns the first peer whose `lost` flag is wrong, with the flag corrected.
    ///
    /// A peer is found again only by a heartbeat that came after it was marked as lost: timeouts
    /// differ between members, so the last heartbeat before that may still be recent enough here.
    fn find_wrong_lost_flag(&self, members: &MemberSet) -> Option<(EntryId, Member)> {
        let own = &self.state.identity;
        let now = Instant::now();
        self.record_lost(members, now);
        let lost_since = self.lost_since.borrow();
        let tracker = self.state.tracker();
        members
            .members()
            .iter()
            .filter(|(entry, _)| **entry != own.entry)
            .find_map(|(entry, member)| {
                let timeout = self.lost_timeout(members, entry, member)?;
                let same_run = tracker.incarnation(entry) == Some(member.incarnation);
                let timed_out = tracker.time_since_heartbeat(entry, now) >= timeout;
                let wrong = match lost_since.get(entry) {
                    Some(&since) => {
                        !timed_out && same_run && tracker.has_heartbeat_since(entry, since)
                    }
                    None => timed_out,
                };
                let mut changed = member.clone();
                changed.lost = !member.lost;
                wrong.then(|| (entry.clone(), changed))
            })
    }

    /// Records which members are marked as lost at `now`.
    fn record_lost(&self, members: &MemberSet, now: Instant) {
        let mut lost_since = self.lost_since.borrow_mut();
        lost_since.retain(|entry, _| members.get(entry).is_some_and(|member| member.lost));
        let members = members.members().iter();
        for (entry, _) in members.filter(|(_, member)| member.lost) {
            lost_since.entry(entry.clone()).or_insert(now);
        }
    }

    /// Returns the time without a heartbeat after which a member is lost; `None` if this entry
    /// host does not monitor it.
    ///
    /// Members are monitored by their neighbours in their own data centre. Members of other data
    /// centres monitor a member only if no other member of its data centre is live, or if it is
    /// already marked as lost.
    fn lost_timeout(
        &self,
        members: &MemberSet,
        entry: &EntryId,
        member: &Member,
    ) -> Option<Duration> {
        let own = &self.state.identity;
        if member.data_centre == own.data_centre {
            let neighbours = members.are_neighbours(&own.entry, entry);
            return neighbours.then_some(LOST_AFTER);
        }
        let has_other_live_members = members
            .in_data_centre(&member.data_centre)
            .any(|(_, other)| other != member && !other.lost);
        let remote_timeout = REMOTE_LOST_AFTER_PER_MEMBER * members.members().len() as u32;
        (!has_other_live_members || member.lost).then_some(REMOTE_LOST_AFTER.max(remote_timeout))
    }

    /// Commits a new member set with its audit row, unless the stored set has changed since it was
    /// read.
    async fn replace_members(
        &self,
        members: MemberSet,
        action: &'static str,
        entry: &EntryId,
    ) -> Result<()> {
        let current = self.state.facts.get(FactKind::Members);
        let before = MemberSet::from_fact(&current);
        let value = serde_json::to_value(&members).unwrap_or_default();
        let key = FactKind::Members.row_key();
        let transaction = Transaction::new()
            .with_check(key, current.revision)
            .with_write(key, value.clone());
        let event = AuditEvent {
            who: self.state.identity.entry.to_string(),
            action,
            subject: entry.to_string(),
            before: describe(before.get(entry)),
            after: describe(members.get(entry)),
            text_revision: self.state.text_in_force(),
            lease_epoch: 0,
        };
        if let TransactionOutcome::Committed(revision) =
            self.audit.commit_retryable(transaction, event).await?
        {
            log::info!(target: "zincpier::members", "{action}: {entry}");
            let value = serde_json::to_vec(&value).unwrap_or_default();
            self.state
                .facts
                .update_if_newer(FactKind::Members, revision, &value);
        }
        Ok(())
    }
}

fn describe(member: Option<&Member>) -> String {
    match member {
        None => "absent".to_owned(),
        Some(member) if member.lost => format!("lost, run {}", member.incarnation),
        Some(member) => format!("live, run {}", member.incarnation),
    }
}
