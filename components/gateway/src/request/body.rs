//! Reads a caller's body completely, within its limits, before any endpoint is involved. The
//! request can thus be retried, and no endpoint waits for a slow caller.

use bytes::{Bytes, BytesMut};
use clock::Instant;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::refusal::Reason;
use crate::{
    process::memory::{Budget, Reservation},
    version::Limits,
};

/// Bytes that are reserved at once for a body of unknown length.
const FIRST_RESERVATION: usize = 16 << 10;

/// A complete body, and its part of the memory for bodies.
#[derive(Debug)]
pub struct Complete {
    /// The body.
    pub bytes: Bytes,
    /// Counts it as long as this lives.
    pub reservation: Reservation,
}

/// Reads the complete body. The memory for it is reserved before it is read.
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
    let reservation = budget.reserve(announced).ok_or(Reason::NoMemory)?;
    let reading = collect(body, limits.max_body_bytes, reservation);
    let read = clock::timeout_at(arrived + limits.idle_timeout, reading).await;
    read.unwrap_or(Err(Reason::SlowBody))
}

/// Copies all parts of a body into one buffer: they may be as short as a byte each.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<Complete, Reason> {
    let mut bytes = BytesMut::with_capacity(reservation.bytes());
    while let Some(frame) = body.frame().await {
        // trailers are ignored
        let data = frame.map_err(|_| Reason::SlowBody)?.into_data();
        let data = data.unwrap_or_default();
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Reason::TooLarge);
        }
        if length > reservation.bytes() {
            let doubled = (reservation.bytes() * 2).max(FIRST_RESERVATION);
            let wanted = doubled.min(max_bytes).max(length);
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
