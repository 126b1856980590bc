//! A loopback proxy in front of the store, which leaves chosen transactions unanswered and carries them out late.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

use crate::fleet::Record;
use crate::http_server::HttpServer;
use crate::http_server::Request;

/// How long a channel stays open on which a response is lost.
const SILENCE: Duration = Duration::from_secs(8);

/// Passes requests on to the store.
pub struct StoreProxy {
    pub server: HttpServer,
    state: Arc<Mutex<LossState>>,
}

/// Which transactions are left unanswered.
#[derive(Default)]
struct LossState {
    /// Texts in these transactions; none without an impairment.
    texts: Vec<String>,
    /// After how many ms they are carried out.
    delay_ms: u64,
    is_impaired: bool,
    /// The transactions since the beginning of the impairment until its end, and those without an answer.
    all: usize,
    lost: usize,
}

impl StoreProxy {
    /// Starts a proxy to the store at `table`.
    pub fn start(table: SocketAddr, record: &Record) -> io::Result<Self> {
        let state: Arc<Mutex<LossState>> = Arc::default();
        let (shared, record) = (Arc::clone(&state), record.clone());
        let server = HttpServer::start(Arc::new(move |request| {
            let delay_ms = match request.path.starts_with("/v1/rows-tx") {
                true => shared.lock().unwrap().count(&request.body),
                false => None,
            };
            let Some(delay_ms) = delay_ms else {
                return forward(table, &request.method, &request.path, &request.body);
            };
            carry_out_late(table, request, delay_ms, &record);
            sleep(SILENCE);
            None
        }))?;
        Ok(Self { server, state })
    }

    /// Leaves transactions that contain one of `texts` unanswered from now on, and carries each out `delay_ms` after
    /// it came.
    pub fn begin_losses(&self, texts: Vec<String>, delay_ms: u64) {
        let mut state = self.state.lock().unwrap();
        *state = LossState {
            texts,
            delay_ms,
            is_impaired: true,
            ..LossState::default()
        };
    }

    /// Answers all transactions again. Those that were left unanswered are still carried out. Returns the number of
    /// transactions since the beginning of the impairment, and of those without an answer.
    pub fn end_losses(&self) -> (usize, usize) {
        let mut state = self.state.lock().unwrap();
        state.is_impaired = false;
        (state.all, state.lost)
    }
}

impl LossState {
    /// Counts a transaction. Returns after how many ms it is carried out, if it is left unanswered.
    fn count(&mut self, body: &Value) -> Option<u64> {
        if !self.is_impaired {
            return None;
        }
        self.all += 1;
        let body = body.to_string();
        let is_lost = self.texts.iter().any(|text| body.contains(text.as_str()));
        self.lost += usize::from(is_lost);
        is_lost.then_some(self.delay_ms)
    }
}

fn carry_out_late(table: SocketAddr, request: &Request, delay_ms: u64, record: &Record) {
    let (method, path, body) = (
        request.method.clone(),
        request.path.clone(),
        request.body.clone(),
    );
    let record = record.clone();
    let key = body["set-keys"][0]["key"].to_string();
    record.line(&format!(
        "the store leaves a transaction that writes {key} unanswered"
    ));
    thread::spawn(move || {
        sleep(Duration::from_millis(delay_ms));
        let answer = forward(table, &method, &path, &body);
        let status = answer.map_or(0, |(status, _)| status);
        record.line(&format!(
            "the store carries out the transaction that writes {key}, {delay_ms} ms late: {status}"
        ));
    });
}

/// Sends a request to the store over a channel of its own and returns the answer.
fn forward(table: SocketAddr, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let mut stream = TcpStream::connect(table).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: store\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let _ = stream.shutdown(Shutdown::Both);
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = serde_json::from_slice(&answer[end + 4..]).unwrap_or(Value::Null);
    Some((status, body))
}
