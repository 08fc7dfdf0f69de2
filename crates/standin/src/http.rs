//! A caller's or operator's HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::environment::PATIENCE;

/// An answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it isn't.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A caller or operator.
#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Http { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Http {
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// No whole answer came; the text tells why.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, String> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).map_err(|error| error.to_string())?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| e.to_string())?;
            let (status, headers) = (response.status(), response.headers().clone());
            let body = response.into_body().collect().await.map_err(|e| e.to_string())?;
            Ok(Answer { status, headers, body: body.to_bytes() })
        };
        tokio::time::timeout(PATIENCE, exchange).await.map_err(|_| "no answer".to_owned())?
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// No answer came.
    pub async fn get_json(&self, address: SocketAddr, path: &str) -> Result<Value, String> {
        Ok(self.send(Method::GET, address, path, &[], "").await?.json())
    }

    /// Puts a JSON document.
    ///
    /// # Errors
    /// No answer came.
    pub async fn put_json(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<Answer, String> {
        let headers = [("content-type", "application/json")];
        self.send(Method::PUT, address, path, &headers, value.to_string()).await
    }
}
