//! Reads a caller's body whole, within its bounds. An attempt may then be repeated, and no endpoint
//! waits for a slow caller.

use bytes::Bytes;
use clock::Instant;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use super::refusal::Reason;
use crate::version::Limits;

/// Reads the whole body.
pub async fn read(body: Incoming, limits: Limits, arrived: Instant) -> Result<Bytes, Reason> {
    // a length that is announced is believed, so that nothing too large is read
    let announced = body.size_hint().lower();
    if usize::try_from(announced).is_ok_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(Reason::TooLarge);
    }
    let whole = Limited::new(body, limits.max_body_bytes).collect();
    match clock::timeout_at(arrived + limits.idle_timeout, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::SlowBody),
    }
}
