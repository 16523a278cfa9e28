//! A link that forwards bytes and can be cut, to stand for the network between two processes.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// A running link; dropping it closes its port.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
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
        let cut = Arc::new(watch::Sender::new(false));
        let watching = Arc::clone(&cut);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let cut = watching.subscribe();
                tokio::spawn(async move { forward(stream, target, cut).await });
            }
        });
        Ok(Self { address, cut, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link, or heals it. A cut resets open connections and refuses new ones.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
