//! Malformed, stalled and ambiguous messages at the callers' port.

mod common;

use std::fmt::Write as _;
use std::fs;
use std::io::Write;
use std::net::TcpStream;

use http::HeaderMap;
use http::HeaderValue;
use http::Version;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use zincpier::connection::check_framing;
use zincpier::connection::BodyFraming;

use crate::common::parse_response;
use crate::common::send_raw;
use crate::common::small_text;
use crate::common::TestSystem;

/// The maximum resident memory of a daemon under stalled callers, in kilobytes.
const MAX_RESIDENT_KB: u64 = 64 * 1024;

/// Guards against forwarding a malformed message, or reading on after it on the same connection.
#[test]
fn each_malformed_message_is_refused_and_its_connection_closed() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let callers = system.daemons[0].callers;
    let long = "x".repeat(40_000);
    let chunk = "y".repeat(2_000_000);
    let messages: Vec<(&str, Vec<u8>)> = vec![
        ("head without end", format!("GET /notices HTTP/1.1\r\nlong: {long}").into_bytes()),
        ("two lengths", b"POST /notices HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}x".to_vec()),
        ("same length twice", b"POST /notices HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\n{}".to_vec()),
        ("list of lengths", b"POST /notices HTTP/1.1\r\ncontent-length: 2, 2\r\n\r\n{}".to_vec()),
        ("negative length", b"POST /notices HTTP/1.1\r\ncontent-length: -2\r\n\r\n{}".to_vec()),
        ("length with sign", b"POST /notices HTTP/1.1\r\ncontent-length: +2\r\n\r\n{}".to_vec()),
        ("length and chunks", b"POST /notices HTTP/1.1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
        ("unknown coding", b"POST /notices HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n".to_vec()),
        ("coding twice", b"POST /notices HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
        ("coding in 1.0", b"POST /notices HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
        ("two hosts", b"GET /notices HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".to_vec()),
        ("huge length", b"POST /notices HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n{}".to_vec()),
        ("huge chunk", format!("POST /notices HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{chunk}", chunk.len()).into_bytes()),
        ("bad chunk size", b"POST /notices HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n\r\n".to_vec()),
        ("not UTF-8", b"GET /\xff\xfe HTTP/1.1\r\n\r\n".to_vec()),
        ("no method", b"\r\n\r\n\r\n /notices\r\n\r\n".to_vec()),
        ("expectation", b"POST /notices HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n{}".to_vec()),
        ("head method", b"HEAD /notices HTTP/1.1\r\n\r\n".to_vec()),
    ];

    let mut session = String::new();
    for (name, message) in &messages {
        let received = send_raw(callers, message).unwrap();
        let response = parse_response(&received);
        let summary = response.map_or("closed".to_owned(), |response| {
            format!(
                "{} {}",
                response.status,
                response.header("zincpier-outcome")
            )
        });
        writeln!(session, "{name}: {summary}").unwrap();
    }

    insta::assert_snapshot!(session);
    assert_eq!(system.daemons[0].get("/notices").status, 200);
}

/// Guards against responses in another order than their requests on one connection.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let mut wire = String::new();
    for number in 0..5 {
        let close = if number == 4 {
            "connection: close\r\n"
        } else {
            ""
        };
        write!(
            wire,
            "GET /notices HTTP/1.1\r\nx-caller-id: pipe-{number}\r\n{close}\r\n"
        )
        .unwrap();
    }

    let responses = send_raw(system.daemons[0].callers, wire.as_bytes()).unwrap();

    let responses = String::from_utf8(responses).unwrap();
    let positions = (0..5)
        .map(|number| responses.find(&format!("\"pipe-{number}\"")).unwrap())
        .collect::<Vec<_>>();
    assert!(positions.is_sorted());
}

/// Guards against running out of memory, or of connections for other callers, while thousands of
/// callers send nothing or stop in the middle of a body.
#[test]
fn stalled_and_idle_callers_leave_memory_bounded_and_others_served() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let daemon = &system.daemons[0];

    let stalled = (0..2_000)
        .map(|number| {
            let mut stream = TcpStream::connect(daemon.callers).unwrap();
            if number % 2 == 0 {
                stream
                    .write_all(b"POST /notices HTTP/1.1\r\ncontent-length: 900000\r\n\r\nxx")
                    .unwrap();
            }
            stream
        })
        .collect::<Vec<_>>();
    let response = daemon.get("/notices");
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.process.child.id())).unwrap();

    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let resident = line
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<u64>()
        .unwrap();
    assert_eq!(stalled.len(), 2_000);
    assert_eq!(response.status, 200);
    assert!(resident < MAX_RESIDENT_KB, "{resident} kB resident");
}

/// Guards against request smuggling: any mix of framing headers is unambiguous or refused.
#[test]
fn framing_is_unambiguous_for_random_heads() {
    let lengths = [
        "0",
        "7",
        "07",
        "7,7",
        "-1",
        "+1",
        " 7",
        "",
        "0x7",
        "18446744073709551616",
    ];
    let codings = [
        "chunked",
        "Chunked",
        "gzip",
        "gzip, chunked",
        "chunked, chunked",
        "identity",
        "",
    ];
    let mut random = SmallRng::seed_from_u64(7);

    for _ in 0..20_000 {
        let mut headers = HeaderMap::new();
        for _ in 0..random.random_range(0..3) {
            let length = lengths[random.random_range(0..lengths.len())];
            headers.append("content-length", HeaderValue::from_static(length));
        }
        for _ in 0..random.random_range(0..3) {
            let coding = codings[random.random_range(0..codings.len())];
            headers.append("transfer-encoding", HeaderValue::from_static(coding));
        }

        let framing = check_framing(Version::HTTP_11, &headers);

        let all_lengths = headers.get_all("content-length").iter().collect::<Vec<_>>();
        let all_codings = headers
            .get_all("transfer-encoding")
            .iter()
            .collect::<Vec<_>>();
        match framing {
            Ok(BodyFraming::Empty) => assert!(all_lengths.is_empty() && all_codings.is_empty()),
            Ok(BodyFraming::Length(length)) => {
                assert_eq!((all_lengths.len(), all_codings.len()), (1, 0));
                assert_eq!(
                    all_lengths[0].to_str().unwrap().parse::<u64>().unwrap(),
                    length
                );
            }
            Ok(BodyFraming::Chunked) => {
                assert_eq!((all_lengths.len(), all_codings.len()), (0, 1));
                assert!(all_codings[0]
                    .to_str()
                    .unwrap()
                    .eq_ignore_ascii_case("chunked"));
            }
            Err(_) => assert!(all_lengths.len() + all_codings.len() > 0),
        }
    }
}
