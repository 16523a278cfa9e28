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
const COME_BACK: Duration = Duration::from_secs(1);

/// Bytes of bodies held by requests under way; given back by `Drop`.
#[derive(Debug)]
pub struct Held {
    all: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    fn take(all: &Arc<AtomicUsize>, bytes: usize, most: usize) -> Option<Self> {
        let before = all.fetch_add(bytes, Ordering::Relaxed);
        let held = Self {
            all: Arc::clone(all),
            bytes,
        };
        (before + bytes <= most).then_some(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the whole body; its bytes count against the daemon's bound as long as the request lives.
pub async fn read(context: &mut Context, body: Incoming) -> Result<Bytes, Refusal> {
    let process = Arc::clone(&context.process);
    let limits = &process.settings.limits;
    // a length that is announced is believed, so that nothing too large is read
    let announced = body.size_hint().lower();
    if usize::try_from(announced).is_ok_and(|bytes| bytes > limits.body_bytes) {
        return Err(Reason::TooLarge.into());
    }
    let whole = Limited::new(body, limits.body_bytes).collect();
    let bytes = match tokio::time::timeout(limits.body_time.into(), whole).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Reason::TooLarge.into()),
        _ => return Err(Reason::SlowBody.into()),
    };
    let held = Held::take(&process.buffered_bytes, bytes.len(), limits.queue_bytes);
    context.held = Some(held.ok_or(Reason::Full(COME_BACK))?);
    context.open.received();
    Ok(bytes)
}
