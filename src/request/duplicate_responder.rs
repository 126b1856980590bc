//! Responses to requests whose idempotency key is already claimed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::process::DaemonMetrics;
use crate::process::PeerState;
use crate::provider::ObjectService;
use crate::provider::TableService;
use crate::request::refusal::Refusal;
use crate::request::refusal::DEFAULT_RETRY_AFTER;
use crate::request::ClaimManager;
use crate::request::ClaimRow;
use crate::request::ClaimState;
use crate::request::RequestOutcome;

/// The `Retry-After` delay while a request with the same key is running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Responds to a request whose key another request has claimed.
pub(super) struct DuplicateResponder<P> {
    state: Arc<PeerState>,
    claims: Rc<ClaimManager<P>>,
    metrics: Rc<DaemonMetrics>,
}

impl<P: ObjectService + TableService> DuplicateResponder<P> {
    /// Creates a responder that reads stored responses through `claims`.
    pub(super) fn new(
        state: Arc<PeerState>,
        claims: Rc<ClaimManager<P>>,
        metrics: Rc<DaemonMetrics>,
    ) -> Self {
        Self {
            state,
            claims,
            metrics,
        }
    }

    /// Replays the response stored in `held`, the claim of another request with the same key.
    /// `request_row` is the claim that this request could not make.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key belongs to another request, the request has not finished, or
    /// its stored response cannot be read.
    pub(super) async fn respond(
        &self,
        request_row: &ClaimRow,
        held: ClaimRow,
    ) -> Result<Response<Bytes>, Refusal> {
        if held.fingerprint != request_row.fingerprint {
            return Err(Refusal {
                retry_after: None,
                ..Refusal::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the idempotency key was used for another request",
                )
            });
        }
        let ClaimState::Finished(stored) = &held.state else {
            return Err(self.refuse_unfinished(&held));
        };
        self.metrics.count_event("stored_answer");
        let stored = self.claims.read_stored_response(stored).await;
        stored.ok_or_else(|| {
            let reason = "the request has run, its answer cannot be read now";
            Refusal {
                retry_after: Some(DEFAULT_RETRY_AFTER),
                ..Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
        })
    }

    /// Refuses a duplicate of an unfinished request, with [`RequestOutcome::InProgress`] while the
    /// daemon incarnation that claimed the request runs, else with [`RequestOutcome::Unknown`].
    fn refuse_unfinished(&self, held: &ClaimRow) -> Refusal {
        let identity = &self.state.identity;
        let running = match held.entry == identity.entry {
            true => held.incarnation == identity.incarnation,
            false => self.is_current_incarnation(held),
        };
        if running {
            return Refusal {
                status: StatusCode::CONFLICT,
                outcome: RequestOutcome::InProgress,
                reason: "a request with this key is running".to_owned(),
                retry_after: Some(IN_PROGRESS_RETRY_AFTER),
            };
        }
        let reason = "the entry host that ran a request with this key is gone";
        Refusal::unknown(StatusCode::CONFLICT, reason)
    }

    /// Returns whether the daemon incarnation that made a claim is still a member.
    fn is_current_incarnation(&self, held: &ClaimRow) -> bool {
        let members = self.state.members();
        let owner = members.get(&held.entry);
        owner.is_some_and(|owner| !owner.lost && owner.incarnation == held.incarnation)
    }
}
