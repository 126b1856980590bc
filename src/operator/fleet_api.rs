//! Operator API for waves, hosts, entry hosts and availability budgets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::error::Error;
use crate::error::Result;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::WaveId;
use crate::operator::api_answer::error_response;
use crate::operator::api_answer::json_response;
use crate::operator::api_answer::OPERATOR_HEADER;
use crate::operator::change_error::conflict;
use crate::operator::change_error::parse_body;
use crate::operator::change_error::ChangeError;
use crate::operator::change_error::ChangeResult;
use crate::operator::wave_transition::WaveTransition;
use crate::operator::BudgetStatus;
use crate::operator::HostStatus;
use crate::process::now_ms;
use crate::process::AuditEvent;
use crate::process::DaemonParts;
use crate::process::HostPhase;
use crate::process::MemberSet;
use crate::process::Placement;
use crate::provider::RowCheck;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::request::header::header_text;
use crate::request::problem_response;
use crate::version::FactKind;
use crate::version::ServiceText;
use crate::wave::preview_wave;
use crate::wave::scope_hosts;
use crate::wave::wave_key;
use crate::wave::BudgetTracker;
use crate::wave::FleetView;
use crate::wave::ServiceBudget;
use crate::wave::WaveRecord;
use crate::wave::WaveScope;
use crate::wave::BUDGET_PREFIX;
use crate::wave::WAVE_PREFIX;

/// Maximum rows of one scan; rows with later keys are left out.
const SCAN_LIMIT_ROWS: usize = 1_000;
/// Row that every wave start updates, so that one of two concurrent starts fails its revision check.
const WAVE_STARTS_KEY: &str = "starts/wave";
/// Attempts to commit a state change of a wave; an attempt fails if the row changed since it was
/// read.
const MAX_COMMIT_ATTEMPTS: usize = 5;

#[derive(Deserialize)]
struct WaveStartRequest {
    scope: String,
}

#[derive(Deserialize)]
struct HostMoveRequest {
    pool: PoolId,
}

/// Handles requests that inspect or control the fleet.
pub(crate) struct FleetApi {
    parts: Rc<DaemonParts>,
}

impl FleetApi {
    pub(crate) fn new(parts: Rc<DaemonParts>) -> Self {
        Self { parts }
    }

    /// Handles a GET request; returns `None` if the path is unknown.
    pub(crate) async fn read(
        &self,
        request: &Request<Bytes>,
        segments: &[&str],
    ) -> Option<Response<Bytes>> {
        let answer = match segments {
            ["waves"] => self.waves().await.map(|waves| json_response(&waves)),
            ["hosts"] => self.hosts().map(|hosts| json_response(&hosts)),
            ["budgets"] => self.budgets().await.map(|budgets| json_response(&budgets)),
            ["preview"] => self.preview(request).await,
            _ => return None,
        };
        Some(answer.unwrap_or_else(|error| error_response(&error)))
    }

    /// Handles a POST request; returns `None` for another method or an unknown path.
    pub(crate) async fn change(
        &self,
        request: &Request<Bytes>,
        segments: &[&str],
    ) -> Option<Response<Bytes>> {
        if *request.method() != Method::POST {
            return None;
        }
        let who = header_text(request, OPERATOR_HEADER);
        let body = request.body();
        let changed = match segments {
            ["wave", "start"] => self.start_wave(&who, body).await,
            ["wave", wave, "hold"] => {
                self.change_wave_state(&who, wave, WaveTransition::Hold)
                    .await
            }
            ["wave", wave, "resume"] => {
                self.change_wave_state(&who, wave, WaveTransition::Resume)
                    .await
            }
            ["wave", wave, "abort"] => {
                self.change_wave_state(&who, wave, WaveTransition::Abort)
                    .await
            }
            ["host", host, "move"] => self.move_host(&who, host, body).await,
            ["entry", entry, "forget"] => self.forget_entry(&who, entry).await,
            _ => return None,
        };
        Some(match changed {
            Ok(answer) => answer,
            Err(ChangeError::Refused(status, reason)) => problem_response(status, &reason),
            Err(ChangeError::Failed(error)) => error_response(&error),
        })
    }

    /// Reads all waves, ended ones included; rows that cannot be decoded are left out.
    async fn waves(&self) -> Result<Vec<WaveRecord>> {
        let rows = self
            .parts
            .platform
            .scan(WAVE_PREFIX, "", SCAN_LIMIT_ROWS)
            .await?;
        let waves = rows
            .into_iter()
            .filter_map(|row| serde_json::from_value(row.value).ok());
        Ok(waves.collect())
    }

