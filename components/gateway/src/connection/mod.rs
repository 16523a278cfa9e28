//! What lives as long as a caller's connection: its bounds, and its end in a planned stop.

mod close;
mod idle;

use std::{convert::Infallible, sync::Arc, time::Duration};

use ::caller::{Exchange, Socket};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    process::{Gateway, Phase},
    request,
};
use close::CloseLogger;

/// A failing accept, as when descriptors run out, is tried again after this.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The least buffer that the HTTP library takes.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Descriptors that are left to endpoints, peers and the store, as a part of all.
const DESCRIPTORS_PER_CONNECTION: usize = 3;

/// Accepts callers as long as the process lives.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let max_connections = gateway.settings.resources.descriptors / DESCRIPTORS_PER_CONNECTION;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a connection was not accepted");
                clock::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= max_connections {
            // closed unread: the caller may try another process
            log::warn!(open = connections.len(); "a connection over the bound was closed");
            continue;
        }
        connections.spawn(serve(Arc::clone(&gateway), stream));
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a caller's socket is gone already");
    }
    let limits = gateway.limits();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // its bound stays as it was when the connection was accepted, see `idle`
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES));
    // from its first request on, a planned stop waits for the connection's end
    let used = watch::Sender::new(None);
    let exchange = Arc::new(Exchange::new());
    let service = service_fn(|request| {
        used.send_if_modified(|used| {
            let first = used.is_none();
            used.get_or_insert_with(|| CountGuard::new(&gateway.connections));
            first
        });
        let (gateway, exchange) = (Arc::clone(&gateway), Arc::clone(&exchange));
        async move { Ok::<_, Infallible>(request::answer(gateway, exchange, request).await) }
    });
    let caller = TokioIo::new(Socket::new(stream, Arc::clone(&exchange)));
    let connection = builder.serve_connection(caller, service);
    tokio::pin!(connection);
    let mut close_logger = CloseLogger::new(&gateway, &exchange);
    let result = tokio::select! {
        // first, so that what has come by now is known when its time is over
        biased;
        result = &mut connection => result,
        () = wait_for_drain(&gateway, &used) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        // what is still being written goes first; a connection without a request has nothing to write
        () = idle::wait_for_timeout(&gateway, &exchange) => if exchange.is_used() {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        } else {
            Ok(())
        },
    };
    close_logger.reason = result.into();
}

/// Waits until a connection should end as soon as nothing is under way on it: a planned stop has begun,
/// and its first request, which may still be on its way, has come.
async fn wait_for_drain(gateway: &Gateway, used: &watch::Sender<Option<CountGuard>>) {
    let mut phase = gateway.phase.subscribe();
    let mut used = used.subscribe();
    // both senders live longer than this
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    let _ = used.wait_for(Option::is_some).await;
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
