//! The HTTP side of the object API.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client as Http, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::{Error, Expected, Listing, Object, Revision, Stored};

/// Deadline of a call that doesn't wait for a change.
const CALL: Duration = Duration::from_secs(2);
/// Time over a watch's own waiting time after which its connection counts as silent.
const WATCH_GRACE: Duration = Duration::from_secs(2);
/// Largest answer read, in bytes.
const MAX_ANSWER: usize = 16 << 20;

type Pool = Http<HttpConnector, Full<Bytes>>;

struct Answer {
    status: StatusCode,
    revision: Option<Revision>,
    body: Bytes,
}

/// A client of the object API.
pub struct Client {
    address: SocketAddr,
    pool: Mutex<Pool>,
    calls: AtomicU64,
}

impl Client {
    /// A client of the API at `address`. Connects with the first call.
    pub fn new(address: SocketAddr) -> Client {
        Client { address, pool: Mutex::new(new_pool()), calls: AtomicU64::new(0) }
    }

    /// Calls made so far, waiting watches included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The platform can't be reached or understood.
    pub async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &format!("/objects/{name}"), None, Bytes::new());
        let answer = self.call(request, CALL).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let revision = answer.checked()?;
        let value = String::from_utf8(answer.body.to_vec())
            .map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Some(Object { name: name.to_owned(), revision, value }))
    }

    /// Lists the objects under a prefix.
    ///
    /// # Errors
    /// The platform can't be reached or understood.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let path = format!("/objects?prefix={prefix}");
        let request = self.request(Method::GET, &path, None, Bytes::new());
        self.call(request, CALL).await?.listing()
    }

    /// Waits until an object under a prefix is newer than `after`, for `wait` at most, then lists
    /// what is newer.
    ///
    /// # Errors
    /// The platform can't be reached or understood.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Listing, Error> {
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path, None, Bytes::new());
        self.call(request, wait + WATCH_GRACE).await?.listing()
    }

    /// Stores an object if it is at the expected version.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if it surely wasn't stored, [`Error::Lost`] if it may have been.
    pub async fn put(
        &self,
        name: &str,
        value: String,
        expected: Expected,
    ) -> Result<Stored, Error> {
        let path = format!("/objects/{name}");
        let request = self.request(Method::PUT, &path, Some(expected), value.into());
        let answer = self.call(request, CALL).await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            return Ok(Stored::Conflict);
        }
        Ok(Stored::Done(answer.checked()?))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        expected: Option<Expected>,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{path}", self.address);
        let builder = Request::builder().method(method).uri(uri);
        let builder = match expected {
            Some(Expected::Absent) => builder.header("if-none-match", "*"),
            Some(Expected::At(revision)) => builder.header("if-match", revision.to_string()),
            None => builder,
        };
        builder.body(Full::new(body)).expect("names are made of URL characters")
    }

    async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Answer, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let pool = self.pool.lock().expect("no holder panics").clone();
        match tokio::time::timeout(limit, exchange(pool, request)).await {
            Ok(answer) => answer,
            Err(_) => {
                // The connection may be silent for good: the next call dials anew.
                *self.pool.lock().expect("no holder panics") = new_pool();
                Err(Error::Lost("no answer within the deadline".to_owned()))
            }
        }
    }
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    connector.set_nodelay(true);
    Http::builder(TokioExecutor::new()).pool_max_idle_per_host(2).build(connector)
}

async fn exchange(pool: Pool, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
    let response = pool.request(request).await.map_err(|error| {
        if error.is_connect() {
            Error::Unavailable(error.to_string())
        } else {
            Error::Lost(error.to_string())
        }
    })?;
    let status = response.status();
    let revision = response.headers().get("x-revision").and_then(|value| value.to_str().ok());
    let revision = revision.and_then(|text| text.parse().ok());
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|error| Error::Lost(error.to_string()))?.to_bytes();
    if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Unavailable(format!("status {status}")));
    }
    Ok(Answer { status, revision, body })
}

impl Answer {
    fn checked(&self) -> Result<Revision, Error> {
        if !self.status.is_success() {
            return Err(Error::Malformed(format!("status {}", self.status)));
        }
        self.revision.ok_or_else(|| Error::Malformed("no revision".to_owned()))
    }

    fn listing(&self) -> Result<Listing, Error> {
        if !self.status.is_success() {
            return Err(Error::Malformed(format!("status {}", self.status)));
        }
        serde_json::from_slice(&self.body).map_err(|error| Error::Malformed(error.to_string()))
    }
}
