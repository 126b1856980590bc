//! A relay in front of one executor that holds orders up, and behind which the executor can be down.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Record;

/// What the relays of a case do, as set while it runs.
pub struct RelayFaults {
    /// The number of starts that are still to be held up.
    pub held_starts: AtomicUsize,
    /// For how long each of them is held up.
    pub delay: Duration,
    pub record: Arc<Record>,
}

/// A relay to one executor.
pub struct OrderRelay {
    pub address: SocketAddr,
    name: String,
    target: SocketAddr,
    is_down: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    faults: Arc<RelayFaults>,
}

impl OrderRelay {
    pub fn start(
        name: &str,
        target: SocketAddr,
        faults: Arc<RelayFaults>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Arc::new(Self {
            address: listener.local_addr()?,
            name: name.to_owned(),
            target,
            is_down: AtomicBool::new(false),
            channels: Mutex::default(),
            faults,
        });
        let accepting = Arc::clone(&relay);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                if let (Ok(channel), Ok(mut channels)) =
                    (client.try_clone(), accepting.channels.lock())
                {
                    channels.push(channel);
                }
                let relay = Arc::clone(&accepting);
                thread::spawn(move || relay.serve(client));
            }
        });
        Ok(relay)
    }

    /// Breaks all channels, and accepts none, while the executor is down.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        if let (true, Ok(mut channels)) = (is_down, self.channels.lock()) {
            for channel in channels.drain(..) {
                let _ = channel.shutdown(Shutdown::Both);
            }
        }
    }

    fn serve(&self, mut client: TcpStream) {
        let _ = client.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut client) {
            if is_start(&request) && self.take_fault() {
                self.hold_up(request);
                // Nothing further is delivered on this channel.
                let _ = client.read(&mut [0; 1]);
                return;
            }
            match self.forward(&request) {
                Ok(response) if client.write_all(&response).is_ok() => {}
                _ => return,
            }
        }
    }

    fn take_fault(&self) -> bool {
        let held = &self.faults.held_starts;
        held.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
    }

    /// Delivers an order late, on a channel of its own.
    fn hold_up(&self, request: Vec<u8>) {
        let text = String::from_utf8_lossy(&request);
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
        let (name, target) = (self.name.clone(), self.target);
        let faults = Arc::clone(&self.faults);
        faults.record.line(&format!(
            "start to {name} is held up and not answered: {body}"
        ));
        thread::spawn(move || {
            thread::sleep(faults.delay);
            let answer = forward(target, &request);
            let status = answer.map(|answer| first_line(&answer));
            faults.record.line(&format!(
                "the held start reaches {name}: {body} -> {status:?}"
            ));
        });
    }

    fn forward(&self, request: &[u8]) -> io::Result<Vec<u8>> {
        let answer = forward(self.target, request)?;
        if is_start(request) {
            let text = String::from_utf8_lossy(request);
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
            let status = first_line(&answer);
            self.faults
                .record
                .line(&format!("start to {}: {body} -> {status}", self.name));
        }
        Ok(answer)
    }
}

fn is_start(request: &[u8]) -> bool {
    request.starts_with(b"POST /v1/run-start ")
}

fn first_line(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    text.lines().next().unwrap_or_default().to_owned()
}

fn forward(target: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
    let mut server = TcpStream::connect(target)?;
    server.set_nodelay(true)?;
    server.write_all(request)?;
    read_message(&mut server)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads a message with a stated length; `None` if the channel ends before it.
fn read_message(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut message = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let end = message.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&message[..end]);
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if message.len() >= end + 4 + length.unwrap_or(0) {
                return Ok(Some(message));
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        message.extend_from_slice(&buffer[..count]);
    }
}
