//! A small HTTP/1.1 server on a loopback address: a thread for each channel, bodies in JSON.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

/// A request as a handler sees it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub expected_instance: Option<String>,
    pub body: Value,
}

/// Answers a request with a status and a body; `None` closes the channel without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, Value)> + Send + Sync>;

/// A server that goes on until it is closed.
pub struct HttpServer {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl HttpServer {
    pub fn start(handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (closed, kept) = (Arc::clone(&is_closed), Arc::clone(&streams));
        thread::spawn(move || {
            // The listener is dropped once the server is closed, so that new channels are reset.
            while !closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        kept.lock().unwrap().extend(stream.try_clone());
                        let (handler, closed) = (Arc::clone(&handler), Arc::clone(&closed));
                        thread::spawn(move || serve(stream, &handler, &closed));
                    }
                    Err(_) => sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            address,
            is_closed,
            streams,
        })
    }

    /// Closes all channels and takes no new ones.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, is_closed: &AtomicBool) {
    let mut unread = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut unread) {
        let answer = handler(&request);
        if is_closed.load(Ordering::SeqCst) {
            break;
        }
        let Some((status, body)) = answer else {
            break;
        };
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16_384];
    let head_end = loop {
        let end = unread.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            break end;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        unread.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let header = |name: &str| {
        let mut lines = head.split("\r\n").skip(1);
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    };
    let length: usize = header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while unread.len() < head_end + 4 + length {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        unread.extend_from_slice(&buffer[..count]);
    }
    let body = unread[head_end + 4..head_end + 4 + length].to_vec();
    unread.drain(..head_end + 4 + length);
    Some(Request {
        method,
        path,
        expected_instance: header("x-expect-instance"),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}
