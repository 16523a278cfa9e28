//! HTTP responses about the process itself: readiness for the load balancer, metrics for the collector.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use clock::Instant;
use http_body_util::Full;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use protocol::millis;
use tokio::{net::TcpListener, task::JoinSet};

use super::{Gateway, List};

/// Value of the gauge of an age that is not known.
const UNKNOWN_AGE: i64 = -1;

type StatusResponse = Response<Full<Bytes>>;

/// Serves HTTP on a listener for the lifetime of the process.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    respond: fn(&Gateway) -> StatusResponse,
) {
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection for readiness or metrics");
                continue;
            }
        };
        let gateway = Arc::clone(&gateway);
        connections.spawn(async move {
            let service = service_fn(|_request| {
                let response = respond(&gateway);
                async move { Ok::<_, Infallible>(response) }
            });
            // a broken connection is the client's concern
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Responds with status 200 if the process is ready for new connections, otherwise with 503.
pub fn ready(gateway: &Gateway) -> StatusResponse {
    let mut response = Response::new(Full::default());
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Responds with the metrics, after all gauges have been updated.
pub fn metrics(gateway: &Gateway) -> StatusResponse {
    let metrics = &gateway.metrics;
    let set = |gauge: &telemetry::metrics::Gauge, count: u64| {
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    };
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let version = gateway
        .configuration()
        .map_or(0, |configuration| configuration.version);
    set(&metrics.configuration_version, version);
    let age = gateway.configuration_age(Instant::now());
    let age_ms = age.and_then(|age| i64::try_from(millis(age)).ok());
    metrics.configuration_age.set(age_ms.unwrap_or(UNKNOWN_AGE));
    let list = List::Configuration;
    set(
        &metrics.configuration_read,
        gateway.last_changes.revision(list),
    );
    set(
        &metrics.configuration_advertised,
        gateway.peers.latest_revision(list),
    );
    set(&metrics.connections, count(*gateway.connections.borrow()));
    set(&metrics.in_flight, count(*gateway.in_flight.borrow()));
    set(&metrics.peers, gateway.peers.count_alive());
    set(&metrics.endpoints, count(gateway.registry.all().len()));
    for (service, fleet) in gateway.registry.fleets() {
        let unreachable = count(fleet.count_unreachable());
        set(
            &metrics
                .unreachable_endpoints
                .with_label_values(&[&*service]),
            unreachable,
        );
    }
    let [requests, parts] = gateway.crashes.count();
    set(&metrics.suspects, count(requests.suspected));
    set(&metrics.withheld, count(requests.withheld));
    set(&metrics.withheld_parts, count(parts.withheld));
    Response::new(Full::new(Bytes::from(metrics.text())))
}
