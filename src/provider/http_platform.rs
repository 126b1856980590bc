//! A platform that is reached over HTTP with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

use crate::connection::HttpClient;
use crate::error::Error;
use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::provider::HostChanges;
use crate::provider::HostService;
use crate::provider::ObjectService;
use crate::provider::RebootCommand;
use crate::provider::RowCheck;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::TaskChanges;
use crate::provider::TaskCommand;
use crate::provider::TaskLease;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::provider::WorkerService;

/// Calls the platform's HTTP interface.
pub struct HttpPlatform {
    client: HttpClient,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a caller of the platform at `address`, which waits for `timeout` at most.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address),
            timeout,
        }
    }

    async fn post<B, A>(&self, path: &str, body: &B) -> Result<A>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|error| silent(&error))?;
        let answer = self.call(Method::POST, path, Bytes::from(body)).await?;
        decode(&answer)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|error| silent(&error))?;
        let answer = self.client.send(request, self.timeout).await;
        let answer = answer.inspect_err(|_| self.client.drop_idle());
        let answer = answer.map_err(|error| silent(&error))?;
        match answer.status() {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(answer),
            status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
                Err(silent(&status))
            }
            status => Err(Error::PlatformRefused {
                status: status.as_u16(),
                reason: String::from_utf8_lossy(answer.body()).into_owned(),
            }),
        }
    }
}

impl TableService for HttpPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.post("/table/transact", transaction).await
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.post("/table/read", &json!({ "keys": keys })).await
    }

    async fn revisions(&self, keys: &[&str]) -> Result<Vec<RowCheck>> {
        self.post("/table/revisions", &json!({ "keys": keys }))
            .await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>> {
        let range = json!({ "prefix": prefix, "after": after, "limit": limit });
        self.post("/table/scan", &range).await
    }
}

impl ObjectService for HttpPlatform {
    async fn put_object(&self, name: &str, content: Bytes) -> Result<()> {
        let path = format!("/objects/{name}");
        self.call(Method::PUT, &path, content).await.map(drop)
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        let path = format!("/objects/{name}");
        let answer = self.call(Method::GET, &path, Bytes::new()).await?;
        let found = answer.status() != StatusCode::NOT_FOUND;
        Ok(found.then(|| answer.into_body()))
    }
}

impl HostService for HttpPlatform {
    async fn changed_hosts(&self, since: Revision) -> Result<HostChanges> {
        let path = format!("/hosts?since={since}");
        let answer = self.call(Method::GET, &path, Bytes::new()).await?;
        decode(&answer)
    }

    async fn reboot(&self, host: &HostId, order: &RebootCommand) -> Result<()> {
        let path = format!("/hosts/{host}/reboot");
        self.post::<_, serde_json::Value>(&path, order)
            .await
            .map(drop)
    }
}

impl WorkerService for HttpPlatform {
    async fn send_task_commands(&self, orders: &[TaskCommand]) -> Result<()> {
        let answer = self.post::<_, serde_json::Value>("/tasks/orders", &orders);
        answer.await.map(drop)
    }

    async fn changed_tasks(&self, since: Revision) -> Result<TaskChanges> {
        let path = format!("/tasks?since={since}");
        let answer = self.call(Method::GET, &path, Bytes::new()).await?;
        decode(&answer)
    }

    async fn renew_task_lease(&self, lease: &TaskLease) -> Result<()> {
        let answer = self.post::<_, serde_json::Value>("/tasks/lease", lease);
        answer.await.map(drop)
    }
}

fn decode<A: DeserializeOwned>(answer: &Response<Bytes>) -> Result<A> {
    serde_json::from_slice(answer.body()).map_err(|error| silent(&error))
}

fn silent(reason: &impl ToString) -> Error {
    Error::PlatformUnavailable(reason.to_string())
}
