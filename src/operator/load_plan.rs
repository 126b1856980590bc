//! An open-loop load: requests are sent when due, whatever became of earlier ones.

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

/// The time beyond its deadline that a request is waited for.
const ANSWER_GRACE: Duration = Duration::from_secs(3);
const END_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a load sends, where and how fast.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entry hosts, taken in turn.
    pub targets: Vec<SocketAddr>,
    /// The method of the requests.
    pub method: Method,
    /// The path of the requests, with its query.
    pub path: String,
    /// The requests a second, on average.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
    /// The customer on whose behalf they are made.
    pub customer: Option<String>,
    /// Whether each request has an idempotency key of its own.
    pub keyed: bool,
    /// Makes the times between requests and their names the same in every run.
    pub seed: u64,
}

impl LoadPlan {
    /// Creates a plan of GET requests for `path`.
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

    /// Makes the requests POST requests with an idempotency key each.
    #[must_use]
    pub fn with_keys(mut self) -> Self {
        self.method = Method::POST;
        self.keyed = true;
        self
    }

    /// Sets the customer.
    #[must_use]
    pub fn with_customer(mut self, customer: &str) -> Self {
        self.customer = Some(customer.to_owned());
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the deadline of each request.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sends the load and returns what became of it.
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
        for number in 0.. {
            due += interval(&mut random, self.rate);
            if due - started >= self.duration || clients.is_empty() {
                break;
            }
            sleep_until(due).await;
            let client = Rc::clone(&clients[number % clients.len()]);
            let id = format!("{}-{number}", self.seed);
            let request = self.request(&id);
            let report = Rc::clone(&report);
            let patience = self.deadline + ANSWER_GRACE;
            report.borrow_mut().record_sent();
            monoio::spawn(async move {
                let answer = client.send(request, patience).await;
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

fn interval(random: &mut SmallRng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Names what became of a request: `ok` for its own whole answer.
fn classify_outcome(answer: &Result<Response<Bytes>, ExchangeError>, id: &str) -> &'static str {
    let Ok(answer) = answer else {
        return "cut";
    };
    if answer.status() == StatusCode::OK {
        let body = serde_json::from_slice::<serde_json::Value>(answer.body());
        let own = body.is_ok_and(|body| body["caller"] == id);
        return if own { "ok" } else { "wrong" };
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
