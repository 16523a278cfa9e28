//! Reads a caller's body within its bounds.

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

/// When a caller should come back if bodies fill the memory meant for them.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bytes of bodies held by requests under way; given back by `Drop`.
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

/// Reads the whole body; its bytes count against the daemon's bound as long as the request lives.
pub async fn read(context: &mut Context, body: Incoming) -> Result<Bytes, Refusal> {
    let process = Arc::clone(&context.process);
    let limits = &process.settings.limits;
    // a length that is announced is believed, so that nothing too large is read
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
    let reservation = Reservation::reserve(&process.held_bytes, bytes.len(), limits.queue_bytes);
    context.body_reservation = Some(reservation.ok_or(Reason::Full(RETRY_AFTER))?);
    context.exchange.received();
    Ok(bytes)
}
