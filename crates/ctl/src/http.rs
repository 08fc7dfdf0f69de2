//! HTTP calls to the admin addresses of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Deadline of a call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Deadline for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client for a list of daemons, any of which may answer.
pub struct DaemonClient {
    addresses: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call got no response.
enum CallError {
    /// The request wasn't sent, so another daemon may be tried.
    NotSent,
    /// The request may have been executed.
    ResponseLost,
}

impl DaemonClient {
    /// Creates a client that tries the daemons in this order.
    pub fn new(addresses: Vec<SocketAddr>) -> DaemonClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        DaemonClient { addresses, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Gets a JSON document from the first daemon that responds.
    ///
    /// # Errors
    /// No daemon responds, or the response can't be parsed.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        for address in &self.addresses {
            if let Ok(body) = self.call(Method::GET, *address, path, Bytes::new()).await {
                return parse(&body);
            }
        }
        Err(self.unreachable())
    }

    /// Gets a JSON document from one daemon; `None` if it doesn't respond or the response can't be
    /// parsed.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let body = self.call(Method::GET, address, path, Bytes::new()).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Posts a JSON document to the first daemon that can be reached. Returns `None` if the response
    /// was lost: the daemon may have processed the document, so no other daemon is tried.
    ///
    /// # Errors
    /// No daemon can be reached, or the response can't be parsed.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        json: &str,
    ) -> Result<Option<T>, Error> {
        for address in &self.addresses {
            let body = Bytes::from(json.to_owned());
            match self.call(Method::POST, *address, path, body).await {
                Ok(body) => return parse(&body).map(Some),
                Err(CallError::ResponseLost) => return Ok(None),
                Err(CallError::NotSent) => {}
            }
        }
        Err(self.unreachable())
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() { CallError::NotSent } else { CallError::ResponseLost }
            })?;
            let body = response.into_body().collect().await.map_err(|_| CallError::ResponseLost)?;
            Ok(body.to_bytes())
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(CallError::ResponseLost))
    }

    fn unreachable(&self) -> Error {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        Error::Unreachable { addresses: addresses.join(", ") }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::InvalidJson { reason: error.to_string() })
}
