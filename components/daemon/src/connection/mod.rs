//! What lives as long as a caller's connection: its bounds and its end in a planned stop.

use std::{convert::Infallible, sync::Arc, time::Duration};

use ::caller::{Exchange, Socket};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    process::{Phase, Process},
    request,
};

/// What a connection over the bound is told; it is not worth a parser.
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-wrenramp-run: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const BUSY_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// A failing accept, as when descriptors run out, is tried again after this.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers as long as the process lives.
pub async fn accept(process: Arc<Process>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let open = i64::try_from(connections.len()).unwrap_or(i64::MAX);
        process.metrics.connections.set(open);
        if connections.len() >= process.settings.limits.connections {
            connections.spawn(reject(stream));
        } else {
            let count_guard = CountGuard::new(&process.connections);
            connections.spawn(serve(Arc::clone(&process), stream, count_guard));
        }
    }
}

async fn reject(mut stream: TcpStream) {
    // a caller that does not read its answer loses it
    let _ = tokio::time::timeout(BUSY_WRITE_TIMEOUT, stream.write_all(BUSY_RESPONSE)).await;
}

async fn serve(process: Arc<Process>, stream: TcpStream, count_guard: CountGuard) {
    // a socket that is gone already needs no option
    let _ = stream.set_nodelay(true);
    let limits = &process.settings.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Some(limits.header_time.into()))
        .max_buf_size(limits.header_bytes);
    let exchange = Arc::new(Exchange::new());
    let service = service_fn(|request| {
        let (process, exchange) = (Arc::clone(&process), Arc::clone(&exchange));
        async move { Ok::<_, Infallible>(request::handle(process, exchange, request).await) }
    });
    let socket = TokioIo::new(Socket::new(stream, Arc::clone(&exchange)));
    let connection = builder.serve_connection(socket, service);
    tokio::pin!(connection);
    let mut phase = process.phase.subscribe();
    tokio::select! {
        // a broken connection is the caller's business
        _ = &mut connection => {}
        () = wait_for_drain(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(count_guard);
}

async fn wait_for_drain(phase: &mut watch::Receiver<Phase>) {
    // the sender lives as long as the process
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
}

/// Counts one more as long as it lives.
#[derive(Debug)]
pub struct CountGuard(watch::Sender<usize>);

impl CountGuard {
    /// Counts one more.
    pub fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
