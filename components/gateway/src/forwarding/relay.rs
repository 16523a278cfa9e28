//! Passes a peer's response on to the caller as it arrives. If it breaks off, so does the transfer to
//! the caller.

use std::net::SocketAddr;

use bytes::Bytes;
use clock::Instant;
use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame, Incoming},
};

use super::send::wait_for_give_up;
use crate::{
    endpoint::Connection,
    request::{
        job::Job,
        relay::{Body, DEADLINE_GRACE, RelayError},
    },
};

/// A peer's response on its way to the caller.
pub struct Relay {
    job: Job,
    peer: SocketAddr,
    status: StatusCode,
    /// The response and its connection, until the response has ended.
    upstream: Option<(Incoming, Connection)>,
    first_byte: Option<Instant>,
    /// Since when nothing has come: the last bytes, or the headers.
    silent_since: Instant,
    logged: bool,
}

impl Relay {
    /// Starts to pass a response on.
    pub fn start(
        job: Job,
        peer: SocketAddr,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Response<Body> {
        let (head, body) = response.into_parts();
        let mut response = Response::new(());
        *response.status_mut() = head.status;
        *response.headers_mut() = call::headers::end_to_end(&head.headers);
        let is_empty = body.is_end_stream();
        let mut relay = Self {
            job,
            peer,
            status: head.status,
            upstream: Some((body, connection)),
            first_byte: None,
            silent_since: Instant::now(),
            logged: false,
        };
        if is_empty {
            // the body of a response without one is never polled
            relay.finish();
        }
        let chunks = stream::try_unfold(relay, |mut relay| async move {
            let chunk = relay.next_chunk().await?;
            Ok::<_, RelayError>(chunk.map(|chunk| (chunk, relay)))
        });
        response.map(|()| StreamBody::new(chunks.map_ok(Frame::data).boxed()).boxed_unsync())
    }

    /// Returns the next bytes for the caller; `None` at the end of a complete response.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let Some((body, _)) = &mut self.upstream else {
                return Ok(None);
            };
            let cutoff = self.job.deadline + DEADLINE_GRACE;
            let last_event = self
                .first_byte
                .map_or(self.job.arrived, |_| self.silent_since);
            let frame = tokio::select! {
                biased;
                frame = clock::timeout_at(cutoff, body.frame()) => frame,
                () = wait_for_give_up(&self.job, self.peer, last_event) => {
                    self.log_outcome("broken off as its path was lost");
                    return Err(RelayError::PathLost);
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let is_last = body.is_end_stream();
                    self.silent_since = Instant::now();
                    self.first_byte.get_or_insert(self.silent_since);
                    if is_last {
                        // the body isn't polled again once its announced length has been passed on
                        self.finish();
                    }
                    return Ok(Some(bytes));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Some(Err(_))) => {
                    self.log_outcome("broken off by the peer");
                    return Err(RelayError::Endpoint);
                }
                Err(_) => {
                    self.log_outcome("cut when its time was over");
                    return Err(RelayError::TimedOut);
                }
            }
        }
    }

    /// Ends a complete response.
    fn finish(&mut self) {
        self.log_outcome("answered");
        if let Some((_, connection)) = self.upstream.take() {
            let connections = &self.job.gateway.forwarding;
            connections.put_back(self.peer, connection);
        }
    }

    fn log_outcome(&mut self, outcome: &str) {
        self.logged = true;
        let (job, metrics) = (&self.job, &self.job.gateway.metrics);
        let labels = [&*job.service.name, outcome];
        metrics.forwarded.with_label_values(&labels).inc();
        let first_us = self
            .first_byte
            .map(|first| policy::micros(first - job.arrived));
        log::info!(
            request = job.metadata.id, peer:% = self.peer, route = &*job.route.name, status = self.status.as_u16(),
            outcome, first_us, silent_us = policy::micros(self.silent_since.elapsed()),
            peer_alive = job.gateway.peers.is_alive(self.peer), took_us = policy::micros(job.arrived.elapsed());
            "a forwarded request ended"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.logged {
            self.log_outcome("left by the caller");
        }
    }
}
