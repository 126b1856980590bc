//! The callers' listener of a daemon.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::connection::RequestHandler;
use crate::operator::JobApi;
use crate::process::DaemonParts;

/// The first segments of the paths that are zincpier's own.
const OWN_PATH: [&str; 2] = ["zincpier", "jobs"];

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
        if !path.starts_with(OWN_PATH[0]) {
            return self.parts.router.handle(request).await;
        }
        let segments = path.split('/').collect::<Vec<_>>();
        match segments.strip_prefix(&OWN_PATH) {
            Some(rest) => self.jobs.answer(&request, rest).await,
            None => self.parts.router.handle(request).await,
        }
    }
}
