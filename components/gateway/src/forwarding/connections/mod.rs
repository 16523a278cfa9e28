//! Connections to peers, and which peers are not asked at present.

#[cfg(test)]
mod tests;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use parking_lot::Mutex;

use crate::endpoint::{ConnectError, Connection, IdleConnection, open_from};

/// How long a peer is not asked after it could not be reached or could not help.
const PAUSE: Duration = Duration::from_millis(250);
/// How long an idle connection is kept, shorter than the peer keeps it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests that a peer is not asked to serve at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paused {
    /// All requests.
    All,
    /// Those to the service with this short id.
    Service(u32),
}

/// This process's connections to one peer.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// Number of open connections, idle or in use.
    open: Arc<AtomicUsize>,
    /// Longest idle first.
    idle: Vec<IdleConnection>,
    /// What it is not asked to serve, and until when.
    paused: Vec<(Paused, Instant)>,
}

/// This process's connections to its peers.
#[derive(Debug)]
pub struct Connections {
    /// The address by which peers know this process; they accept no connections from others.
    own: IpAddr,
    /// Sorted by address.
    links: Mutex<Vec<Link>>,
}

impl Connections {
    /// Creates the connections, none as yet, of the process that peers know by this address.
    pub fn new(own: IpAddr) -> Self {
        Self {
            own,
            links: Mutex::default(),
        }
    }

    /// Takes an idle connection to a peer that has been idle for at most `max_idle`, or opens one.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]: nothing was sent.
    pub async fn connect(
        &self,
        peer: SocketAddr,
        max_idle: Duration,
    ) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let (idle, open) = self.with(peer, |link| {
            link.idle.retain(|idle| idle.is_open(now));
            let usable = |idle: &IdleConnection| idle.is_usable(now, max_idle);
            let index = link.idle.iter().position(usable);
            (
                index.map(|index| link.idle.remove(index)),
                Arc::clone(&link.open),
            )
        });
        match idle {
            Some(idle) => Ok(idle.connection),
            None => open_from(self.own, peer, &open).await,
        }
    }

    /// Keeps a connection that can carry another request.
    pub fn put_back(&self, peer: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let idle = IdleConnection::new(connection, now, now + IDLE_TIMEOUT);
        self.with(peer, |link| link.idle.push(idle));
    }

    /// Stops asking a peer to serve such requests for a short time.
    pub fn pause(&self, peer: SocketAddr, paused: Paused) {
        let now = Instant::now();
        self.with(peer, |link| {
            link.paused
                .retain(|(other, until)| *until > now && *other != paused);
            link.paused.push((paused, now + PAUSE));
        });
    }

    /// Returns the number of requests in flight to a peer; `None` while it is not asked to serve requests
    /// to this service.
    pub fn load(&self, peer: SocketAddr, service: u32) -> Option<usize> {
        let now = Instant::now();
        let links = self.links.lock();
        let Ok(index) = links.binary_search_by_key(&peer, |link| link.address) else {
            return Some(0);
        };
        let link = &links[index];
        let is_paused = link.paused.iter().any(|(paused, until)| {
            let affects = matches!(paused, Paused::All) || *paused == Paused::Service(service);
            affects && *until > now
        });
        let open = link.open.load(Ordering::Relaxed);
        (!is_paused).then(|| open.saturating_sub(link.idle.len()))
    }

    /// Closes idle connections when their time is over, as long as there are any; then waits forever.
    pub async fn close_idle(&self) {
        while !self.links.lock().is_empty() {
            clock::sleep(IDLE_TIMEOUT).await;
            let now = Instant::now();
            let mut links = self.links.lock();
            for link in links.iter_mut() {
                link.idle.retain(|idle| idle.is_open(now));
            }
            links.retain(|link| link.open.load(Ordering::Relaxed) > 0);
        }
        std::future::pending::<()>().await;
    }

    fn with<T>(&self, peer: SocketAddr, f: impl FnOnce(&mut Link) -> T) -> T {
        let mut links = self.links.lock();
        let index = match links.binary_search_by_key(&peer, |link| link.address) {
            Ok(index) => index,
            Err(index) => {
                let link = Link {
                    address: peer,
                    open: Arc::default(),
                    idle: Vec::new(),
                    paused: Vec::new(),
                };
                links.insert(index, link);
                index
            }
        };
        f(&mut links[index])
    }
}
