//! HTTP API of a daemon's operator listener: probes, metrics, status, service text and audit.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::connection::RequestHandler;
use crate::id::Revision;
use crate::operator::api_answer::error_response;
use crate::operator::api_answer::json_response;
use crate::operator::api_answer::OPERATOR_HEADER;
use crate::operator::fleet_api::FleetApi;
use crate::operator::EntryStatus;
use crate::operator::JobApi;
use crate::operator::ServiceStatus;
use crate::operator::ServiceTextRow;
use crate::operator::StatusReport;
use crate::process::AuditEvent;
use crate::process::DaemonParts;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::provider::AUDIT_PREFIX;
use crate::request::header::header_text;
use crate::request::problem_response;
use crate::version::FactKind;
use crate::version::ServiceText;

/// Request header with the shared operator secret; the operator listener requires it for changes.
pub const TOKEN_HEADER: &str = "zincpier-token";
/// Header with a revision of the service text: in the answer to a read the latest one, in an update
/// the one that it replaces.
pub(crate) const REPLACES_HEADER: &str = "zincpier-replaces";

/// Maximum rows in one answer with audit records; the client asks for further pages.
const AUDIT_PAGE_ROWS: usize = 1_000;

/// Request handler of the operator listener; monitoring uses the same listener.
pub struct OperatorApi {
    parts: Rc<DaemonParts>,
    fleet: FleetApi,
    jobs: JobApi,
    token: String,
}

impl OperatorApi {
    /// Creates the handler; requests that change state must carry `token`.
    pub fn new(parts: Rc<DaemonParts>, token: String) -> Self {
        Self {
            fleet: FleetApi::new(Rc::clone(&parts)),
            jobs: JobApi::new(Rc::clone(&parts)),
            parts,
            token,
        }
    }

