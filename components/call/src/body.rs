//! Bodies that are read whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than is taken.
    #[display("larger than {max_bytes} bytes")]
    TooLarge {
        /// The max_bytes that is taken, in bytes.
        max_bytes: usize,
    },
    /// It broke off, or nothing more came.
    #[display("ended after {bytes} bytes")]
    Partial {
        /// What had come, in bytes.
        bytes: usize,
    },
}

/// Reads a body whole, however long that takes, as long as no pause in it is longer than `idle_timeout`.
///
/// How long a body takes follows from its size and the link, which nobody bounds. A bound on the whole time throws
/// away what has come and asks for it again: a configuration of 680 KB over 10 Mbit/s never came within 600 ms, and
/// each try cost the link as much as a success.
///
/// # Errors
///
/// [`BodyError`] when it is larger than `max_bytes` bytes, breaks off or falls silent.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    idle_timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    // a length that is content_length is believed, so that nothing of what is too large is read
    let content_length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if content_length > max_bytes {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let mut body = body;
    let mut bytes = BytesMut::with_capacity(content_length);
    loop {
        let partial = BodyError::Partial { bytes: bytes.len() };
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(_))) | Err(_) => return Err(partial),
        };
        // trailers carry nothing that is read
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        bytes.extend_from_slice(&data);
    }
}
