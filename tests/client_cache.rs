//! Connections to servers that come and go: shared, kept and given up.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http::Response;
use monoio::net::TcpListener;
use monoio::time::sleep;
use monoio::time::timeout;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use zincpier::connection::serve_connection;
use zincpier::connection::ClientCache;
use zincpier::connection::MessageLimits;
use zincpier::connection::RequestHandler;
use zincpier::process::ShutdownSignal;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A server that answers after `delay`.
struct SlowServer {
    delay: Duration,
}

impl RequestHandler for SlowServer {
    async fn handle(&self, _: Request<Bytes>) -> Response<Bytes> {
        sleep(self.delay).await;
        Response::new(Bytes::from_static(b"{}"))
    }
}

fn run<F: std::future::Future>(work: F) -> F::Output {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(work)
}

/// Starts a server and returns its address and the count of the connections it has accepted.
fn start_server(delay: Duration) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Rc::new(Cell::new(0));
    let counter = Rc::clone(&accepted);
    let handler = Rc::new(SlowServer { delay });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.set(counter.get() + 1);
            let limits = MessageLimits::default();
            let handler = Rc::clone(&handler);
            monoio::spawn(async move {
                serve_connection(stream, handler.as_ref(), limits, ShutdownSignal::new()).await;
            });
        }
    });
    (address, accepted)
}

/// Starts a server that closes each connection after some milliseconds. Returns its address.
fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = SlowServer {
                delay: Duration::ZERO,
            };
            monoio::spawn(async move {
                let signal = ShutdownSignal::new();
                let served = serve_connection(stream, &handler, MessageLimits::default(), signal);
                let _ = timeout(Duration::from_millis(200), served).await;
            });
        }
    });
    address
}

async fn send_together(cache: &ClientCache, address: SocketAddr, count: usize) -> usize {
    let requests = (0..count).map(|_| async {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = "/".parse().unwrap();
        cache.get(address).send(request, RESPONSE_TIMEOUT).await
    });
    let responses = join_all(requests).await;
    responses.iter().filter(|response| response.is_ok()).count()
}

/// Guards against a connection for each of the starts that are placed on one worker together.
#[test]
fn requests_to_one_server_share_a_few_connections() {
    run(async {
        let (address, accepted) = start_server(Duration::from_millis(2));
        let cache = ClientCache::new(100, RESPONSE_TIMEOUT);

        let answered = send_together(&cache, address, 8).await;

        assert_eq!(answered, 8);
        assert!(accepted.get() <= 3, "{} connections", accepted.get());
    });
}

/// Guards against requests that queue up behind those that a slow server holds.
#[test]
fn requests_to_a_slow_server_open_further_connections() {
    run(async {
        let (address, accepted) = start_server(Duration::from_millis(400));
        let cache = ClientCache::new(100, RESPONSE_TIMEOUT);

        let answered = send_together(&cache, address, 8).await;

        assert_eq!(answered, 8);
        assert_eq!(accepted.get(), 8);
    });
}

/// Guards against a cache that keeps the clients of servers which have moved to other addresses:
/// they used up the limit on connections, and each request then opened one.
#[test]
fn connections_are_reused_after_many_servers_have_gone() {
    run(async {
        // Arrange: more servers than the limit on connections have come and gone.
        let cache = ClientCache::new(20, Duration::from_millis(300));
        for port in 1..=40 {
            cache.get(SocketAddr::from(([127, 0, 0, 9], port)));
        }
        sleep(Duration::from_millis(1_100)).await;
        let (address, accepted) = start_server(Duration::ZERO);

        // Act.
        for _ in 0..5 {
            assert_eq!(send_together(&cache, address, 1).await, 1);
        }

        // Assert.
        assert_eq!(cache.len(), 1);
        assert_eq!(accepted.get(), 1);
    });
}

/// Guards against a burst to one server whose idle connections use up the limit, so that each request
/// to the others opens one.
#[test]
fn each_server_keeps_a_connection_after_a_burst_to_another_one() {
    run(async {
        let cache = ClientCache::new(20, RESPONSE_TIMEOUT);
        let (busy_address, _) = start_server(Duration::from_millis(400));
        let (address, accepted) = start_server(Duration::ZERO);
        cache.get(address);
        assert_eq!(send_together(&cache, busy_address, 30).await, 30);

        for _ in 0..5 {
            assert_eq!(send_together(&cache, address, 1).await, 1);
        }

        assert_eq!(accepted.get(), 1);
    });
}

/// Guards against idle connections to servers that have closed them, which count towards the limit for
/// as long as those to idle servers are kept.
#[test]
fn clients_of_servers_that_closed_their_connections_are_dropped_early() {
    run(async {
        let cache = ClientCache::new(20, Duration::from_secs(60));
        let (idle_address, idle_accepted) = start_server(Duration::ZERO);
        let gone_address = start_closing_server();
        assert_eq!(send_together(&cache, idle_address, 1).await, 1);
        assert_eq!(send_together(&cache, gone_address, 1).await, 1);
        sleep(Duration::from_millis(1_100)).await;

        cache.get(SocketAddr::from(([127, 0, 0, 9], 1)));

        assert_eq!(cache.len(), 2);
        assert_eq!(send_together(&cache, idle_address, 1).await, 1);
        assert_eq!(idle_accepted.get(), 1);
    });
}
