//! Client of a platform's HTTP interface with JSON bodies.

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

/// Calls a platform over HTTP.
///
/// Connection failures, time-outs, statuses 429 and 5xx, requests that cannot be encoded and
/// bodies that cannot be decoded become [`Error::PlatformSilent`]. Other unsuccessful statuses
/// become [`Error::PlatformRefused`], except 404: its body is treated like that of a successful
/// response, and only [`ObjectService::get_object`] checks for it.
pub struct HttpPlatform {
    client: HttpClient,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`; `timeout` limits each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address),
            timeout,
        }
    }

    async fn post<B, R>(&self, path: &str, body: &B) -> Result<R>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|error| unavailable_error(&error))?;
        let response = self.call(Method::POST, path, Bytes::from(body)).await?;
        decode(&response)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|error| unavailable_error(&error))?;
        let response = self.client.send(request, self.timeout).await;
        // The other connections to this address may be broken as well.
        let response = response.inspect_err(|_| self.client.close_idle());
        let response = response.map_err(|error| unavailable_error(&error))?;
        match response.status() {
            // 404 is not an error when an object is read: the object does not exist.
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(response),
            status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
                Err(unavailable_error(&status))
            }
            status => Err(Error::PlatformRefused {
                status: status.as_u16(),
                reason: String::from_utf8_lossy(response.body()).into_owned(),
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
        let response = self.call(Method::GET, &path, Bytes::new()).await?;
        let found = response.status() != StatusCode::NOT_FOUND;
        Ok(found.then(|| response.into_body()))
    }
}

impl HostService for HttpPlatform {
    async fn changed_hosts(&self, since: Revision) -> Result<HostChanges> {
        let path = format!("/hosts?since={since}");
        let response = self.call(Method::GET, &path, Bytes::new()).await?;
        decode(&response)
    }

    async fn reboot(&self, host: &HostId, command: &RebootCommand) -> Result<()> {
        let path = format!("/hosts/{host}/reboot");
        self.post::<_, serde_json::Value>(&path, command)
            .await
            .map(drop)
    }
}

impl WorkerService for HttpPlatform {
    async fn send_task_commands(&self, commands: &[TaskCommand]) -> Result<()> {
        let call = self.post::<_, serde_json::Value>("/tasks/orders", &commands);
        call.await.map(drop)
    }

    async fn changed_tasks(&self, since: Revision) -> Result<TaskChanges> {
        let path = format!("/tasks?since={since}");
        let response = self.call(Method::GET, &path, Bytes::new()).await?;
        decode(&response)
    }

    async fn renew_task_lease(&self, lease: &TaskLease) -> Result<()> {
        let call = self.post::<_, serde_json::Value>("/tasks/lease", lease);
        call.await.map(drop)
    }
}

fn decode<R: DeserializeOwned>(response: &Response<Bytes>) -> Result<R> {
    serde_json::from_slice(response.body()).map_err(|error| unavailable_error(&error))
}

fn unavailable_error(reason: &impl ToString) -> Error {
    Error::PlatformSilent(reason.to_string())
}
