//! The operators' calls about waves, hosts, entry hosts and budgets.

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
use crate::operator::api_answer::WHO_HEADER;
use crate::operator::change_error::decode;
use crate::operator::change_error::refused;
use crate::operator::change_error::ChangeError;
use crate::operator::change_error::ChangeResult;
use crate::operator::wave_order::WaveOrder;
use crate::operator::BudgetStatus;
use crate::operator::HostStatus;
use crate::process::now_ms;
use crate::process::AuditNote;
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
use crate::wave::BudgetBook;
use crate::wave::FleetView;
use crate::wave::ServiceBudget;
use crate::wave::WaveRecord;
use crate::wave::WaveScope;
use crate::wave::BUDGET_PREFIX;
use crate::wave::WAVE_PREFIX;

const ROW_LIMIT: usize = 1_000;
/// The row that every start of a wave changes, so that of two racing ones one fails.
const STARTS_KEY: &str = "starts/wave";
/// The times that a change is tried when others come first.
const CHANGE_TRIES: usize = 5;

#[derive(Deserialize)]
struct StartOrder {
    scope: String,
}

#[derive(Deserialize)]
struct MoveOrder {
    pool: PoolId,
}

/// Answers the calls that steer the fleet.
pub(crate) struct ControlApi {
    parts: Rc<DaemonParts>,
}

impl ControlApi {
    pub(crate) fn new(parts: Rc<DaemonParts>) -> Self {
        Self { parts }
    }

    /// Answers a read, or returns nothing if the path is not known.
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

    /// Makes a change, or returns nothing if the path is not known.
    pub(crate) async fn change(
        &self,
        request: &Request<Bytes>,
        segments: &[&str],
    ) -> Option<Response<Bytes>> {
        if *request.method() != Method::POST {
            return None;
        }
        let who = header_text(request, WHO_HEADER);
        let body = request.body();
        let changed = match segments {
            ["wave", "start"] => self.start(&who, body).await,
            ["wave", wave, "hold"] => self.steer(&who, wave, WaveOrder::Hold).await,
            ["wave", wave, "resume"] => self.steer(&who, wave, WaveOrder::Resume).await,
            ["wave", wave, "abort"] => self.steer(&who, wave, WaveOrder::Abort).await,
            ["host", host, "move"] => self.move_host(&who, host, body).await,
            ["entry", entry, "forget"] => self.forget(&who, entry).await,
            _ => return None,
        };
        Some(match changed {
            Ok(answer) => answer,
            Err(ChangeError::Refused(status, reason)) => problem_response(status, &reason),
            Err(ChangeError::Failed(error)) => error_response(&error),
        })
    }

    async fn waves(&self) -> Result<Vec<WaveRecord>> {
        let rows = self.parts.platform.scan(WAVE_PREFIX, "", ROW_LIMIT).await?;
        let waves = rows
            .into_iter()
            .filter_map(|row| serde_json::from_value(row.value).ok());
        Ok(waves.collect())
    }