    fn hosts(&self) -> Result<Vec<HostStatus>> {
        let view = self.fleet_view()?;
        let placement = self.placement().1;
        let hosts = view.hosts().values().map(|host| HostStatus {
            host: host.id.clone(),
            pool: host.pool.clone(),
            rack: host.rack.clone(),
            data_centre: host.data_centre.clone(),
            condition: format!("{:?}", host.condition).to_lowercase(),
            phase: placement
                .hosts()
                .get(&host.id)
                .map_or(HostPhase::Active, |host_placement| host_placement.phase)
                .to_string(),
        });
        Ok(hosts.collect())
    }

    async fn budgets(&self) -> Result<Vec<BudgetStatus>> {
        let text = self.service_text()?;
        let rows = self.budget_rows().await?;
        let budgets = text.services.values().map(|service| {
            let row = rows.get(&service.id).cloned().unwrap_or_default();
            let allowance = service.availability.allowance(service.window);
            let left = row.left(service, now_ms());
            BudgetStatus {
                service: service.id.clone(),
                availability: service.availability.to_string(),
                allowance_seconds: allowance.as_secs(),
                left_seconds: left.as_secs(),
            }
        });
        Ok(budgets.collect())
    }

    /// Reads the budget rows by service; rows that cannot be decoded are left out.
    async fn budget_rows(&self) -> Result<BTreeMap<ServiceId, ServiceBudget>> {
        let platform = &self.parts.platform;
        let rows = platform.scan(BUDGET_PREFIX, "", SCAN_LIMIT_ROWS).await?;
        let rows = rows.into_iter().filter_map(|row| {
            let service = row.key.strip_prefix(BUDGET_PREFIX)?.parse().ok()?;
            Some((service, serde_json::from_value(row.value).ok()?))
        });
        Ok(rows.collect())
    }

    async fn preview(&self, request: &Request<Bytes>) -> Result<Response<Bytes>> {
        let query = request.uri().query().unwrap_or_default();
        let scope = query.strip_prefix("scope=").unwrap_or_default();
        let scope = match scope.parse::<WaveScope>() {
            Ok(scope) => scope,
            Err(reason) => return Ok(problem_response(StatusCode::BAD_REQUEST, &reason)),
        };
        let view = self.fleet_view()?;
        let rows = self.budget_rows().await?;
        let budgets = BudgetTracker::from_rows(view.text(), &rows, now_ms());
        Ok(json_response(&preview_wave(&view, &budgets, scope)))
    }

