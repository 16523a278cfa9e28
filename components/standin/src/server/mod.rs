//! A small HTTP server on a loopback port that can be stopped dead.

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

/// A body of an answer: whole or streamed. An error breaks the transfer.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A running server; dropping it closes its port and cuts its connections, as a kill would.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves on an address (port 0 takes any) with one handler.
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
            // the set cuts its connections when the task is aborted
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                // a socket that is gone already needs no option
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                connections.spawn(async move {
                    let service = service_fn(move |request| handler(request));
                    // a broken connection is the peer's business
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { address, task })
    }

    /// Where it listens.
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

/// Reads a JSON body.
///
/// # Errors
///
/// When the body breaks off or is not what was expected.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> std::io::Result<T> {
    let bytes = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(std::io::Error::other)
}

/// A whole JSON answer.
///
/// # Errors
///
/// When the value can't be written as JSON.
pub fn json_response<T: Serialize>(value: &T) -> std::io::Result<Response<Body>> {
    let bytes = serde_json::to_vec(value).map_err(std::io::Error::other)?;
    Ok(full_response(StatusCode::OK, bytes.into()))
}

/// A whole answer.
#[must_use]
pub fn full_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An answer whose body comes in parts; an error breaks it.
#[must_use]
pub fn streaming_response(
    chunks: mpsc::UnboundedReceiver<std::io::Result<Bytes>>,
) -> Response<Body> {
    let body = StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data)));
    Response::new(BodyExt::boxed(body))
}
