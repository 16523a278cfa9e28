//! Connection to an endpoint. It serves one request at a time and is closed when dropped, or reset if a response is awaited
//! then.

use std::{
    io,
    net::{IpAddr, SocketAddr},
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
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use super::socket::{Awaited, Socket};

/// Timeout of connecting. Data centres are a few milliseconds apart. A lost SYN is only
/// retransmitted after a second, by when another endpoint has served the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent data or keep-alive probes may stay unacknowledged before the connection breaks
/// (`TCP_USER_TIMEOUT`), since the other host is down or unreachable. Well above the time of a few
/// retransmissions on a lossy link, and of a short interruption of the network.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keep-alive probe, and the interval between probes. The number of
/// unanswered probes is not limited: [`UNACKNOWLEDGED_TIMEOUT`] applies to them too.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which an idle connection is dropped before the endpoint's reported idle timeout, so that
/// no request is sent while it is being closed.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Time after which an idle connection is dropped if the endpoint does not report an idle timeout.
/// [`CLOSE_MARGIN`] is not subtracted from it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How many bytes of a response are kept that are not passed on yet, which limits its head. A gateway may have thousands of
/// connections, and each may get bytes that are no response.
const MAX_BUFFERED_BYTES: usize = 32 << 10;

/// Reason why no connection was opened. Nothing was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// The endpoint did not respond in time.
    #[display("the endpoint did not answer a new connection")]
    Silent,
    /// Nothing listens at the address, or the connection was reset.
    #[display("the endpoint refused a new connection")]
    Refused,
    /// The limit on this process's connections to the endpoint is reached.
    #[display("all connections to the endpoint are in use")]
    Full,
}

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Number of requests that it has carried.
    requests: u32,
    awaited: Awaited,
    task: JoinHandle<()>,
    open_count: Arc<AtomicUsize>,
}

impl Connection {
    /// Returns the sender for one request, which counts from now on.
    pub fn start_request(&mut self) -> &mut SendRequest<Full<Bytes>> {
        self.requests = self.requests.saturating_add(1);
        self.awaited.set(true);
        &mut self.sender
    }

    /// Records that the response to the last request is complete.
    pub(crate) fn end_request(&self) {
        self.awaited.set(false);
    }

    /// Returns the number of requests that it has carried, the current one included.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // closes the socket at once, so that the endpoint stops work on a cancelled request
        self.task.abort();
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens a connection. `open_count` counts it until it is dropped.
pub(super) async fn open(
    address: SocketAddr,
    open_count: &Arc<AtomicUsize>,
) -> Result<Connection, ConnectError> {
    establish(TcpStream::connect(address), open_count).await
}

/// Opens a connection from a given address of this machine. `open_count` counts it until it is dropped.
pub(crate) async fn open_from(
    own: IpAddr,
    address: SocketAddr,
    open_count: &Arc<AtomicUsize>,
) -> Result<Connection, ConnectError> {
    let connecting = async {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.bind(SocketAddr::new(own, 0))?;
        socket.connect(address).await
    };
    establish(connecting, open_count).await
}

async fn establish(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    open_count: &Arc<AtomicUsize>,
) -> Result<Connection, ConnectError> {
    let stream = match clock::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::Silent),
    };
    set_keepalive(&stream);
    let awaited = Awaited::default();
    let socket = Socket::new(stream, awaited.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFERED_BYTES)
        .handshake(TokioIo::new(socket))
        .await;
    let (sender, connection) = handshake.map_err(|_| ConnectError::Refused)?;
    let task = tokio::spawn(async move {
        // the request in flight gets the error from its sender
        let _ = connection.await;
    });
    open_count.fetch_add(1, Ordering::Relaxed);
    Ok(Connection {
        sender,
        requests: 0,
        awaited,
        task,
        open_count: Arc::clone(open_count),
    })
}

/// Sets how an unresponsive other side is detected.
pub(crate) fn set_keepalive(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let options = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "failed to set a socket option; an unresponsive host will be detected later");
    }
}

/// An idle connection.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) connection: Connection,
    since: Instant,
    expires: Instant,
}

impl IdleConnection {
    /// Keeps a connection that is idle from now on, and that its endpoint keeps open for this long.
    pub(super) fn to_endpoint(
        connection: Connection,
        now: Instant,
        idle_timeout: Option<Duration>,
    ) -> Self {
        let ttl = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(CLOSE_MARGIN)
        });
        Self::new(connection, now, now + ttl)
    }

    /// Keeps a connection that is idle from now on until `expires`.
    pub(crate) fn new(connection: Connection, now: Instant, expires: Instant) -> Self {
        connection.end_request();
        Self {
            connection,
            since: now,
            expires,
        }
    }

    /// Whether the other side still keeps it open, as far as is known.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.expires > now && !self.connection.sender.is_closed()
    }

    /// Whether it can serve a request that accepts connections idle for at most `max_idle`.
    pub(crate) fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        self.is_open(now)
            && now.duration_since(self.since) <= max_idle
            && self.connection.sender.is_ready()
    }
}
