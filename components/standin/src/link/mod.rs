//! A TCP proxy that forwards bytes and fails on demand, in place of the network between two
//! processes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::Instant,
};

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Forwards without delay.
    #[default]
    Open,
    /// Resets open connections, and closes new ones at once.
    Cut,
    /// Holds back all bytes and orderly ends on open connections until the link is restored, and leaves new
    /// connections unanswered. A reset is sent only once, so it is lost.
    Unreachable,
    /// Resets open connections, and refuses new ones.
    Refuses,
    /// Forwards on open connections, and refuses new ones.
    RefusesNew,
    /// Resets each open connection when the next bytes are sent on it, and refuses new ones.
    ResetsOnUse,
    /// Forwards after this delay.
    Slow(Duration),
    /// Accepts connections and bytes and forwards nothing. The bytes held back are forwarded when
    /// the link is restored.
    Silent,
    /// Forwards requests and holds back responses until the link is restored.
    NoResponses,
}

/// The conditions that apply to the connections of a link.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    state: State,
    /// Bytes per second that each direction of each connection forwards; `None` for no limit.
    rate: Option<u32>,
    /// Number of calls of [`Link::stall_connections`]. A connection opened before the latest call
    /// forwards nothing.
    stall_count: u64,
}

/// A running link. Dropping it closes its port.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
    response_bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Forwards from a loopback port of its own to a target.
    ///
    /// # Errors
    ///
    /// The system's error when no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let (address, listener) = claim_port().await?;
        let condition = Arc::new(watch::Sender::<Condition>::default());
        let response_bytes = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            address,
            target,
            condition: condition.subscribe(),
            response_bytes: Arc::clone(&response_bytes),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            condition,
            response_bytes,
            task,
        })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of responses forwarded so far, on all connections.
    #[must_use]
    pub fn response_bytes(&self) -> u64 {
        self.response_bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link, or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.set(if cut { State::Cut } else { State::Open });
    }

    /// Sets the state.
    pub fn set(&self, state: State) {
        self.condition
            .send_modify(|condition| condition.state = state);
    }

    /// Limits each direction of each connection to this many bytes per second from now on, in every
    /// state.
    pub fn limit_rate(&self, bytes_per_second: u32) {
        self.condition
            .send_modify(|condition| condition.rate = Some(bytes_per_second));
    }

    /// Stalls all open connections for good, without a reset; new connections work.
    pub fn stall_connections(&self) {
        self.condition
            .send_modify(|condition| condition.stall_count += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts the connections of a link.
struct Acceptor {
    address: SocketAddr,
    target: SocketAddr,
    condition: watch::Receiver<Condition>,
    response_bytes: Arc<AtomicU64>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let mode = Acceptance::of(self.condition.borrow_and_update().state);
            match mode {
                Acceptance::Accepts => {
                    let listener = match listener.take() {
                        Some(listener) => listener,
                        None => listen(self.address, ACCEPT_BACKLOG).await,
                    };
                    let mut condition = self.condition.clone();
                    tokio::select! {
                        () = self.accept_all(&listener) => {}
                        () = wait_for_change(&mut condition, mode) => {}
                    }
                }
                Acceptance::Refuses => {
                    listener = None;
                    let _reserved = reserve(self.address).await;
                    wait_for_change(&mut self.condition, mode).await;
                }
                Acceptance::Ignores => {
                    listener = None;
                    let _full = FullListener::start(self.address).await;
                    wait_for_change(&mut self.condition, mode).await;
                }
            }
        }
    }

    async fn accept_all(&self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let (condition, counter) = (self.condition.clone(), Arc::clone(&self.response_bytes));
            let target = self.target;
            tokio::spawn(async move { forward(stream, target, condition, counter).await });
        }
    }
}

/// Waits until a link no longer treats new connections in this way.
async fn wait_for_change(condition: &mut watch::Receiver<Condition>, mode: Acceptance) {
    // an error means that the link was dropped, and the task that waits here with it
    let _ = condition
        .wait_for(|condition| Acceptance::of(condition.state) != mode)
        .await;
}

/// What a link does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    Accepts,
    Refuses,
    /// Leaves them unanswered, as an unreachable host does.
    Ignores,
}

impl Acceptance {
    fn of(state: State) -> Self {
        match state {
            State::Refuses | State::RefusesNew | State::ResetsOnUse => Self::Refuses,
            State::Unreachable => Self::Ignores,
            State::Open | State::Cut | State::Slow(_) | State::Silent | State::NoResponses => {
                Self::Accepts
            }
        }
    }
}

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Time after which a connection over loopback counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(50);

