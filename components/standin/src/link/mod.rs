//! A link that forwards bytes and fails on demand, to stand for the network between two processes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// How a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It forwards at once.
    #[default]
    Open,
    /// It resets open connections and refuses new ones.
    Cut,
    /// It forwards everything so much later.
    Slow(Duration),
    /// It takes connections and bytes and forwards nothing. What is held up comes when it heals.
    Silent,
    /// It forwards requests, and holds answers up.
    NoAnswers,
}

/// What holds for the connections of a link.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    state: State,
    /// Bytes a second that each way of each connection carries; none if there is no bound.
    rate: Option<u32>,
    /// How often all open connections went silent for good: those that were made before the last time
    /// forward nothing any more.
    stall_count: u64,
}

/// A running link; dropping it closes its port.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
    response_bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Forwards from a fresh loopback port to a target.
    ///
    /// # Errors
    ///
    /// The system's error when no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let condition = Arc::new(watch::Sender::default());
        let condition_source = Arc::clone(&condition);
        let response_bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&response_bytes);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (condition, counter) = (condition_source.subscribe(), Arc::clone(&counter));
                tokio::spawn(async move { forward(stream, target, condition, counter).await });
            }
        });
        Ok(Self {
            address,
            condition,
            response_bytes,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of answers that it has carried so far, on all connections.
    #[must_use]
    pub fn response_bytes(&self) -> u64 {
        self.response_bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link, or heals it.
    pub fn cut(&self, cut: bool) {
        self.set(if cut { State::Cut } else { State::Open });
    }

    /// Changes how it does.
    pub fn set(&self, state: State) {
        self.condition
            .send_modify(|condition| condition.state = state);
    }

    /// Has it carry so many bytes a second from now on, whatever else is done to it.
    pub fn limit_rate(&self, rate: u32) {
        self.condition
            .send_modify(|condition| condition.rate = Some(rate));
    }

    /// Has all open connections go silent for good, without a reset; new ones work.
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

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut condition: watch::Receiver<Condition>,
    response_bytes: Arc<AtomicU64>,
) {
    let initial = *condition.borrow();
    if initial.state == State::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // sockets that are gone already need no option
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
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
        _ = async { tokio::join!(requests, responses) } => {}
        _ = condition.wait_for(|condition| condition.state == State::Cut) => {}
    }
}

/// How long so many bytes take at a rate of bytes a second.
fn transfer_time(bytes: usize, rate: u32) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / rate.max(1)
}

/// One way of a connection.
struct Direction {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    condition: watch::Receiver<Condition>,
    /// How often connections had gone silent when this one was made.
    initial_stalls: u64,
    /// Whether it carries answers.
    is_response: bool,
    /// Bytes of answers so far.
    response_bytes: Arc<AtomicU64>,
}

impl Direction {
    /// Carries bytes until either end is gone.
    async fn run(mut self) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = self.from.read(&mut buffer).await {
            self.wait_until_forwarding().await;
            let condition = *self.condition.borrow();
            if let State::Slow(delay) = condition.state {
                tokio::time::sleep(delay).await;
            }
            if let Some(rate) = condition.rate {
                tokio::time::sleep(transfer_time(length, rate)).await;
            }
            if self.to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            if self.is_response {
                let length = u64::try_from(length).unwrap_or(u64::MAX);
                self.response_bytes.fetch_add(length, Ordering::Relaxed);
            }
        }
        self.wait_until_forwarding().await;
        // the other side may be gone already
        let _ = self.to.shutdown().await;
    }

    /// Waits until the link lets bytes through this way.
    async fn wait_until_forwarding(&mut self) {
        let (initial_stalls, is_response) = (self.initial_stalls, self.is_response);
        let is_held = |condition: &Condition| match condition.state {
            _ if condition.stall_count > initial_stalls => true,
            State::Silent => true,
            State::NoAnswers => is_response,
            State::Open | State::Cut | State::Slow(_) => false,
        };
        // the link lives longer than its connections, or they end with it
        let _ = self
            .condition
            .wait_for(|condition| !is_held(condition))
            .await;
    }
}
