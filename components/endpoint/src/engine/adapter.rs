//! HTTP adapter: JSON calls, and answers as JSON frames, one per line.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Incoming, header};

use super::{CacheEvent, Frame, Generate, Order, Report};
use crate::Failure;

/// Limit on the buffered bytes without an end of line; beyond it an answer is treated as malformed. A line may be longer
/// by one frame of the body.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Client of engines over HTTP; one instance serves all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    client: call::Client,
}

impl EngineClient {
    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether the attempt may execute at the engine.
    pub async fn generate(
        &self,
        address: SocketAddr,
        generate: &Generate,
    ) -> Result<Frames, Failure> {
        let body = serde_json::to_vec(generate).map_err(|_| Failure::NotSent)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/generate"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::NotSent)?;
        let response = self.client.send(request).await?;
        match response.status() {
            status if status.is_success() => Ok(Frames {
                body: response.into_body(),
                buffer: BytesMut::new(),
            }),
            status => Err(Failure::Refused(status.as_u16())),
        }
    }

    /// Cancels an attempt. Succeeds if the engine does not know the attempt.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the engine refused, could not be reached or did not answer within `timeout`.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: u64,
        timeout: Duration,
    ) -> Result<(), Failure> {
        Ok(self
            .client
            .post(address, "/cancel", &attempt, timeout)
            .await?)
    }

    /// Sends an order and waits up to `timeout` for its outcome.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`] when the order may still take effect.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        timeout: Duration,
    ) -> Result<(), Failure> {
        Ok(self.client.post(address, "/order", order, timeout).await?)
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no valid report arrived within `timeout`.
    pub async fn report(&self, address: SocketAddr, timeout: Duration) -> Result<Report, Failure> {
        Ok(self.client.post(address, "/report", &(), timeout).await?)
    }

    /// Reads the cache events after the sequence number `after`.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no valid answer arrived within `timeout`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeout: Duration,
    ) -> Result<Vec<CacheEvent>, Failure> {
        Ok(self.client.post(address, "/cache", &after, timeout).await?)
    }
}

/// The stream of frames of one attempt.
#[derive(Debug)]
pub struct Frames {
    body: Incoming,
    buffer: BytesMut,
}

impl Frames {
    /// Whether a complete frame is buffered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.buffer.contains(&b'\n')
    }

    /// Returns the next frame, or `None` when the engine has closed the stream cleanly.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`] when the connection failed or the data is malformed.
    pub async fn next(&mut self) -> Result<Option<Frame>, Failure> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|_| Failure::Lost);
            }
            match self.body.frame().await {
                None if self.buffer.is_empty() => return Ok(None),
                Some(Ok(frame)) if self.buffer.len() < MAX_LINE_BYTES => {
                    self.buffer
                        .extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                }
                _ => return Err(Failure::Lost),
            }
        }
    }
}
