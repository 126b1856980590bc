//! Limits on the time that a response takes.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use zincpier::connection::AnswerClock;
use zincpier::connection::ExchangeError;
use zincpier::connection::HttpClient;
use zincpier::connection::ResponseLimits;

use crate::runtime::run;

/// The limit on the beginning of a response, and on each pause in it.
const LIMIT: Duration = Duration::from_millis(200);

/// The pause between two pieces of a response that arrives steadily.
const PIECE_PAUSE: Duration = Duration::from_millis(50);

/// Pieces of a whole response: it takes 1 s, five times the limit.
const PIECES: usize = 20;

/// How late a limit may be noticed on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Serves one request with a response of `status` in pieces of one byte. After `sent_pieces` of
/// them, the connection stays open without another byte.
fn serve_in_pieces(status: &'static str, sent_pieces: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let request_bytes = stream.read(&mut [0; 4_096]).unwrap();
        assert!(request_bytes > 0);
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {PIECES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        for _ in 0..sent_pieces {
            thread::sleep(PIECE_PAUSE);
            // A client that has given up closes the connection.
            if stream.write_all(b"x").is_err() {
                return;
            }
        }
        let _ = stream.read(&mut [0; 1]);
    });
    address
}

fn fetch(address: SocketAddr, limits: ResponseLimits) -> Result<Response<Bytes>, ExchangeError> {
    run(async move {
        let client = HttpClient::new(address);
        client.send(Request::new(Bytes::new()), limits).await
    })
}

/// Guards against giving up, over and over, a large response that a thin link carries steadily.
#[test]
fn steady_response_may_take_longer_than_the_limit_on_silence() {
    let address = serve_in_pieces("200 OK", PIECES);
    let limits = ResponseLimits::new(LIMIT).with_silence(LIMIT);

    let started = Instant::now();
    let response = fetch(address, limits).unwrap();

    assert_eq!(response.body().len(), PIECES);
    assert!(started.elapsed() > LIMIT * 2, "{:?}", started.elapsed());
}

/// Guards against waiting for the rest of a response from a connection that went silent.
#[test]
fn response_that_stops_arriving_is_given_up_after_the_limit_on_silence() {
    let sent_pieces = PIECES / 2;
    let address = serve_in_pieces("200 OK", sent_pieces);
    let limits = ResponseLimits::new(LIMIT).with_silence(LIMIT);

    let started = Instant::now();
    let error = fetch(address, limits).unwrap_err();

    let expected = PIECE_PAUSE * sent_pieces as u32 + LIMIT;
    let elapsed = started.elapsed();
    assert!(matches!(error, ExchangeError::TimedOut), "{error}");
    assert!(elapsed < expected + TOLERANCE, "{elapsed:?}");
}

/// Guards against a longer wait for a response that never begins.
#[test]
fn response_that_does_not_begin_is_given_up_after_its_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = ResponseLimits::new(LIMIT).with_silence(LIMIT * 20);

    let started = Instant::now();
    let error = fetch(listener.local_addr().unwrap(), limits).unwrap_err();

    let elapsed = started.elapsed();
    assert!(matches!(error, ExchangeError::TimedOut), "{error}");
    assert!(elapsed < LIMIT + TOLERANCE, "{elapsed:?}");
}

/// Guards against a plain time that is extended while bytes arrive: callers' deadlines are such.
#[test]
fn response_with_a_plain_time_is_given_up_although_it_arrives() {
    let address = serve_in_pieces("200 OK", PIECES);

    let error = fetch(address, ResponseLimits::new(LIMIT)).unwrap_err();

    assert!(matches!(error, ExchangeError::TimedOut), "{error}");
}

/// Guards against a server that counts as silent while its response arrives, and against a refusal
/// that counts as an answer.
#[test]
fn clock_is_kept_by_the_bytes_of_a_successful_response_alone() {
    let silent_ms_after = |status| {
        let address = serve_in_pieces(status, PIECES);
        let clock = AnswerClock::new();
        let limits = ResponseLimits::new(LIMIT).with_silence(LIMIT);
        fetch(address, limits.with_clock(clock.clone())).unwrap();
        clock.silent_ms()
    };

    let after_success = silent_ms_after("200 OK");
    let after_refusal = silent_ms_after("503 Service Unavailable");

    let transfer_ms = (PIECE_PAUSE * PIECES as u32).as_millis() as u64;
    assert!(after_success < transfer_ms / 2, "{after_success} ms");
    assert!(after_refusal >= transfer_ms, "{after_refusal} ms");
}
