//! Converts a streamed answer to server-sent events for the caller.

use bytes::{Bytes, BytesMut};

use super::{
    generate::{Aborted, Chunk, Stream},
    reply::{self, Envelope},
};

/// Maximum number of chunks that are sent in one write.
const MAX_BATCHED_CHUNKS: usize = 32;

/// The events of one answer. Chunks that are available at the same time are sent in one write: a
/// write costs more than the events in it.
pub struct Events {
    envelope: Envelope,
    /// `None` after the last chunk.
    stream: Option<Stream>,
    first: Option<Chunk>,
    /// Error that aborts the transfer, after the events before it have been sent.
    aborted: Option<Aborted>,
}

impl Events {
    /// Creates the events of an answer whose first chunk has been received.
    pub fn new(envelope: Envelope, stream: Stream, first: Chunk) -> Self {
        Self {
            envelope,
            stream: Some(stream),
            first: Some(first),
            aborted: None,
        }
    }

    /// Converts them to a stream of body data.
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
