//! Connections of a client that gets processor time late.

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join;
use futures::future::join_all;
use http::Request;
use http::Response;
use monoio::net::TcpListener;
use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::connection::serve_connection;
use zincpier::connection::ExchangeError;
use zincpier::connection::HttpClient;
use zincpier::connection::IdleBudget;
use zincpier::connection::MessageLimits;
use zincpier::connection::RequestHandler;
use zincpier::process::ShutdownSignal;

use crate::runtime::run;

/// How long the client waits for an answer.
const LIMIT: Duration = Duration::from_millis(100);

/// How long the client's thread is kept from running: longer than a request may be sent late.
const DELAY: Duration = Duration::from_millis(1_500);

/// A delay that is longer than the client waits for an answer.
const SHORT_DELAY: Duration = Duration::from_millis(300);

/// The path of requests that are not answered.
const SILENT_PATH: &str = "/silent";

/// A server that answers all requests at once, except those to [`SILENT_PATH`].
struct PartlySilentServer;

impl RequestHandler for PartlySilentServer {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        if request.uri().path() == SILENT_PATH {
            sleep(Duration::from_secs(60)).await;
        }
        Response::new(Bytes::from_static(b"{}"))
    }
}

/// Starts a server with a thread of its own. Returns its address and the count of the connections it
/// has accepted.
fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&accepted);
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        run(async move {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::Relaxed);
                monoio::spawn(async move {
                    let limits = MessageLimits::default();
                    let signal = ShutdownSignal::new();
                    serve_connection(stream, &PartlySilentServer, limits, signal).await;
                });
            }
        });
    });
    (receiver.recv().unwrap(), accepted)
}

async fn send(
    client: &HttpClient,
    path: &str,
    limit: Duration,
) -> Result<Response<Bytes>, ExchangeError> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().unwrap();
    client.send(request, limit).await
}

/// Keeps the thread, and with it everything that was begun before, from running.
async fn block_thread(delay: Duration) {
    thread::sleep(delay);
}

/// Guards against a request that is sent long after its time, and then counts as unanswered at once; and against a new connection for each request while the client is late.
#[test]
fn connection_noticed_late_carries_the_next_request() {
    let (address, accepted) = start_server();
    run(async move {
        let client = HttpClient::new(address);

        let (late, ()) = join(send(&client, "/", LIMIT), block_thread(DELAY)).await;
        sleep(LIMIT).await;
        let next = send(&client, "/", Duration::from_secs(5)).await;

        assert!(!late.unwrap_err().may_have_run());
        assert!(next.is_ok());
        assert_eq!(accepted.load(Ordering::Relaxed), 1);
    });
}

/// Guards against a burst of starts to new workers that are all withdrawn, because opening the
/// connections took longer than an answer may take.
#[test]
fn request_whose_connection_is_opened_late_is_answered() {
    let (address, accepted) = start_server();
    run(async move {
        let client = HttpClient::new(address);

        let (late, ()) = join(send(&client, "/", LIMIT), block_thread(SHORT_DELAY)).await;

        assert!(late.is_ok(), "{late:?}");
        assert_eq!(accepted.load(Ordering::Relaxed), 1);
    });
}

/// Guards against giving up answers that have arrived, because the client hasn't had the time to look
/// at all of its connections.
#[test]
fn answers_that_arrived_while_the_client_was_late_are_read() {
    // More answers than the driver takes notice of at once.
    const REQUESTS: usize = 1_300;
    let (address, _) = start_server();
    run(async move {
        let budget = IdleBudget::new(2 * REQUESTS);
        let usual = Rc::new(Cell::new(usize::MAX));
        let client = HttpClient::with_idle_budget(address, budget, usual);
        let send_all = |limit| (0..REQUESTS).map(move |_| limit);
        let opening = send_all(Duration::from_secs(10)).map(|limit| send(&client, "/", limit));
        join_all(opening).await;

        let requests = send_all(LIMIT).map(|limit| send(&client, "/", limit));
        let (answers, ()) = join(join_all(requests), block_thread(DELAY)).await;

        let answered = answers.iter().filter(|answer| answer.is_ok()).count();
        assert_eq!(answered, REQUESTS);
    });
}

/// Guards against closing connections that work, because a request over another one got no answer.
#[test]
fn connection_that_answered_since_outlives_an_unanswered_request() {
    let (address, accepted) = start_server();
    run(async move {
        let client = HttpClient::new(address);
        let started = Instant::now();
        let others = async {
            for _ in 0..4 {
                send(&client, "/", LIMIT * 10).await.unwrap();
                sleep(LIMIT / 5).await;
            }
        };

        let (silent, ()) = join(send(&client, SILENT_PATH, LIMIT), others).await;
        client.close_unanswered(started);
        let next = send(&client, "/", LIMIT * 10).await;

        assert!(silent.is_err());
        assert!(next.is_ok());
        assert_eq!(accepted.load(Ordering::Relaxed), 2);
    });
}

/// Guards against keeping idle connections that may be as unresponsive as the one that gave no answer.
#[test]
fn connection_without_an_answer_since_is_closed() {
    let (address, accepted) = start_server();
    run(async move {
        let client = HttpClient::new(address);
        send(&client, "/", LIMIT * 10).await.unwrap();
        let started = Instant::now();

        client.close_unanswered(started);
        let next = send(&client, "/", LIMIT * 10).await;

        assert!(next.is_ok());
        assert_eq!(accepted.load(Ordering::Relaxed), 2);
    });
}