    async fn answer(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().trim_matches('/');
        let segments = path.split('/').collect::<Vec<_>>();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["live"]) => text_response("live\n"),
            (&Method::GET, ["ready"]) => self.ready(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::GET, ["status"]) => json_response(&self.status()),
            (&Method::GET, ["text"]) => self.show_text(),
            (&Method::GET, ["audit"]) => self.audit(request).await,
            (&Method::GET, ["jobs", rest @ ..]) => self.jobs.answer(request, rest).await,
            (&Method::GET, segments) => {
                let answer = self.fleet.read(request, segments).await;
                answer.unwrap_or_else(|| problem_response(StatusCode::NOT_FOUND, "no such page"))
            }
            _ if !self.is_allowed(request) => {
                let reason = "changes need the operators' token";
                problem_response(StatusCode::FORBIDDEN, reason)
            }
            (&Method::POST, ["text"]) => self.apply_text(request).await,
            (&Method::POST, ["jobs", rest @ ..]) => self.jobs.answer(request, rest).await,
            (_, segments) => {
                let answer = self.fleet.change(request, segments).await;
                answer.unwrap_or_else(|| problem_response(StatusCode::NOT_FOUND, "no such call"))
            }
        }
    }

    fn is_allowed(&self, request: &Request<Bytes>) -> bool {
        let presented = request.headers().get(TOKEN_HEADER);
        presented.is_some_and(|presented| presented.as_bytes().ct_eq(self.token.as_bytes()).into())
    }

    fn ready(&self) -> Response<Bytes> {
        if self.parts.is_ready() {
            return text_response("ready\n");
        }
        problem_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }

    fn metrics(&self) -> Response<Bytes> {
        let metrics = &self.parts.metrics;
        let state = &self.parts.state;
        metrics.set_peer_counts(state.heartbeat_count(), state.fetched_bytes());
        text_response(&metrics.to_text())
    }

    fn status(&self) -> StatusReport {
        let state = &self.parts.state;
        let router = &self.parts.router;
        let services = router
            .slots()
            .table()
            .routes()
            .map(|route| ServiceStatus {
                service: route.service.id.clone(),
                servers: route.servers.len(),
                waiting: router.slots().waiting(&route.service.id),
            })
            .collect();
        StatusReport {
            entry: state.identity.entry.clone(),
            ready: self.parts.is_ready(),
            text_in_force: state.text_in_force(),
            placement: state.facts.get(FactKind::Placement).revision,
            hosts: state.hosts().revision(),
            entries: self.entries(),
            services,
        }
    }

    fn entries(&self) -> Vec<EntryStatus> {
        let state = &self.parts.state;
        let now = Instant::now();
        let member_set = state.members();
        let member_tracker = state.tracker();
        member_set
            .members()
            .iter()
            .map(|(entry, member)| {
                let is_self = *entry == state.identity.entry;
                let heartbeat_age_ms =
                    member_tracker.time_since_heartbeat(entry, now).as_millis() as u64;
                EntryStatus {
                    entry: entry.clone(),
                    data_centre: member.data_centre.clone(),
                    incarnation: member.incarnation,
                    lost: member.lost,
                    silence_ms: if is_self { 0 } else { heartbeat_age_ms },
                    text_in_force: match is_self {
                        true => state.text_in_force(),
                        false => member_tracker.text_in_force(entry),
                    },
                }
            })
            .collect()
    }

    /// Returns the latest service text that was received, also if it is not in force; the text is
    /// empty if there is none or its row cannot be decoded.
    fn show_text(&self) -> Response<Bytes> {
        let fact = self.parts.state.facts.get(FactKind::Text);
        let source =
            ServiceTextRow::from_fact(&fact).map_or_else(|_| String::new(), |row| row.source);
        let mut response = text_response(&source);
        response
            .headers_mut()
            .insert(REPLACES_HEADER, HeaderValue::from(fact.revision.get()));
        response
    }

    async fn audit(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let query = request.uri().query().unwrap_or_default();
        let after = query.strip_prefix("after=").unwrap_or_default();
        let rows = self
            .parts
            .platform
            .scan(AUDIT_PREFIX, after, AUDIT_PAGE_ROWS);
        match rows.await {
            Ok(rows) => json_response(&rows),
            Err(error) => error_response(&error),
        }
    }

    async fn apply_text(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let Ok(source) = std::str::from_utf8(request.body()) else {
            return problem_response(StatusCode::BAD_REQUEST, "the text is not UTF-8");
        };
        let replaces = header_text(request, REPLACES_HEADER).parse::<Revision>();
        let Ok(replaces) = replaces else {
            let reason = "the revision that the text replaces is missing";
            return problem_response(StatusCode::BAD_REQUEST, reason);
        };
        let event = AuditEvent {
            who: header_text(request, OPERATOR_HEADER),
            action: "text apply",
            subject: "service text".to_owned(),
            before: format!("revision {replaces}"),
            after: format!("{} bytes", source.len()),
            text_revision: self.parts.state.text_in_force(),
            lease_epoch: 0,
        };
        if let Err(error) = ServiceText::parse("service text", source) {
            self.parts
                .audit
                .record_refusal(event, "refused: it has findings")
                .await;
            return error_response(&error);
        }
        let row = ServiceTextRow {
            source: source.to_owned(),
            who: event.who.clone(),
        };
        self.commit_fact(FactKind::Text, replaces, &row, event)
            .await
    }

    /// Commits a new revision of a replicated row and stores it in the local copy, so that this
    /// daemon does not wait for its next poll of the table.
    async fn commit_fact(
        &self,
        kind: FactKind,
        replaces: Revision,
        value: &impl Serialize,
        event: AuditEvent,
    ) -> Response<Bytes> {
        let value = serde_json::to_value(value).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(kind.row_key(), replaces)
            .with_write(kind.row_key(), value.clone());
        match self.parts.audit.commit(transaction, event).await {
            Ok(TransactionOutcome::Committed(revision)) => {
                let value = serde_json::to_vec(&value).unwrap_or_default();
                self.parts
                    .state
                    .facts
                    .update_if_newer(kind, revision, &value);
                json_response(&revision)
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let current = rows.first().map_or(Revision::new(0), |row| row.revision);
                let reason = format!("revision {current} is in force, not {replaces}");
                problem_response(StatusCode::CONFLICT, &reason)
            }
            Err(error) => error_response(&error),
        }
    }
}

impl RequestHandler for OperatorApi {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.answer(&request).await
    }
}

fn text_response(text: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::copy_from_slice(text.as_bytes()));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
