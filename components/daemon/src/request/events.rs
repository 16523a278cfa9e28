//! A streamed answer as events for the caller.

use bytes::{Bytes, BytesMut};

use super::{
    generate::{Broken, Piece, Stream},
    reply::{self, Shape},
};

/// The most parts that are sent together.
const TOGETHER: usize = 32;

/// The events of one answer. Parts that have come together are sent together: each write costs more
/// than the events in it.
pub struct Events {
    shape: Shape,
    /// None after the last part.
    stream: Option<Stream>,
    first: Option<Piece>,
    /// Told after the events before it have gone, and then the transfer breaks.
    broken: Option<Broken>,
}

impl Events {
    /// The events of an answer whose first part has come.
    pub fn new(shape: Shape, stream: Stream, first: Piece) -> Self {
        Self {
            shape,
            stream: Some(stream),
            first: Some(first),
            broken: None,
        }
    }

    /// The events as a body takes them.
    pub fn parts(self) -> impl futures::Stream<Item = Result<Bytes, Broken>> + Send {
        futures::stream::unfold(self, Self::next)
    }

    async fn next(mut self) -> Option<(Result<Bytes, Broken>, Self)> {
        if let Some(broken) = self.broken.take() {
            return Some((Err(broken), self));
        }
        let mut bytes = BytesMut::new();
        let mut stream = self.stream.take()?;
        for _ in 0..TOGETHER {
            let piece = match self.first.take() {
                Some(piece) => Ok(piece),
                None => stream.next().await,
            };
            match piece {
                Ok(piece) if piece.done.is_some() => {
                    bytes.extend(self.shape.last_event(&piece, stream.written()));
                    return Some((Ok(bytes.freeze()), self));
                }
                Ok(piece) => bytes.extend(self.shape.event(&piece)),
                Err(broken) => {
                    bytes.extend(reply::error_event(&broken));
                    self.broken = Some(broken);
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
