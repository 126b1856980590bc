//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A request as the server has read it.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }

    pub fn number(&self, name: &str) -> u64 {
        let value = self.parameter(name);
        value.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// What the server does with a request.
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Listens on a free loopback port and serves each connection on a thread.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the port's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Close => return,
            Reply::Json(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let message = [head.as_bytes(), body.as_bytes()].concat();
                if writer.write_all(&message).is_err() {
                    return;
                }
            }
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Value> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, text)| text.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Sends a request over a new connection. Returns the status and the body, or `None` without a complete
/// answer within `limit`.
pub fn send(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: Option<&Value>,
    limit: Duration,
) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = body.map_or(String::new(), Value::to_string);
    let message = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-deadline: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{text}",
        limit.as_millis(),
        text.len()
    );
    stream.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let digits = text.get(position + 1..position + 3);
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[position], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                position += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        position += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
