//! A small HTTP server that can be stopped abruptly, as by a kill of its process.

use std::{future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::{StreamExt, channel::mpsc};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// The body of a response, complete or streamed. An error aborts the transfer.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A running server. Dropping it closes its port and its connections, as a kill would.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves on an address with one handler; port 0 binds any free port.
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        let task = tokio::spawn(async move {
            // dropping the set when the task is aborted closes the connections
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                // fails only if the connection is closed already
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                connections.spawn(async move {
                    let service = service_fn(move |request| handler(request));
                    // connection errors are ignored: the client handles them
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { address, task })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a JSON request body.
///
/// # Errors
///
/// When the body can't be read to its end or does not parse as `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> std::io::Result<T> {
    let bytes = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(std::io::Error::other)
}

/// A complete JSON response.
///
/// # Errors
///
/// When the value can't be serialized.
pub fn json_response<T: Serialize>(value: &T) -> std::io::Result<Response<Body>> {
    let bytes = serde_json::to_vec(value).map_err(std::io::Error::other)?;
    Ok(full_response(StatusCode::OK, bytes.into()))
}

/// A response with a complete body.
#[must_use]
pub fn full_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A response whose body is sent chunk by chunk; an error aborts it.
#[must_use]
pub fn streaming_response(
    chunks: mpsc::UnboundedReceiver<std::io::Result<Bytes>>,
) -> Response<Body> {
    let body = StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data)));
    Response::new(BodyExt::boxed(body))
}
