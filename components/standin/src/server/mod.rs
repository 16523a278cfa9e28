//! A small HTTP server that can be stopped abruptly, as by a kill of its process.

mod late;

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, channel::mpsc};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Frame, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use socket2::Socket;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

pub use late::Late;

/// The body of a response, complete or streamed. An error resets the connection.
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
                connections.spawn(serve(stream, handler));
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

/// Serves a connection. If a handler or a body fails, the connection is reset.
async fn serve<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, std::io::Error>>,
{
    let Ok(stream) = stream.into_std() else {
        return;
    };
    let socket = stream.try_clone().map(Socket::from);
    let Ok(stream) = TcpStream::from_std(stream) else {
        return;
    };
    let late = Late::default();
    let stream = late::Socket::new(stream, late.clone());
    let service = service_fn(|mut request: Request<Incoming>| {
        late.begin_request();
        request.extensions_mut().insert(late.clone());
        handler(request)
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let result = connection.await;
    if let (Err(_), Ok(socket)) = (result, socket) {
        // fails only if the connection is closed already
        let _ = socket.set_linger(Some(Duration::ZERO));
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

/// The same response without a length or chunks, so that only the end of its connection marks its end.
#[must_use]
pub fn delimited_by_close(response: Response<Body>) -> Response<Body> {
    let mut response = chunked(response);
    *response.version_mut() = Version::HTTP_10;
    response
}

/// The same response in chunks, without a length.
#[must_use]
pub fn chunked(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
        .map(|body| BodyExt::boxed(StreamBody::new(body.into_data_stream().map_ok(Frame::data))))
}
