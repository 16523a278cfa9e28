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
    silenced: u64,
}

/// A running link; dropping it closes its port.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
    carried: Arc<AtomicU64>,
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
        let watching = Arc::clone(&condition);
        let carried = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&carried);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (condition, counter) = (watching.subscribe(), Arc::clone(&counter));
                tokio::spawn(async move { forward(stream, target, condition, counter).await });
            }
        });
        Ok(Self {
            address,
            condition,
            carried,
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
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
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
    pub fn narrow(&self, rate: u32) {
        self.condition
            .send_modify(|condition| condition.rate = Some(rate));
    }

    /// Has all open connections go silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.condition
            .send_modify(|condition| condition.silenced += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    mut condition: watch::Receiver<Condition>,
    carried: Arc<AtomicU64>,
) {
    let born = *condition.borrow();
    if born.state == State::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // sockets that are gone already need no option
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let carry = |from, to, answers| Carrier {
        from,
        to,
        condition: condition.clone(),
        born: born.silenced,
        answers,
        carried: Arc::clone(&carried),
    };
    let there = carry(near_read, far_write, false).run();
    let back = carry(far_read, near_write, true).run();
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = condition.wait_for(|condition| condition.state == State::Cut) => {}
    }
}

/// How long so many bytes take at a rate of bytes a second.
fn span(bytes: usize, rate: u32) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / rate.max(1)
}

/// One way of a connection.
struct Carrier {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    condition: watch::Receiver<Condition>,
    /// How often connections had gone silent when this one was made.
    born: u64,
    /// Whether it carries answers.
    answers: bool,
    /// Bytes of answers so far.
    carried: Arc<AtomicU64>,
}

impl Carrier {
    /// Carries bytes until either end is gone.
    async fn run(mut self) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = self.from.read(&mut buffer).await {
            self.let_through().await;
            let now = *self.condition.borrow();
            if let State::Slow(time) = now.state {
                tokio::time::sleep(time).await;
            }
            if let Some(rate) = now.rate {
                tokio::time::sleep(span(length, rate)).await;
            }
            if self.to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            if self.answers {
                let length = u64::try_from(length).unwrap_or(u64::MAX);
                self.carried.fetch_add(length, Ordering::Relaxed);
            }
        }
        self.let_through().await;
        // the other side may be gone already
        let _ = self.to.shutdown().await;
    }

    /// Waits until the link lets bytes through this way.
    async fn let_through(&mut self) {
        let (born, answers) = (self.born, self.answers);
        let held_up = |condition: &Condition| match condition.state {
            _ if condition.silenced > born => true,
            State::Silent => true,
            State::NoAnswers => answers,
            State::Open | State::Cut | State::Slow(_) => false,
        };
        // the link lives longer than its connections, or they end with it
        let _ = self
            .condition
            .wait_for(|condition| !held_up(condition))
            .await;
    }
}
