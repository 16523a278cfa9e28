//! A connection to an endpoint. It serves one request at a time and is closed when it is dropped.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use clock::Instant;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

/// The longest that a new connection may take. Data centres are a few milliseconds apart; a first
/// packet that is lost is sent again after a second, by when another endpoint has served.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Data that stays unacknowledged this long breaks a connection: its peer is dark or cut off. Well
/// above a few retransmissions on a link that loses packets.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// After this silence the system asks the peer for a sign of life, and so often again.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// An idle connection is dropped this long before its endpoint would close it, so that no request
/// meets the close half way.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// How long an idle connection is kept if the endpoint doesn't say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why no connection was made. Nothing was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// The endpoint did not answer in time.
    #[display("the endpoint did not answer a new connection")]
    Silent,
    /// Nothing listens there, or the connection was reset.
    #[display("the endpoint refused a new connection")]
    Refused,
    /// This process holds as many connections to the endpoint as it may.
    #[display("all connections to the endpoint are in use")]
    Full,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    open_count: Arc<AtomicUsize>,
}

impl Connection {
    /// The side that sends requests.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // closes the socket at once, so that the endpoint stops work that nobody waits for
        self.task.abort();
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Makes a connection; `open` counts it as long as it lives.
pub(super) async fn open(
    address: SocketAddr,
    open_count: &Arc<AtomicUsize>,
) -> Result<Connection, ConnectError> {
    let connecting = TcpStream::connect(address);
    let stream = match clock::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::Silent),
    };
    set_socket_options(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| ConnectError::Refused)?;
    let task = tokio::spawn(async move {
        // its request hears of a failure on its own
        let _ = connection.await;
    });
    open_count.fetch_add(1, Ordering::Relaxed);
    Ok(Connection {
        sender,
        task,
        open_count: Arc::clone(open_count),
    })
}

fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let options = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "a socket option was not set; a silent peer is noticed later");
    }
}

/// A connection that waits for its next request.
#[derive(Debug)]
pub(super) struct Idle {
    pub(super) connection: Connection,
    idle_since: Instant,
    expires: Instant,
}

impl Idle {
    pub(super) fn new(
        connection: Connection,
        now: Instant,
        idle_timeout: Option<Duration>,
    ) -> Self {
        let ttl = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(CLOSE_MARGIN)
        });
        Self {
            connection,
            idle_since: now,
            expires: now + ttl,
        }
    }

    /// Whether the endpoint still keeps it open, as far as is known.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.expires > now && !self.connection.sender.is_closed()
    }

    /// Whether it may take a request that wants one used within `fresh`.
    pub(super) fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        self.is_open(now)
            && now.duration_since(self.idle_since) <= max_idle
            && self.connection.sender.is_ready()
    }
}
