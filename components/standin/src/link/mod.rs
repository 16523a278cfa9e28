//! A link that forwards bytes and fails on demand, to stand for the network between two processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

/// A running link; dropping it closes its port.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
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
        let state = Arc::new(watch::Sender::new(State::Open));
        let watching = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = watching.subscribe();
                tokio::spawn(async move { forward(stream, target, state).await });
            }
        });
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link, or heals it.
    pub fn cut(&self, cut: bool) {
        self.set(if cut { State::Cut } else { State::Open });
    }

    /// Changes how it does.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<State>) {
    if *state.borrow() == State::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // sockets that are gone already need no option
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = carry(near_read, far_write, state.clone(), false);
    let back = carry(far_read, near_write, state.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = state.wait_for(|state| *state == State::Cut) => {}
    }
}

/// Carries bytes one way until either end is gone.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    answers: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let held_up =
            |state: &State| *state == State::Silent || (answers && *state == State::NoAnswers);
        // the link lives longer than its connections, or they end with it
        let _ = state.wait_for(|state| !held_up(state)).await;
        let now = *state.borrow();
        if let State::Slow(time) = now {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // the other side may be gone already
    let _ = to.shutdown().await;
}
