//! Reads a caller's body completely, within its limits, before any endpoint is involved. The
//! request can thus be retried, and no endpoint waits for a slow caller.

use bytes::Bytes;
use clock::Instant;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use super::refusal::Reason;
use crate::version::Limits;

/// Reads the complete body.
pub async fn read(body: Incoming, limits: Limits, arrived: Instant) -> Result<Bytes, Reason> {
    // an announced length is trusted, so that a body which is too large is not read at all
    let announced = body.size_hint().lower();
    if usize::try_from(announced).is_ok_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(Reason::TooLarge);
    }
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match clock::timeout_at(arrived + limits.idle_timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::SlowBody),
    }
}
