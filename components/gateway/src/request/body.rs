//! Reads a caller's body completely, within its limits, before any endpoint is involved. The
//! request can thus be retried, and no endpoint waits for a slow caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::Instant;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};

use super::refusal::Reason;
use crate::{
    process::memory::{Budget, Reservation, SMALL_BODY_BYTES},
    version::Limits,
};

/// How long a body may stall while memory is scarce.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A complete body, and its part of the memory for bodies.
#[derive(Debug)]
pub struct Complete {
    /// The body.
    pub bytes: Bytes,
    /// Counts it as long as this lives.
    pub reservation: Reservation,
}

/// Reads the complete body. Memory is reserved as it arrives, so that a caller which only announces a body takes none from
/// others.
pub async fn read(
    body: Incoming,
    limits: Limits,
    budget: &Budget,
    arrived: Instant,
) -> Result<Complete, Reason> {
    // an announced length is trusted, so that a body which is too large is not read at all
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.max_body_bytes {
        return Err(Reason::TooLarge);
    }
    if !budget.has_room(announced) {
        return Err(Reason::NoMemory);
    }
    let reading = collect(body, limits.max_body_bytes, budget);
    let read = clock::timeout_at(arrived + limits.idle_timeout, reading).await;
    read.unwrap_or(Err(Reason::SlowBody))
}

/// Copies all parts of a body into one buffer: they may be as short as a byte each.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    budget: &Budget,
) -> Result<Complete, Reason> {
    let mut reservation = budget.reservation();
    let mut bytes = BytesMut::new();
    let announced = body.size_hint().upper();
    let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
    let most = announced.unwrap_or(max_bytes);
    while let Some(frame) = next_frame(&mut body, budget).await? {
        // trailers are ignored
        let data = frame.into_data().unwrap_or_default();
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Reason::TooLarge);
        }
        if length > reservation.bytes() {
            let doubled = (reservation.bytes() * 2).max(SMALL_BODY_BYTES);
            let wanted = doubled.min(most).max(length);
            if !reservation.grow_to(wanted) {
                return Err(Reason::NoMemory);
            }
            bytes.reserve(wanted - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Complete {
        bytes: bytes.freeze(),
        reservation,
    })
}

/// Returns the next frame of a body; `None` at its end. While memory is scarce, a stalled body is refused.
async fn next_frame(body: &mut Incoming, budget: &Budget) -> Result<Option<Frame<Bytes>>, Reason> {
    loop {
        match clock::timeout(STALL_TIMEOUT, body.frame()).await {
            Ok(frame) => return frame.transpose().map_err(|_| Reason::SlowBody),
            Err(_) if budget.is_scarce() => return Err(Reason::SlowBody),
            Err(_) => {}
        }
    }
}
