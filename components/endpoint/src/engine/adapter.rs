//! The adapter that speaks HTTP: JSON calls and answers as one JSON frame a line.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Incoming, header};

use super::{CacheEvent, Frame, Generate, Order, Report};
use crate::Failure;

/// The longest line that is read, in bytes; a longer one is garbage.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Engines reached over HTTP; one adapter serves all of them.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    client: call::Client,
}

impl Engine {
    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether the attempt may run at the engine.
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

    /// Cancels an attempt; an attempt that is not known is cancelled already.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the engine did not answer within `timeout`.
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

    /// Sends an order and waits for its outcome, at most `timeout`.
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
    /// [`Failure`] when none came within `timeout`.
    pub async fn report(&self, address: SocketAddr, timeout: Duration) -> Result<Report, Failure> {
        Ok(self.client.post(address, "/report", &(), timeout).await?)
    }

    /// Reads the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// [`Failure`] when none came within `timeout`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeout: Duration,
    ) -> Result<Vec<CacheEvent>, Failure> {
        Ok(self.client.post(address, "/cache", &after, timeout).await?)
    }
}

/// The frames of one attempt, as they come.
#[derive(Debug)]
pub struct Frames {
    body: Incoming,
    buffer: BytesMut,
}

impl Frames {
    /// Whether a whole frame has come that was not taken yet.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.buffer.contains(&b'\n')
    }

    /// The next frame; none when the engine closed the stream in an orderly way.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`] when the stream broke or carried garbage.
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
