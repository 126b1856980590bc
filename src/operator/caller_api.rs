//! The callers' listener of a daemon.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::connection::RequestHandler;
use crate::operator::JobApi;
use crate::process::DaemonParts;

/// The first segments of the paths of calls about jobs.
const JOBS_PATH: [&str; 2] = ["zincpier", "jobs"];

/// Answers callers: calls about jobs by itself, all others by backend servers.
pub struct CallerApi {
    parts: Rc<DaemonParts>,
    jobs: JobApi,
}

impl CallerApi {
    /// Creates the listener's handler.
    pub fn new(parts: Rc<DaemonParts>) -> Self {
        Self {
            jobs: JobApi::new(Rc::clone(&parts)),
            parts,
        }
    }
}

impl RequestHandler for CallerApi {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().trim_matches('/');
        let mut segments = path.split('/');
        if !JOBS_PATH.iter().all(|name| segments.next() == Some(*name)) {
            return self.parts.router.handle(request).await;
        }
        let rest = segments.collect::<Vec<_>>();
        self.jobs.answer(&request, &rest).await
    }
}
