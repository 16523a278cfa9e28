//! Reads a caller's body within its bounds.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use settings::process::Limits;

use super::refusal::{Reason, Refusal};

/// Reads the whole body.
pub async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    // a length that is announced is believed, so that nothing too large is read
    let announced = body.size_hint().lower();
    if usize::try_from(announced).is_ok_and(|bytes| bytes > limits.body_bytes) {
        return Err(Reason::TooLarge.into());
    }
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.body_time.into(), whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge.into()),
        _ => Err(Reason::SlowBody.into()),
    }
}
