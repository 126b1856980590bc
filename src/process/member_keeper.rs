//! This entry host's place in the member set, and the marking of lost peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Result;
use crate::id::EntryId;
use crate::process::membership::LOST_AFTER;
use crate::process::AuditLog;
use crate::process::AuditNote;
use crate::process::Member;
use crate::process::MemberSet;
use crate::process::PeerState;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::version::FactKind;

/// The silence after which a member of a data centre without live members is lost.
const LOST_AFTER_FAR: Duration = Duration::from_secs(15);

/// The same for each member of the set, since beats to far members are rarer in a large set.
const LOST_AFTER_FAR_EACH: Duration = Duration::from_secs(2);

/// Joins, leaves and marks lost members by transactions on the one row of members.
pub(crate) struct MemberKeeper<P> {
    state: Arc<PeerState>,
    audit: Rc<AuditLog<P>>,
}

impl<P: TableService> MemberKeeper<P> {
    /// Creates a keeper that has not joined.
    pub(crate) fn new(state: Arc<PeerState>, audit: Rc<AuditLog<P>>) -> Self {
        Self { state, audit }
    }

    /// Tells whether a later run of this entry host has taken its place.
    pub(crate) fn is_superseded(&self) -> bool {
        let own = &self.state.identity;
        let members = self.state.members();
        members
            .get(&own.entry)
            .is_some_and(|member| member.incarnation > own.incarnation)
    }

    /// Joins if this run is no member, and marks peers as lost or found.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent.
    pub(crate) async fn look(&self) -> Result<()> {
        let members = self.state.members();
        let own = &self.state.identity;
        let held = members.get(&own.entry);
        let joined = held.is_some_and(|held| held.incarnation == own.incarnation && !held.lost);
        if !joined && !self.is_superseded() {
            let replaces =
                held.is_some_and(|held| held.incarnation != own.incarnation || held.replaces);
            let joined =
                MemberSet::clone(&members).with_member(own.entry.clone(), own.member(replaces));
            return self.change(joined, "member join", &own.entry).await;
        }
        let Some((entry, member)) = self.misjudged(&members) else {
            return Ok(());
        };
        let action = if member.lost {
            "member lost"
        } else {
            "member found"
        };
        let changed = MemberSet::clone(&members).with_member(entry.clone(), member);
        self.change(changed, action, &entry).await
    }

    /// Leaves the member set.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent.
    pub(crate) async fn leave(&self) -> Result<()> {
        let own = &self.state.identity;
        let members = MemberSet::clone(&self.state.members()).without_member(&own.entry);
        self.change(members, "member leave", &own.entry).await
    }

    /// Returns a member whose mark as lost is wrong, with the mark set right.
    fn misjudged(&self, members: &MemberSet) -> Option<(EntryId, Member)> {
        let own = &self.state.identity;
        let now = Instant::now();
        let tracker = self.state.tracker();
        members
            .members()
            .iter()
            .filter(|(entry, _)| **entry != own.entry)
            .find_map(|(entry, member)| {
                let bound = self.silence_bound(members, entry, member)?;
                let silent = tracker.silence(entry, now) >= bound;
                let heard = tracker.incarnation(entry) == Some(member.incarnation);
                let wrong = (silent && !member.lost) || (!silent && heard && member.lost);
                let mut changed = member.clone();
                changed.lost = silent;
                wrong.then(|| (entry.clone(), changed))
            })
    }

    /// Returns the silence that marks a member as lost, if it is for us to judge.
    ///
    /// Members are judged by their neighbours in their own data centre, or by
    /// all others once it has no live member.
    fn silence_bound(
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
        let has_live_mates = members
            .in_data_centre(&member.data_centre)
            .any(|(_, mate)| mate != member && !mate.lost);
        let far = LOST_AFTER_FAR_EACH * members.members().len() as u32;
        (!has_live_mates || member.lost).then_some(LOST_AFTER_FAR.max(far))
    }

    async fn change(
        &self,
        members: MemberSet,
        action: &'static str,
        entry: &EntryId,
    ) -> Result<()> {
        let held = self.state.facts.get(FactKind::Members);
        let before = MemberSet::from_fact(&held);
        let value = serde_json::to_value(&members).unwrap_or_default();
        let key = FactKind::Members.row_key();
        let transaction = Transaction::new()
            .with_check(key, held.revision)
            .with_write(key, value.clone());
        let note = AuditNote {
            who: self.state.identity.entry.to_string(),
            action,
            subject: entry.to_string(),
            before: describe(before.get(entry)),
            after: describe(members.get(entry)),
            text_revision: self.state.text_in_force(),
            lease_epoch: 0,
        };
        if let TransactionOutcome::Committed(revision) =
            self.audit.commit_quietly(transaction, note).await?
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
