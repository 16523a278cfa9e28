//! Connections of callers: limits on them, and how they end in a graceful shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use ::caller::{Exchange, HalfClose, Socket};
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

/// Response on connections beyond the limit. It is sent without reading the request, which saves
/// the cost of a parser.
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-wrenramp-run: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Time limit for writing that response.
const BUSY_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next accept after one failed, as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of callers as long as the process runs.
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
    // a caller that doesn't read the response in time loses it
    let _ = tokio::time::timeout(BUSY_WRITE_TIMEOUT, stream.write_all(BUSY_RESPONSE)).await;
}

async fn serve(process: Arc<Process>, stream: TcpStream, count_guard: CountGuard) {
    // fails only on a socket that is closed already
    let _ = stream.set_nodelay(true);
    let limits = &process.settings.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Some(limits.header_time.into()))
        .max_buf_size(limits.header_bytes);
    let exchange = Arc::new(Exchange::new(HalfClose::Possible));
    let service = service_fn(|request| {
        let (process, exchange) = (Arc::clone(&process), Arc::clone(&exchange));
        async move { Ok::<_, Infallible>(request::handle(process, exchange, request).await) }
    });
    let socket = TokioIo::new(Socket::new(stream, Arc::clone(&exchange)));
    let connection = builder.serve_connection(socket, service);
    tokio::pin!(connection);
    let mut phase = process.phase.subscribe();
    tokio::select! {
        // the connection shows whether it is read, so it is polled first
        biased;
        // errors of the connection are ignored: only the caller is affected
        _ = &mut connection => {}
        () = exchange.disconnected_unread() => {}
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

/// Increments a counter and decrements it on drop.
#[derive(Debug)]
pub struct CountGuard(watch::Sender<usize>);

impl CountGuard {
    /// Increments the counter.
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
