//! One JSON call over HTTP, with what is known of its effect when it fails; and what forwarders share.

mod body;
pub mod headers;

use std::{net::SocketAddr, time::Duration};

pub use body::{BodyError, read_body};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No byte left this process.
    #[display("not sent")]
    NotSent,
    /// The service refused with this status; it had no effect.
    #[display("refused with status {_0}")]
    Status(#[error(not(source))] u16),
    /// No whole answer came; there may have been an effect.
    #[display("the answer was lost")]
    Lost,
    /// The answer could not be read; there may have been an effect.
    #[display("the answer could not be read")]
    Malformed,
}

/// The largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client for JSON calls, with its pool of connections.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(legacy::Client::builder(TokioExecutor::new()).build(connector))
    }
}

/// How long a silent peer is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A new connection may take this long.
    pub connect: Duration,
    /// What was sent may stay unacknowledged this long.
    pub unacknowledged: Duration,
    /// After this idle_timeout the system asks an open connection's peer for a sign of life, and so often
    /// again.
    pub keepalive_interval: Duration,
}

/// Probes without an answer that break a connection.
const KEEPALIVE_RETRIES: u32 = 3;

impl Client {
    /// A client that notices a silent peer within timeouts.
    #[must_use]
    pub fn with_timeouts(timeouts: Timeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_keepalive(Some(timeouts.keepalive_interval));
        connector.set_keepalive_interval(Some(timeouts.keepalive_interval));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(timeouts.unacknowledged));
        Self(legacy::Client::builder(TokioExecutor::new()).build(connector))
    }

    /// Sends a request and gives the answer's head, whatever its status.
    ///
    /// A pooled connection that closed before the request was written is tried anew by the library,
    /// which does so only while no byte has left.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no connection was made, [`Error::Lost`] otherwise.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.0.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent
            } else {
                Error::Lost
            }
        })
    }

    /// Posts a JSON body and reads a JSON answer: its head within `idle_timeout`, and its body whole as long as it goes
    /// on coming, see [`read_body`].
    ///
    /// # Errors
    ///
    /// [`Error`] says whether the call may have had an effect.
    pub async fn post<B: Serialize + Sync, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        idle_timeout: Duration,
    ) -> Result<A, Error> {
        let body = serde_json::to_vec(body).map_err(|_| Error::NotSent)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Error::NotSent)?;
        let response = tokio::time::timeout(idle_timeout, self.send(request))
            .await
            .unwrap_or(Err(Error::Lost))?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::Status(status.as_u16()));
        }
        let bytes = read_body(response.into_body(), MAX_RESPONSE_BYTES, idle_timeout)
            .await
            .map_err(|_| Error::Lost)?;
        serde_json::from_slice(&bytes).map_err(|_| Error::Malformed)
    }
}
