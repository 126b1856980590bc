//! Gives each job that a placement pass leaves out its turn in a later one.
//!
//! A pass ends its tries of a lane after a number of steps that found no worker, since at a demand peak the
//! next ones would find none either. Jobs that can't be placed for another reason, such as a limit on the
//! tasks of each worker, would keep all that come after them from being tried, however idle the pool is.
//! On a busy pool the jobs that are left out wait for room like those before them, and are not tried.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::ServiceId;

/// The time in ms within which each job that passes leave out is tried.
const TURN_MS: u64 = 1_500;

/// Min time between turns, in ms. Passes run up to a hundred times a second.
const MIN_INTERVAL_MS: u64 = 100;

/// Who was tried last of a service's jobs.
#[derive(Clone, Debug)]
struct TurnState {
    /// The job that was tried last; the others follow in the order of their ids.
    last: Option<JobId>,
    taken_ms: u64,
    /// The number of jobs times ms for which no turn was given yet.
    credit: u64,
}

/// Whose turn it is among the jobs that passes leave out, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingTurns {
    by_service: BTreeMap<ServiceId, TurnState>,
}

impl WaitingTurns {
    /// Returns those of the jobs that a pass leaves out whose turn it is at `now_ms`. Each job that is left
    /// out by all passes has its turn once in 1.5 s, as long as passes run and few jobs join.
    pub(crate) fn take(
        &mut self,
        service: &ServiceId,
        left_out: &[JobId],
        now_ms: u64,
    ) -> Vec<JobId> {
        if left_out.is_empty() {
            self.by_service.remove(service);
            return Vec::new();
        }
        let state = self.by_service.entry(service.clone()).or_insert(TurnState {
            last: None,
            taken_ms: now_ms,
            credit: 0,
        });
        let elapsed_ms = now_ms.saturating_sub(state.taken_ms).min(TURN_MS);
        if elapsed_ms < MIN_INTERVAL_MS {
            return Vec::new();
        }
        state.taken_ms = now_ms;
        state.credit += left_out.len() as u64 * elapsed_ms;
        let count = (state.credit / TURN_MS).min(left_out.len() as u64) as usize;
        state.credit %= TURN_MS;
        let is_later = |id: &&JobId| state.last.as_ref().is_none_or(|last| *id > last);
        let (mut turn, rest): (Vec<_>, Vec<_>) = left_out.iter().partition(is_later);
        retain_smallest(&mut turn, count);
        if turn.len() < count {
            let mut first = rest;
            retain_smallest(&mut first, count - turn.len());
            turn.append(&mut first);
        }
        if let Some(last) = turn.last() {
            state.last = Some((*last).clone());
        }
        turn.into_iter().cloned().collect()
    }
}

/// Keeps the `count` smallest ids, in order.
fn retain_smallest(ids: &mut Vec<&JobId>, count: usize) {
    if count > 0 && count < ids.len() {
        ids.select_nth_unstable(count - 1);
    }
    ids.truncate(count);
    ids.sort_unstable();
}
