//! What lives as long as a caller's connection: its bounds, and its end in a planned stop.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    process::{Gateway, Phase},
    request,
};

/// A failing accept, as when descriptors run out, is tried again after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer that the HTTP library takes.
const LEAST_HEAD: usize = 8 << 10;
/// Descriptors that are left to endpoints, peers and the store, as a part of all.
const RESERVED: usize = 3;

/// Accepts callers as long as the process lives.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let most = gateway.settings.resources.descriptors / RESERVED;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= most {
            // closed unread: the caller may try another process
            log::warn!(open = connections.len(); "a connection over the bound was closed");
            continue;
        }
        let open = Counted::new(&gateway.connections);
        connections.spawn(serve(Arc::clone(&gateway), stream, open));
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, open: Counted) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a caller's socket is gone already");
    }
    let limits = gateway.limits();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // the library counts a head's time from the end of the request before it
        .header_read_timeout(Some(limits.idle_time.max(limits.head_time)))
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD));
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(request::answer(gateway, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = gateway.phase.subscribe();
    tokio::select! {
        // a broken connection is the caller's business
        _ = &mut connection => {}
        () = draining(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(open);
}

async fn draining(phase: &mut watch::Receiver<Phase>) {
    // the sender lives as long as the process
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
}

/// Counts one more as long as it lives.
#[derive(Debug)]
pub struct Counted(watch::Sender<usize>);

impl Counted {
    /// Counts one more.
    pub fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
