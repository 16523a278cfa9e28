//! Reads request bodies, limited in size, time and total memory.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use super::{
    Context,
    refusal::{Reason, Refusal},
};

/// `Retry-After` of a request that is refused because the memory for bodies is full.
const BUFFERS_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory reserved for the body of a request in flight; released on drop.
#[derive(Debug)]
pub struct Reservation {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    fn reserve(total: &Arc<AtomicUsize>, bytes: usize, limit: usize) -> Option<Self> {
        let before = total.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Self {
            total: Arc::clone(total),
            bytes,
        };
        (before + bytes <= limit).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the whole body. Its bytes count against the daemon's `queue_bytes` limit until the request
/// ends.
pub async fn read(context: &mut Context, body: Incoming) -> Result<Bytes, Refusal> {
    let process = Arc::clone(&context.process);
    let limits = &process.settings.limits;
    // refuses a body by its Content-Length, before any of it is read
    let announced_length = body.size_hint().lower();
    if usize::try_from(announced_length).is_ok_and(|bytes| bytes > limits.body_bytes) {
        return Err(Reason::TooLarge.into());
    }
    let collected = Limited::new(body, limits.body_bytes).collect();
    let bytes = match tokio::time::timeout(limits.body_time.into(), collected).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Reason::TooLarge.into()),
        _ => return Err(Reason::SlowBody.into()),
    };
    let reservation =
        Reservation::reserve(&process.buffered_bytes, bytes.len(), limits.queue_bytes);
    context.body_reservation = Some(reservation.ok_or(Reason::Full(BUFFERS_FULL_RETRY_AFTER))?);
    context.exchange.body_received();
    Ok(bytes)
}
