//! Bodies are read as long as data keeps arriving, and time out when it stops. The tests run on paused time, so pauses
//! take no real time.

use std::time::Duration;

use bytes::Bytes;
use call::{BodyError, read_body};
use futures::StreamExt;
use http_body_util::StreamBody;
use hyper::body::{Body, Frame};
use tokio::time::{Instant, sleep};

/// The longest pause between two frames.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// More than the size of any body in these tests.
const MAX_BYTES: usize = 1 << 20;
const CHUNK: &[u8] = &[7; 1_000];

/// A body of `chunks` chunks with a pause before each, which ends with a connection error if `fails` is set.
fn body(
    chunks: usize,
    pause: Duration,
    fails: bool,
) -> impl Body<Data = Bytes, Error = std::io::Error> + Unpin {
    let chunks = futures::stream::iter(0..chunks).then(move |_| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from_static(CHUNK)))
    });
    let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let end = futures::stream::iter(fails.then_some(Err(error)));
    StreamBody::new(Box::pin(chunks.chain(end)))
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_without_long_pauses_is_read_completely() {
    let start = Instant::now();
    let read = read_body(
        body(100, IDLE_TIMEOUT * 9 / 10, false),
        MAX_BYTES,
        IDLE_TIMEOUT,
    )
    .await;
    assert_eq!(read.map(|bytes| bytes.len()), Ok(100 * CHUNK.len()));
    assert!(start.elapsed() >= IDLE_TIMEOUT * 90);
}

#[tokio::test(start_paused = true)]
async fn a_stalled_body_times_out_after_the_idle_timeout() {
    let start = Instant::now();
    let chunks = body(3, Duration::from_millis(10), false);
    let stalled = futures::stream::pending();
    let stream = http_body_util::BodyStream::new(chunks).chain(stalled);
    let read = read_body(StreamBody::new(stream), MAX_BYTES, IDLE_TIMEOUT).await;
    let bytes = 3 * CHUNK.len();
    assert_eq!(read, Err(BodyError::Partial { bytes }));
    assert!(start.elapsed() < IDLE_TIMEOUT * 2);
}

#[tokio::test(start_paused = true)]
async fn a_truncated_body_reports_the_bytes_received() {
    let read = read_body(body(2, Duration::ZERO, true), MAX_BYTES, IDLE_TIMEOUT).await;
    let bytes = 2 * CHUNK.len();
    assert_eq!(read, Err(BodyError::Partial { bytes }));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_is_too_large_has_its_own_error() {
    let max_bytes = 5 * CHUNK.len();
    let fits = read_body(body(5, Duration::ZERO, false), max_bytes, IDLE_TIMEOUT).await;
    assert_eq!(fits.map(|bytes| bytes.len()), Ok(max_bytes));
    let read = read_body(body(6, Duration::ZERO, false), max_bytes, IDLE_TIMEOUT).await;
    assert_eq!(read, Err(BodyError::TooLarge { max_bytes }));
}
