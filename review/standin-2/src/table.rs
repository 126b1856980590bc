//! The platform's store: tables of rows, with transactions, reads and feeds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::json;
use serde_json::Value;

use crate::http::Reply;
use crate::http::Request;

/// How long a transaction takes, and the time for which the store keeps its history.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);
const HISTORY_TIME: Duration = Duration::from_secs(20);
const MAX_PAGE_ROWS: usize = 500;

type RowKey = (String, String, String);

struct Change {
    key: RowKey,
    value: Option<String>,
    ver: u64,
    at: Instant,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    history: VecDeque<Change>,
    forgotten: u64,
    ver: u64,
}

impl Rows {
    fn change(&mut self, key: RowKey, value: Option<String>) {
        let ver = self.ver;
        let before = match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), ver)),
            None => self.rows.remove(&key),
        };
        if value.is_none() && before.is_none() {
            return;
        }
        let at = Instant::now();
        self.history.push_back(Change {
            key,
            value,
            ver,
            at,
        });
        while self
            .history
            .front()
            .is_some_and(|one| one.at.elapsed() > HISTORY_TIME)
        {
            self.forgotten = self.history.pop_front().map_or(0, |one| one.ver);
        }
    }
}

pub struct Table {
    rows: Mutex<Rows>,
    started: Instant,
}

impl Table {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            started: Instant::now(),
        })
    }

    /// Writes a row of the operator or of an executor.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().expect("the rows");
        rows.ver += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.change(key, Some(STANDARD.encode(value.to_string())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("the rows");
        rows.ver += 1;
        rows.change((table.to_owned(), String::new(), key.to_owned()), None);
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/v1/rows-tx" => self.transact(&request.body),
            "/v1/rows-get" => self.read(request),
            "/v1/rows-parts" => self.parts(request),
            "/v1/rows-feed" => self.feed(request),
            _ => Reply::Json(404, json!({})),
        }
    }

    fn stamp(&self, ver: u64, mut body: Value) -> Value {
        body["ver"] = json!(ver);
        body["now-ms"] = json!(self.started.elapsed().as_millis() as u64);
        body
    }

    fn transact(&self, body: &Value) -> Reply {
        sleep(TRANSACTION_TIME);
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (sets, removals) = (entries("set-keys"), entries("remove"));
        let is_foreign = |row: &Value| row["table"] == "op" || row["table"] == "servers";
        if sets.iter().chain(&removals).any(is_foreign) {
            return Reply::Json(403, json!({}));
        }
        let mut rows = self.rows.lock().expect("the rows");
        let conditions = entries("precondition");
        let current = |row: &Value| rows.rows.get(&row_key(row)).map_or(0, |(_, ver)| *ver);
        let differs = |row: &&Value| current(row) != row["ver"].as_u64().unwrap_or(0);
        let failed: Vec<_> = conditions.iter().filter(differs).collect();
        if !failed.is_empty() {
            let shown = conditions.iter().filter_map(|row| {
                let key = row_key(row);
                let (value, ver) = rows.rows.get(&key)?;
                Some(encode(&key, Some(value), *ver))
            });
            let shown: Vec<_> = shown.collect();
            return Reply::Json(412, self.stamp(rows.ver, json!({ "rows": shown })));
        }
        rows.ver += 1;
        for row in &sets {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            rows.change(row_key(row), Some(value));
        }
        for row in &removals {
            rows.change(row_key(row), None);
        }
        Reply::Json(200, self.stamp(rows.ver, json!({})))
    }

    fn read(&self, request: &Request) -> Reply {
        let text = |name: &str| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = request.parameter("to");
        let limit = request
            .parameter("limit")
            .and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let rows = self.rows.lock().expect("the rows");
        let first = (table.clone(), part.clone(), from);
        let found = rows.rows.range(first..).take_while(|(key, _)| {
            key.0 == table && key.1 == part && to.as_ref().is_none_or(|to| key.2 < *to)
        });
        let mut found: Vec<_> = found
            .take(limit + 1)
            .map(|(key, (value, ver))| encode(key, Some(value), *ver))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        let body = json!({ "rows": found, "has-more": has_more });
        Reply::Json(200, self.stamp(rows.ver, body))
    }

    fn parts(&self, request: &Request) -> Reply {
        let table = request.parameter("table").unwrap_or_default();
        let rows = self.rows.lock().expect("the rows");
        let keys = rows.rows.keys().filter(|key| key.0 == table);
        let mut parts: Vec<_> = keys.map(|key| key.1.clone()).collect();
        parts.dedup();
        Reply::Json(200, json!({ "parts": parts, "has-more": false }))
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table").unwrap_or_default();
        let after = request.number("after");
        let deadline = Instant::now() + Duration::from_millis(request.number("wait-ms"));
        loop {
            {
                let rows = self.rows.lock().expect("the rows");
                if after < rows.forgotten {
                    return Reply::Json(410, json!({}));
                }
                let first = rows.history.partition_point(|one| one.ver <= after);
                let changes = rows.history.range(first..);
                let changes = changes.filter(|one| one.key.0 == table);
                let changes: Vec<_> = changes
                    .map(|one| encode(&one.key, one.value.as_ref(), one.ver))
                    .collect();
                if !changes.is_empty() || Instant::now() >= deadline {
                    return Reply::Json(200, self.stamp(rows.ver, json!({ "rows": changes })));
                }
            }
            sleep(Duration::from_millis(2));
        }
    }
}

fn row_key(row: &Value) -> RowKey {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode(key: &RowKey, value: Option<&String>, ver: u64) -> Value {
    let (table, part, key) = key;
    let mut row = json!({ "table": table, "part": part, "key": key, "ver": ver });
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["deleted"] = json!(true),
    }
    row
}
