//! Calls to daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Deadline of a call.
const CALL: Duration = Duration::from_secs(20);
/// Time in which a connection has to come about.
const CONNECT: Duration = Duration::from_secs(2);

/// Daemons that may be asked.
pub struct Daemons {
    addresses: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call gave no answer.
enum Failure {
    NotSent,
    Lost,
}

impl Daemons {
    /// Asks these daemons, in order.
    pub fn new(addresses: Vec<SocketAddr>) -> Daemons {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        Daemons { addresses, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Reads a document from the first daemon that answers.
    ///
    /// # Errors
    /// None answers, or the answer can't be understood.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        for address in &self.addresses {
            if let Ok(body) = self.call(Method::GET, *address, path, Bytes::new()).await {
                return parse(&body);
            }
        }
        Err(self.unreachable())
    }

    /// Reads a document from one daemon; nothing if it doesn't answer.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let body = self.call(Method::GET, address, path, Bytes::new()).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a document to the first daemon that takes it; nothing if the answer was lost.
    ///
    /// # Errors
    /// None can be reached, or the answer can't be understood.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &str,
    ) -> Result<Option<T>, Error> {
        for address in &self.addresses {
            let body = Bytes::from(content.to_owned());
            match self.call(Method::POST, *address, path, body).await {
                Ok(body) => return parse(&body).map(Some),
                Err(Failure::Lost) => return Ok(None),
                Err(Failure::NotSent) => {}
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
    ) -> Result<Bytes, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|_| Failure::NotSent)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() { Failure::NotSent } else { Failure::Lost }
            })?;
            let body = response.into_body().collect().await.map_err(|_| Failure::Lost)?;
            Ok(body.to_bytes())
        };
        tokio::time::timeout(CALL, exchange).await.unwrap_or(Err(Failure::Lost))
    }

    fn unreachable(&self) -> Error {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        Error::Unreachable { addresses: addresses.join(", ") }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed { reason: error.to_string() })
}