    async fn start_wave(&self, who: &str, body: &Bytes) -> ChangeResult<Response<Bytes>> {
        let request = parse_body::<WaveStartRequest>(body)?;
        let scope = request
            .scope
            .parse::<WaveScope>()
            .map_err(|reason| ChangeError::Refused(StatusCode::BAD_REQUEST, reason))?;
        let hosts = scope_hosts(&self.fleet_view()?, &scope);
        if hosts.is_empty() {
            let reason = format!("no host belongs to {scope}");
            return Err(ChangeError::Refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                reason,
            ));
        }
        // Read before the waves, so that the commit fails if another wave starts after this point.
        let wave_starts_checks = self.parts.platform.revisions(&[WAVE_STARTS_KEY]).await?;
        let wave_starts_revision = RowCheck::revision_in(&wave_starts_checks, WAVE_STARTS_KEY);
        let waves = self.waves().await?;
        let open_waves = waves.iter().filter(|wave| !wave.state.is_over());
        let busy_hosts = open_waves.flat_map(|wave| wave.pending.iter().chain(&wave.stopped));
        if let Some(host) = busy_hosts.into_iter().find(|host| hosts.contains(*host)) {
            let reason = format!("another wave maintains {host}");
            return Err(ChangeError::Refused(StatusCode::CONFLICT, reason));
        }
        let started_ms = now_ms();
        let id = format!("w{started_ms}");
        let id = id
            .parse::<WaveId>()
            .map_err(|error| ChangeError::Refused(StatusCode::BAD_REQUEST, error.to_string()))?;
        let record = WaveRecord::new(id.clone(), scope.clone(), hosts, started_ms);
        let key = wave_key(&id);
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(key.as_str(), Revision::new(0))
            .with_check(WAVE_STARTS_KEY, wave_starts_revision)
            .with_write(WAVE_STARTS_KEY, json!({ "latest": id }))
            .with_write(key, value);
        let mut event = self.audit_event(who, "wave start", id.to_string());
        event.after = format!("{scope}, {} hosts", record.pending.len());
        self.commit(transaction, event).await?;
        Ok(json_response(&record))
    }

    async fn change_wave_state(
        &self,
        who: &str,
        wave: &str,
        transition: WaveTransition,
    ) -> ChangeResult<Response<Bytes>> {
        let key = format!("{WAVE_PREFIX}{wave}");
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let rows = self.parts.platform.read(&[&key]).await?;
            let Some(row) = rows.into_iter().next() else {
                let reason = format!("there is no wave {wave}");
                return Err(ChangeError::Refused(StatusCode::NOT_FOUND, reason));
            };
            let mut record = serde_json::from_value::<WaveRecord>(row.value)
                .map_err(|error| conflict(&error.to_string()))?;
            let (action, state) = transition.action_and_state(&record)?;
            let mut event = self.audit_event(who, action, wave.to_owned());
            event.before = record.state.to_string();
            event.after = state.to_string();
            record.state = state;
            if record.state.is_over() {
                record.ended_ms = Some(now_ms());
            }
            let value = serde_json::to_value(&record).unwrap_or_default();
            let transaction = Transaction::new()
                .with_check(key.as_str(), row.revision)
                .with_write(key.as_str(), value);
            let audit = &self.parts.audit;
            match audit.commit_retryable(transaction, event).await? {
                TransactionOutcome::Committed(_) => return Ok(json_response(&record)),
                TransactionOutcome::Conflict(_) => {}
            }
        }
        Err(conflict("the wave changes too fast"))
    }

    async fn move_host(
        &self,
        who: &str,
        host: &str,
        body: &Bytes,
    ) -> ChangeResult<Response<Bytes>> {
        let request = parse_body::<HostMoveRequest>(body)?;
        let host = host
            .parse::<HostId>()
            .map_err(|error| conflict(&error.to_string()))?;
        let view = self.fleet_view()?;
        let host_view = view.hosts().get(&host);
        let host_view = host_view.ok_or_else(|| conflict(&format!("there is no host {host}")))?;
        if !view.text().pools.contains_key(&request.pool) {
            return Err(conflict(&format!("there is no pool {}", request.pool)));
        }
        let (revision, mut placement) = self.placement();
        if placement.is_closed(&host) {
            return Err(conflict(&format!("{host} is closed by a wave or a move")));
        }
        placement.begin_move(&host, &request.pool, true);
        let mut event = self.audit_event(who, "host move", host.to_string());
        event.before = host_view.pool.to_string();
        event.after = request.pool.to_string();
        let key = FactKind::Placement.row_key();
        let value = serde_json::to_value(&placement).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(key, revision)
            .with_write(key, value.clone());
        let revision = self.commit(transaction, event).await?;
        self.update_local_fact(FactKind::Placement, revision, &value);
        Ok(json_response(
            &json!({ "host": host, "moving_to": request.pool }),
        ))
    }

    async fn forget_entry(&self, who: &str, entry: &str) -> ChangeResult<Response<Bytes>> {
        let entry = entry
            .parse::<EntryId>()
            .map_err(|error| conflict(&error.to_string()))?;
        let fact = self.parts.state.facts.get(FactKind::Members);
        let members = self.parts.state.members();
        match members.get(&entry) {
            None => return Err(conflict(&format!("{entry} is no member"))),
            Some(member) if !member.lost => {
                return Err(conflict(&format!("{entry} is not lost")));
            }
            Some(_) => {}
        }
        let members = MemberSet::clone(&members).without_member(&entry);
        let mut event = self.audit_event(who, "entry forget", entry.to_string());
        event.before = "lost".to_owned();
        event.after = "absent".to_owned();
        let key = FactKind::Members.row_key();
        let value = serde_json::to_value(&members).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(key, fact.revision)
            .with_write(key, value.clone());
        let revision = self.commit(transaction, event).await?;
        self.update_local_fact(FactKind::Members, revision, &value);
        Ok(json_response(&json!({ "entry": entry })))
    }

    async fn commit(&self, transaction: Transaction, event: AuditEvent) -> ChangeResult<Revision> {
        match self.parts.audit.commit(transaction, event).await? {
            TransactionOutcome::Committed(revision) => Ok(revision),
            TransactionOutcome::Conflict(_) => Err(conflict("another change came first")),
        }
    }

    /// Stores a committed revision of a replicated row in the local copy, so that this daemon does
    /// not wait for its next poll of the table.
    fn update_local_fact(&self, kind: FactKind, revision: Revision, value: &impl Serialize) {
        let value = serde_json::to_vec(value).unwrap_or_default();
        self.parts
            .state
            .facts
            .update_if_newer(kind, revision, &value);
    }

    fn audit_event(&self, who: &str, action: &'static str, subject: String) -> AuditEvent {
        AuditEvent {
            who: who.to_owned(),
            action,
            subject,
            text_revision: self.parts.state.text_in_force(),
            ..AuditEvent::default()
        }
    }

    fn service_text(&self) -> Result<Arc<ServiceText>> {
        let text = self.parts.state.text();
        text.ok_or_else(|| Error::PlatformSilent("no text is in force".to_owned()))
    }

    fn placement(&self) -> (Revision, Placement) {
        let fact = self.parts.state.facts.get(FactKind::Placement);
        (fact.revision, Placement::from_fact(&fact))
    }

    fn fleet_view(&self) -> Result<FleetView> {
        let text = self.service_text()?;
        let placement = self.placement().1;
        let hosts = self.parts.state.hosts();
        Ok(FleetView::from_facts(&text, &placement, &hosts))
    }
}