    fn hosts(&self) -> Result<Vec<HostStatus>> {
        let view = self.fleet()?;
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
                .map_or(HostPhase::Active, |held| held.phase)
                .to_string(),
        });
        Ok(hosts.collect())
    }

    async fn budgets(&self) -> Result<Vec<BudgetStatus>> {
        let text = self.text()?;
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

    async fn budget_rows(&self) -> Result<BTreeMap<ServiceId, ServiceBudget>> {
        let platform = &self.parts.platform;
        let rows = platform.scan(BUDGET_PREFIX, "", ROW_LIMIT).await?;
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
        let view = self.fleet()?;
        let rows = self.budget_rows().await?;
        let book = BudgetBook::from_rows(view.text(), &rows, now_ms());
        Ok(json_response(&preview_wave(&view, &book, scope)))
    }

    async fn start(&self, who: &str, body: &Bytes) -> ChangeResult<Response<Bytes>> {
        let order = decode::<StartOrder>(body)?;
        let scope = order
            .scope
            .parse::<WaveScope>()
            .map_err(|reason| ChangeError::Refused(StatusCode::BAD_REQUEST, reason))?;
        let hosts = scope_hosts(&self.fleet()?, &scope);
        if hosts.is_empty() {
            let reason = format!("no host belongs to {scope}");
            return Err(ChangeError::Refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                reason,
            ));
        }
        let starts = self.parts.platform.revisions(&[STARTS_KEY]).await?;
        let starts = RowCheck::revision_in(&starts, STARTS_KEY);
        let waves = self.waves().await?;
        let running = waves.iter().filter(|wave| !wave.state.is_over());
        let busy = running.flat_map(|wave| wave.pending.iter().chain(&wave.stopped));
        if let Some(host) = busy.into_iter().find(|host| hosts.contains(*host)) {
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
            .with_check(STARTS_KEY, starts)
            .with_write(STARTS_KEY, json!({ "latest": id }))
            .with_write(key, value);
        let mut note = self.note(who, "wave start", id.to_string());
        note.after = format!("{scope}, {} hosts", record.pending.len());
        self.commit(transaction, note).await?;
        Ok(json_response(&record))
    }

    async fn steer(
        &self,
        who: &str,
        wave: &str,
        order: WaveOrder,
    ) -> ChangeResult<Response<Bytes>> {
        let key = format!("{WAVE_PREFIX}{wave}");
        for _ in 0..CHANGE_TRIES {
            let rows = self.parts.platform.read(&[&key]).await?;
            let Some(row) = rows.into_iter().next() else {
                let reason = format!("there is no wave {wave}");
                return Err(ChangeError::Refused(StatusCode::NOT_FOUND, reason));
            };
            let mut record = serde_json::from_value::<WaveRecord>(row.value)
                .map_err(|error| refused(&error.to_string()))?;
            let (action, state) = order.apply_to(&record)?;
            let mut note = self.note(who, action, wave.to_owned());
            note.before = record.state.to_string();
            note.after = state.to_string();
            record.state = state;
            if record.state.is_over() {
                record.ended_ms = Some(now_ms());
            }
            let value = serde_json::to_value(&record).unwrap_or_default();
            let transaction = Transaction::new()
                .with_check(key.as_str(), row.revision)
                .with_write(key.as_str(), value);
            let audit = &self.parts.audit;
            match audit.commit_quietly(transaction, note).await? {
                TransactionOutcome::Committed(_) => return Ok(json_response(&record)),
                TransactionOutcome::Conflict(_) => {}
            }
        }
        Err(refused("the wave changes too fast"))
    }

    async fn move_host(
        &self,
        who: &str,
        host: &str,
        body: &Bytes,
    ) -> ChangeResult<Response<Bytes>> {
        let order = decode::<MoveOrder>(body)?;
        let host = host
            .parse::<HostId>()
            .map_err(|error| refused(&error.to_string()))?;
        let view = self.fleet()?;
        let held = view.hosts().get(&host);
        let held = held.ok_or_else(|| refused(&format!("there is no host {host}")))?;
        if !view.text().pools.contains_key(&order.pool) {
            return Err(refused(&format!("there is no pool {}", order.pool)));
        }
        let (revision, mut placement) = self.placement();
        if placement.is_closed(&host) {
            return Err(refused(&format!("{host} is closed by a wave or a move")));
        }
        placement.begin_move(&host, &order.pool, true);
        let mut note = self.note(who, "host move", host.to_string());
        note.before = held.pool.to_string();
        note.after = order.pool.to_string();
        let key = FactKind::Placement.row_key();
        let value = serde_json::to_value(&placement).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(key, revision)
            .with_write(key, value.clone());
        let revision = self.commit(transaction, note).await?;
        self.update_if_newer(FactKind::Placement, revision, &value);
        Ok(json_response(
            &json!({ "host": host, "moving_to": order.pool }),
        ))
    }

    async fn forget(&self, who: &str, entry: &str) -> ChangeResult<Response<Bytes>> {
        let entry = entry
            .parse::<EntryId>()
            .map_err(|error| refused(&error.to_string()))?;
        let held = self.parts.state.facts.get(FactKind::Members);
        let members = self.parts.state.members();
        match members.get(&entry) {
            None => return Err(refused(&format!("{entry} is no member"))),
            Some(member) if !member.lost => {
                return Err(refused(&format!("{entry} is not lost")));
            }
            Some(_) => {}
        }
        let members = MemberSet::clone(&members).without_member(&entry);
        let mut note = self.note(who, "entry forget", entry.to_string());
        note.before = "lost".to_owned();
        note.after = "absent".to_owned();
        let key = FactKind::Members.row_key();
        let value = serde_json::to_value(&members).unwrap_or_default();
        let transaction = Transaction::new()
            .with_check(key, held.revision)
            .with_write(key, value.clone());
        let revision = self.commit(transaction, note).await?;
        self.update_if_newer(FactKind::Members, revision, &value);
        Ok(json_response(&json!({ "entry": entry })))
    }

    async fn commit(&self, transaction: Transaction, note: AuditNote) -> ChangeResult<Revision> {
        match self.parts.audit.commit(transaction, note).await? {
            TransactionOutcome::Committed(revision) => Ok(revision),
            TransactionOutcome::Conflict(_) => Err(refused("another change came first")),
        }
    }

    fn update_if_newer(&self, kind: FactKind, revision: Revision, value: &impl Serialize) {
        let value = serde_json::to_vec(value).unwrap_or_default();
        self.parts
            .state
            .facts
            .update_if_newer(kind, revision, &value);
    }

    fn note(&self, who: &str, action: &'static str, subject: String) -> AuditNote {
        AuditNote {
            who: who.to_owned(),
            action,
            subject,
            text_revision: self.parts.state.text_in_force(),
            ..AuditNote::default()
        }
    }

    fn text(&self) -> Result<Arc<ServiceText>> {
        let text = self.parts.state.text();
        text.ok_or_else(|| Error::PlatformSilent("no text is in force".to_owned()))
    }

    fn placement(&self) -> (Revision, Placement) {
        let fact = self.parts.state.facts.get(FactKind::Placement);
        (fact.revision, Placement::from_fact(&fact))
    }

    fn fleet(&self) -> Result<FleetView> {
        let text = self.text()?;
        let placement = self.placement().1;
        let hosts = self.parts.state.hosts();
        Ok(FleetView::from_facts(&text, &placement, &hosts))
    }
}
