//! Tells the balancer whether this process takes new connections.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::JoinSet};

use super::Gateway;

/// Serves as long as the process lives.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "the balancer's connection was not accepted");
                continue;
            }
        };
        let gateway = Arc::clone(&gateway);
        connections.spawn(async move {
            let service = service_fn(|_request| {
                let response = answer(gateway.is_ready());
                async move { Ok::<_, Infallible>(response) }
            });
            // a broken connection is the balancer's business
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn answer(ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
