//! Callers' connections: their limits, and how they are closed in a graceful shutdown.

mod close;
mod idle;
mod overload;

use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

use ::caller::{Exchange, HalfClose, Socket};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    endpoint::set_keepalive,
    forwarding::MAX_ENVELOPE_BYTES,
    process::{Gateway, Phase},
    request::{self, Origin},
};
use close::{CloseLogger, CloseReason};

pub use overload::{Overload, watch as watch_overload};

/// Delay before the next accept after one failed, as when the process has run out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The smallest read buffer that the HTTP library accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Descriptors budgeted for each caller's connection. Callers thus get a third of all descriptors;
/// the rest is left to endpoints, peers and the store.
const DESCRIPTORS_PER_CONNECTION: usize = 3;

/// Descriptors budgeted for each connection of a peer, on which it forwards requests.
const DESCRIPTORS_PER_PEER_CONNECTION: usize = 8;

/// Accepts callers' connections as long as the process runs.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener) {
    let max_connections = gateway.settings.resources.descriptors / DESCRIPTORS_PER_CONNECTION;
    accept_up_to(max_connections, gateway, listener, |_| Some(Origin::Caller)).await;
}

/// Accepts the connections on which peers forward requests, and none of others, as long as the process
/// runs.
pub async fn accept_peers(gateway: Arc<Gateway>, listener: TcpListener) {
    let max_connections = gateway.settings.resources.descriptors / DESCRIPTORS_PER_PEER_CONNECTION;
    let known = Arc::clone(&gateway);
    accept_up_to(max_connections, gateway, listener, |ip| {
        known.peers.has_ip(ip).then_some(Origin::Peer(ip))
    })
    .await;
}

async fn accept_up_to(
    max_connections: usize,
    gateway: Arc<Gateway>,
    listener: TcpListener,
    origin: impl Fn(IpAddr) -> Option<Origin>,
) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, from) = match listener.accept().await {
            Ok((stream, from)) => (stream, from.ip()),
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                clock::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= max_connections {
            // closed without reading from it, so that the caller can safely retry on another
            // process
            log::warn!(open = connections.len(); "connection limit reached; a new connection was closed");
            continue;
        }
        match origin(from) {
            Some(Origin::Caller) if !gateway.overload.accepts() => {
                // closed without reading from it, so that the caller can safely retry on another
                // process
                gateway.metrics.shed_connections.inc();
            }
            Some(origin) => {
                connections.spawn(serve(Arc::clone(&gateway), stream, origin));
            }
            None => log::warn!(from:%; "a connection that comes from no peer was closed"),
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, origin: Origin) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a caller's socket was already closed");
    }
    let limits = gateway.limits();
    let max_header_bytes = match origin {
        Origin::Caller => limits.max_header_bytes,
        Origin::Peer(_) => {
            set_keepalive(&stream);
            limits.max_header_bytes + MAX_ENVELOPE_BYTES
        }
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // the header timeout is enforced by `idle` instead: this one would stay as it was when the
        // connection was accepted
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(MIN_READ_BUFFER_BYTES));
    // set by the first request; from then on a graceful shutdown waits for this connection to close
    let used = watch::Sender::new(None);
    let half_close = match origin {
        Origin::Caller => HalfClose::Possible,
        Origin::Peer(_) => HalfClose::Never,
    };
    let exchange = Arc::new(Exchange::new(half_close));
    let service = service_fn(|request| {
        used.send_if_modified(|used| {
            let first = used.is_none();
            used.get_or_insert_with(|| CountGuard::new(&gateway.connections));
            first
        });
        let (gateway, exchange) = (Arc::clone(&gateway), Arc::clone(&exchange));
        async move { Ok::<_, Infallible>(request::handle(gateway, exchange, origin, request).await) }
    });
    let caller = TokioIo::new(Socket::new(stream, Arc::clone(&exchange)));
    let connection = builder.serve_connection(caller, service);
    tokio::pin!(connection);
    let mut close_logger = CloseLogger::new(&gateway, &exchange, origin);
    let result = tokio::select! {
        // polled first, so that data which has already arrived is seen before a timeout closes the
        // connection
        biased;
        result = &mut connection => result,
        () = exchange.disconnected_unread() => {
            close_logger.reason = CloseReason::Caller;
            return;
        }
        () = wait_for_drain(&gateway, &used) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        // a response that is still being written is finished first; a connection without a request
        // has nothing to write
        () = idle::wait_for_timeout(&gateway, &exchange) => if exchange.is_used() {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        } else {
            Ok(())
        },
    };
    close_logger.reason = result.into();
}

/// Waits until the connection should close as soon as it is idle: a graceful shutdown has begun,
/// and the first request, which may still have been on its way, has arrived.
async fn wait_for_drain(gateway: &Gateway, used: &watch::Sender<Option<CountGuard>>) {
    let mut phase = gateway.phase.subscribe();
    let mut used = used.subscribe();
    // both senders outlive this future
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    let _ = used.wait_for(Option::is_some).await;
}

/// Increments a counter for as long as it lives.
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
