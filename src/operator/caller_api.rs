//! HTTP API of a daemon's caller listener.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::connection::RequestHandler;
use crate::operator::JobApi;
use crate::process::DaemonParts;

/// Leading path segments of the job API.
const JOBS_PATH: [&str; 2] = ["zincpier", "jobs"];

/// Request handler of the caller listener: serves the job API and routes every other request
/// to a backend server.
pub struct CallerApi {
    parts: Rc<DaemonParts>,
    jobs: JobApi,
}

impl CallerApi {
    /// Creates a handler that uses the daemon's components.
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
