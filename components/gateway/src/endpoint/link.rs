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
const CONNECT: Duration = Duration::from_millis(300);
/// Data that stays unacknowledged this long breaks a connection: its peer is dark or cut off. Well
/// above a few retransmissions on a link that loses packets.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// After this silence the system asks the peer for a sign of life, and so often again.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const PROBES: u32 = 3;
/// An idle connection is dropped this long before its endpoint would close it, so that no request
/// meets the close half way.
const BEFORE_CLOSE: Duration = Duration::from_millis(700);
/// How long an idle connection is kept if the endpoint doesn't say how long it keeps it.
const IDLE: Duration = Duration::from_secs(4);

/// Why no connection was made. Nothing was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotOpened {
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
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    open: Arc<AtomicUsize>,
}

impl Link {
    /// The side that sends requests.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // closes the socket at once, so that the endpoint stops work that nobody waits for
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Makes a connection; `open` counts it as long as it lives.
pub(super) async fn open(address: SocketAddr, open: &Arc<AtomicUsize>) -> Result<Link, NotOpened> {
    let connecting = TcpStream::connect(address);
    let stream = match clock::timeout(CONNECT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(NotOpened::Refused),
        Err(_) => return Err(NotOpened::Silent),
    };
    bound_silence(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| NotOpened::Refused)?;
    let task = tokio::spawn(async move {
        // its request hears of a failure on its own
        let _ = connection.await;
    });
    open.fetch_add(1, Ordering::Relaxed);
    Ok(Link {
        sender,
        task,
        open: Arc::clone(open),
    })
}

fn bound_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    let options = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "a socket option was not set; a silent peer is noticed later");
    }
}

/// A connection that waits for its next request.
#[derive(Debug)]
pub(super) struct Idle {
    pub(super) link: Link,
    since: Instant,
    until: Instant,
}

impl Idle {
    pub(super) fn new(link: Link, now: Instant, keeps: Option<Duration>) -> Self {
        let keep = keeps.map_or(IDLE, |keeps| keeps.saturating_sub(BEFORE_CLOSE));
        Self {
            link,
            since: now,
            until: now + keep,
        }
    }

    /// Whether the endpoint still keeps it open, as far as is known.
    pub(super) fn alive(&self, now: Instant) -> bool {
        self.until > now && !self.link.sender.is_closed()
    }

    /// Whether it may take a request that wants one used within `fresh`.
    pub(super) fn usable(&self, now: Instant, fresh: Duration) -> bool {
        self.alive(now) && now.duration_since(self.since) <= fresh && self.link.sender.is_ready()
    }
}
