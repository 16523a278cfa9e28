//! A streamed answer as events for the caller.

use bytes::{Bytes, BytesMut};

use super::{
    generate::{Aborted, Chunk, Stream},
    reply::{self, Envelope},
};

/// The most parts that are sent together.
const MAX_BATCHED_CHUNKS: usize = 32;

/// The events of one answer. Parts that have come together are sent together: each write costs more
/// than the events in it.
pub struct Events {
    envelope: Envelope,
    /// None after the last part.
    stream: Option<Stream>,
    first: Option<Chunk>,
    /// Told after the events before it have gone, and then the transfer breaks.
    aborted: Option<Aborted>,
}

impl Events {
    /// The events of an answer whose first part has come.
    pub fn new(envelope: Envelope, stream: Stream, first: Chunk) -> Self {
        Self {
            envelope,
            stream: Some(stream),
            first: Some(first),
            aborted: None,
        }
    }

    /// The events as a body takes them.
    pub fn into_stream(self) -> impl futures::Stream<Item = Result<Bytes, Aborted>> + Send {
        futures::stream::unfold(self, Self::next)
    }

    async fn next(mut self) -> Option<(Result<Bytes, Aborted>, Self)> {
        if let Some(aborted) = self.aborted.take() {
            return Some((Err(aborted), self));
        }
        let mut bytes = BytesMut::new();
        let mut stream = self.stream.take()?;
        for _ in 0..MAX_BATCHED_CHUNKS {
            let chunk = match self.first.take() {
                Some(chunk) => Ok(chunk),
                None => stream.next().await,
            };
            match chunk {
                Ok(chunk) if chunk.done.is_some() => {
                    bytes.extend(self.envelope.last_event(&chunk, stream.tokens_delivered()));
                    return Some((Ok(bytes.freeze()), self));
                }
                Ok(chunk) => bytes.extend(self.envelope.event(&chunk)),
                Err(aborted) => {
                    bytes.extend(reply::error_event(&aborted));
                    self.aborted = Some(aborted);
                    return Some((Ok(bytes.freeze()), self));
                }
            }
            if !stream.is_ready() {
                break;
            }
        }
        self.stream = Some(stream);
        Some((Ok(bytes.freeze()), self))
    }
}
