//! Abandoned and refused connections of the HTTP client.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use zincpier::connection::HttpClient;

use crate::runtime::run;

/// Larger than the socket buffers of both sides, so that a request stays partly unsent while the
/// listener does not read.
const REQUEST_BYTES: usize = 32 * 1024 * 1024;

/// Guards against delivery of the rest of a request from the client's socket buffer after the
/// request timed out, once the server reads again.
#[test]
fn abandoned_request_is_not_delivered_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();

    let response = run(async move {
        let client = HttpClient::new(address);
        let request = Request::new(Bytes::from(vec![b'x'; REQUEST_BYTES]));
        client.send(request, Duration::from_millis(300)).await
    });

    assert!(response.is_err());
    let (mut stream, _) = listener.accept().unwrap();
    let read = stream.read_to_end(&mut Vec::new());
    let kind = read.map_err(|error| error.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against reporting an unknown outcome for a request that was never sent.
#[test]
fn refused_connection_reports_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let response = run(async move {
        let client = HttpClient::new(address);
        let request = Request::new(Bytes::from_static(b"order"));
        client.send(request, Duration::from_millis(500)).await
    });

    assert!(!response.unwrap_err().may_have_run());
}
