//! Open-loop load generator: requests are sent on schedule, regardless of earlier ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::time::sleep;
use monoio::time::sleep_until;
use monoio::time::Instant;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::connection::ExchangeError;
use crate::connection::HttpClient;
use crate::operator::LoadReport;
use crate::request::header;

/// Time to wait for an answer after the request's deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(3);
/// Interval between checks for whether all sent requests have ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Targets, rate and request template of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of the entry hosts, used round-robin.
    pub targets: Vec<SocketAddr>,
    /// Method of all requests; POST requests carry an empty JSON object.
    pub method: Method,
    /// Path and query of all requests.
    pub path: String,
    /// Mean requests per second; the times between requests are exponentially distributed.
    pub rate: f64,
    /// How long requests are sent, excluding the wait for the last answers.
    pub duration: Duration,
    /// Time from sending a request to its deadline.
    pub deadline: Duration,
    /// Customer on whose behalf the requests are made.
    pub customer: Option<String>,
    /// Whether each request carries a unique idempotency key.
    pub keyed: bool,
    /// Seed of the request times and prefix of the request ids; the same seed repeats both.
    pub seed: u64,
}

impl LoadPlan {
    /// Creates a plan of GET requests for `path`, with a deadline of 2 s and seed 1.
    pub fn new(targets: Vec<SocketAddr>, path: &str, rate: f64, duration: Duration) -> Self {
        Self {
            targets,
            method: Method::GET,
            path: path.to_owned(),
            rate,
            duration,
            deadline: Duration::from_secs(2),
            customer: None,
            keyed: false,
            seed: 1,
        }
    }

    /// Switches to POST requests, each with its own idempotency key.
    #[must_use]
    pub fn with_keys(mut self) -> Self {
        self.method = Method::POST;
        self.keyed = true;
        self
    }

    /// Sets the customer header of all requests.
    #[must_use]
    pub fn with_customer(mut self, customer: &str) -> Self {
        self.customer = Some(customer.to_owned());
        self
    }

    /// Sets the seed, which also prefixes the request ids.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time from sending a request to its deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sends the load and returns the report once every request has ended.
    pub async fn run(&self) -> LoadReport {
        let report = Rc::new(RefCell::new(LoadReport::new()));
        let clients = self
            .targets
            .iter()
            .map(|target| Rc::new(HttpClient::new(*target)))
            .collect::<Vec<_>>();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let started = Instant::now();
        let mut due = started;
        for index in 0.. {
            due += random_interval(&mut random, self.rate);
            if due - started >= self.duration || clients.is_empty() {
                break;
            }
            sleep_until(due).await;
            let client = Rc::clone(&clients[index % clients.len()]);
            let id = format!("{}-{index}", self.seed);
            let request = self.request(&id);
            let report = Rc::clone(&report);
            let timeout = self.deadline + ANSWER_GRACE;
            report.borrow_mut().record_sent();
            monoio::spawn(async move {
                let answer = client.send(request, timeout).await;
                let outcome = classify_outcome(&answer, &id);
                report.borrow_mut().record_outcome(outcome, due.elapsed());
            });
        }
        while report.borrow().ended() < report.borrow().sent() {
            sleep(END_POLL_INTERVAL).await;
        }
        let mut report = report.borrow().clone();
        report.set_elapsed(started.elapsed());
        report
    }

    fn request(&self, id: &str) -> Request<Bytes> {
        let body = match self.method {
            Method::POST => Bytes::from_static(b"{}"),
            _ => Bytes::new(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![(header::CALLER_ID, id), (header::DEADLINE_MS, &deadline)];
        if self.keyed {
            headers.push((header::IDEMPOTENCY_KEY, id));
        }
        if let Some(customer) = &self.customer {
            headers.push((header::CUSTOMER, customer));
        }
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_str(value) {
                request.headers_mut().insert(name, value);
            }
        }
        request
    }
}

/// Draws the exponentially distributed time to the next request.
fn random_interval(random: &mut SmallRng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Returns the outcome of a request: `ok` for a 200 whose body names this request as its caller,
/// `wrong` for any other 200, `cut` if no complete answer arrived, otherwise the value of the
/// outcome header, or `error` if that is absent or not a known value.
fn classify_outcome(answer: &Result<Response<Bytes>, ExchangeError>, id: &str) -> &'static str {
    let Ok(answer) = answer else {
        return "cut";
    };
    if answer.status() == StatusCode::OK {
        let body = serde_json::from_slice::<serde_json::Value>(answer.body());
        let is_own = body.is_ok_and(|body| body["caller"] == id);
        return if is_own { "ok" } else { "wrong" };
    }
    match answer
        .headers()
        .get(header::OUTCOME)
        .map(HeaderValue::as_bytes)
    {
        Some(b"not-run") => "not-run",
        Some(b"unknown") => "unknown",
        Some(b"in-progress") => "in-progress",
        _ => "error",
    }
}
