//! Metrics and health checks over HTTP, for the load balancer, monitoring and operators.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinSet};

use super::{Phase, Process};

/// Serves metrics and health checks.
pub async fn serve(process: Arc<Process>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let process = Arc::clone(&process);
        connections.spawn(async move {
            let service = service_fn(|request| {
                let response = answer(&process, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // an error on the connection only affects the client
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn answer(process: &Process, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/metrics" => reply(StatusCode::OK, process.metrics.text()),
        "/healthz" => reply(StatusCode::OK, b"alive\n".to_vec()),
        "/readyz" => match not_ready_reason(process) {
            None => reply(StatusCode::OK, b"ready\n".to_vec()),
            Some(reason) => reply(StatusCode::SERVICE_UNAVAILABLE, reason.into()),
        },
        _ => reply(
            StatusCode::NOT_FOUND,
            b"metrics, healthz or readyz\n".to_vec(),
        ),
    }
}

fn not_ready_reason(process: &Process) -> Option<&'static str> {
    match () {
        () if *process.phase.borrow() != Phase::Serving => Some("stopping\n"),
        () if process.current.get().is_none() => Some("no settings yet\n"),
        () => None,
    }
}

fn reply(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
