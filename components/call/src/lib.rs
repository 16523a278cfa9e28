//! JSON calls over HTTP whose errors say whether the call may have had an effect, and helpers for proxies.

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

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No byte was sent.
    #[display("not sent")]
    NotSent,
    /// The service answered with this error status. By contract with the services, the call had no effect, whatever
    /// the status.
    #[display("refused with status {_0}")]
    Status(#[error(not(source))] u16),
    /// No complete response arrived; the call may have had an effect.
    #[display("the answer was lost")]
    Lost,
    /// The response could not be parsed; the call may have had an effect.
    #[display("the answer could not be read")]
    Malformed,
}

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An HTTP client for JSON calls, with a connection pool.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(legacy::Client::builder(TokioExecutor::new()).build(connector))
    }
}

/// Timeouts after which a connection to an unresponsive peer is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Limit on the time to connect.
    pub connect: Duration,
    /// Limit on the time for which sent data or keepalive probes may stay unacknowledged (`TCP_USER_TIMEOUT`). It decides
    /// when probes give up, whatever their number.
    pub unacknowledged: Duration,
    /// Idle time before the first TCP keepalive probe, and the time between probes. Rounded up to whole seconds.
    pub keepalive_interval: Duration,
}

impl Client {
    /// Creates a client that closes connections to an unresponsive peer after the given timeouts.
    #[must_use]
    pub fn with_timeouts(timeouts: Timeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect));
        // the kernel takes whole seconds and rejects zero, to which the library would round a shorter interval
        let interval = timeouts.keepalive_interval.as_secs_f64().ceil();
        let keepalive_interval = Some(Duration::from_secs_f64(interval));
        connector.set_keepalive(keepalive_interval);
        connector.set_keepalive_interval(keepalive_interval);
        connector.set_tcp_user_timeout(Some(timeouts.unacknowledged));
        Self(legacy::Client::builder(TokioExecutor::new()).build(connector))
    }

    /// Sends a request and returns the response head, whatever its status.
    ///
    /// If a pooled connection was closed before the request was written, the HTTP library retries on another
    /// connection. It does so only while no byte was sent.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no connection could be made, [`Error::Lost`] otherwise.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.0.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent
            } else {
                Error::Lost
            }
        })
    }

    /// Posts a JSON body and parses the JSON response. The response head must arrive within `idle_timeout`, and so must
    /// each frame of the body, see [`read_body`].
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