/// The ports of links. A link that refuses connections does not listen for a moment when it changes its state, so its
/// port must not be one that the kernel gives to outgoing connections or to sockets that bind any port.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The number of links that this process has started.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Listens on a port that no other link uses.
async fn claim_port() -> std::io::Result<(SocketAddr, TcpListener)> {
    let count = u32::from(PORTS.end - PORTS.start);
    let mut last_error = None;
    for _ in 0..count {
        // different processes begin at different ports
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(257).wrapping_add(number) % count;
        let port = PORTS.start + u16::try_from(offset).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok((address, listener)),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

/// Time for which a child process that is being started may keep a copy of a closed socket.
const MAX_COPY_TIME: Duration = Duration::from_secs(5);
/// Delay before a port is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Binds the port of a link again. Open connections of the link still use it.
async fn bind(address: SocketAddr) -> TcpSocket {
    let until = Instant::now() + MAX_COPY_TIME;
    loop {
        let socket = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            Ok(socket)
        });
        match socket {
            Err(_) if Instant::now() < until => tokio::time::sleep(BIND_RETRY_DELAY).await,
            result => return result.expect("only links use these ports"),
        }
    }
}

/// Listens again on the port of a link.
async fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    let listener = bind(address).await.listen(backlog);
    listener.expect("only links use these ports")
}

/// Keeps the port of a link without listening on it: the kernel refuses connections, and no other socket
/// of this machine gets the port meanwhile.
async fn reserve(address: SocketAddr) -> TcpSocket {
    let socket = bind(address).await;
    // sockets that bind any port would share it otherwise
    let exclusive = socket.set_reuseaddr(false);
    exclusive.expect("an open socket accepts this option");
    socket
}

/// A listener with a full backlog: the kernel leaves further connections unanswered.
struct FullListener {
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl FullListener {
    async fn start(address: SocketAddr) -> Self {
        let listener = listen(address, 0).await;
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(UNANSWERED_AFTER, TcpStream::connect(address)).await
        {
            waiting.push(stream);
        }
        Self {
            _listener: listener,
            _waiting: waiting,
        }
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    mut condition: watch::Receiver<Condition>,
    response_bytes: Arc<AtomicU64>,
) {
    let initial = *condition.borrow();
    if resets(initial.state) {
        return;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    // fails only if the connections are closed already
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let ended = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let direction = |from, to, is_response| Direction {
            from,
            to,
            condition: condition.clone(),
            initial_stalls: initial.stall_count,
            is_response,
            response_bytes: Arc::clone(&response_bytes),
        };
        let requests = direction(client_read, server_write, false).run();
        let responses = direction(server_read, client_write, true).run();
        tokio::select! {
            ended = async { tokio::try_join!(requests, responses) } => ended.map(|_| ()),
            _ = condition.wait_for(|condition| resets(condition.state)) => {
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
        }
    };
    if ended.is_err() {
        reset(&client);
        reset(&server);
    }
}

/// Whether a link in this state resets its connections.
fn resets(state: State) -> bool {
    matches!(state, State::Cut | State::Refuses)
}

/// Makes the connection be reset when it is closed.
fn reset(stream: &TcpStream) {
    // fails only if the connection is closed already
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Time that the transfer of a number of bytes takes at a rate in bytes per second.
fn transfer_time(bytes: usize, rate: u32) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / rate.max(1)
}

/// One direction of a connection.
struct Direction<'a> {
    from: ReadHalf<'a>,
    to: WriteHalf<'a>,
    condition: watch::Receiver<Condition>,
    /// The stall count when this connection was opened.
    initial_stalls: u64,
    /// Whether this direction carries responses.
    is_response: bool,
    /// Bytes of responses forwarded by the link so far.
    response_bytes: Arc<AtomicU64>,
}

impl Direction<'_> {
    /// Forwards bytes until the sending side closes.
    async fn run(mut self) -> std::io::Result<()> {
        let mut buffer = vec![0; 16 << 10];
        while let length @ 1.. = self.read(&mut buffer).await? {
            self.wait_until_forwarding().await;
            let condition = *self.condition.borrow();
            if condition.state == State::ResetsOnUse {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            if let State::Slow(delay) = condition.state {
                tokio::time::sleep(delay).await;
            }
            if let Some(rate) = condition.rate {
                tokio::time::sleep(transfer_time(length, rate)).await;
            }
            self.to.write_all(&buffer[..length]).await?;
            if self.is_response {
                let length = u64::try_from(length).unwrap_or(u64::MAX);
                self.response_bytes.fetch_add(length, Ordering::Relaxed);
            }
        }
        self.wait_until_forwarding().await;
        // the other side may be closed already
        let _ = self.to.shutdown().await;
        Ok(())
    }

    /// Reads what the sending side has sent. A lost reset is not detected by the receiving side until its own
    /// bytes are refused.
    async fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        match self.from.read(buffer).await {
            Err(_) if self.condition.borrow().state == State::Unreachable => {
                std::future::pending().await
            }
            result => result,
        }
    }

    /// Waits until the link forwards bytes in this direction.
    async fn wait_until_forwarding(&mut self) {
        let (initial_stalls, is_response) = (self.initial_stalls, self.is_response);
        let is_held = |condition: &Condition| match condition.state {
            _ if condition.stall_count > initial_stalls => true,
            State::Silent | State::Unreachable => true,
            State::NoResponses => is_response,
            State::Open
            | State::Cut
            | State::Slow(_)
            | State::Refuses
            | State::RefusesNew
            | State::ResetsOnUse => false,
        };
        // an error means that the link was dropped, and its connections end with it
        let _ = self
            .condition
            .wait_for(|condition| !is_held(condition))
            .await;
    }
}
