//! Bodies are read as long as they come, and given up when they fall silent. Time is paused, so the pauses cost none.

use std::time::Duration;

use bytes::Bytes;
use call::{Unread, whole};
use futures::StreamExt;
use http_body_util::StreamBody;
use hyper::body::{Body, Frame};
use tokio::time::{Instant, sleep};

/// The longest pause that is borne.
const SILENCE: Duration = Duration::from_secs(1);
/// Larger than any body here.
const MOST: usize = 1 << 20;
const PIECE: &[u8] = &[7; 1_000];

/// A body of so many pieces, with a pause before each, that breaks off at the end or ends well.
fn body(
    pieces: usize,
    pause: Duration,
    breaks: bool,
) -> impl Body<Data = Bytes, Error = std::io::Error> + Unpin {
    let pieces = futures::stream::iter(0..pieces).then(move |_| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from_static(PIECE)))
    });
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let end = futures::stream::iter(breaks.then_some(Err(broken)));
    StreamBody::new(Box::pin(pieces.chain(end)))
}

#[tokio::test(start_paused = true)]
async fn a_body_that_goes_on_coming_is_read_whole_however_long_it_takes() {
    let begun = Instant::now();
    let read = whole(body(100, SILENCE * 9 / 10, false), MOST, SILENCE).await;
    assert_eq!(read.map(|bytes| bytes.len()), Ok(100 * PIECE.len()));
    assert!(begun.elapsed() >= SILENCE * 90);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_falls_silent_is_given_up_after_that_silence() {
    let begun = Instant::now();
    let pieces = body(3, Duration::from_millis(10), false);
    let silent = futures::stream::pending();
    let stream = http_body_util::BodyStream::new(pieces).chain(silent);
    let read = whole(StreamBody::new(stream), MOST, SILENCE).await;
    let bytes = 3 * PIECE.len();
    assert_eq!(read, Err(Unread::Partial { bytes }));
    assert!(begun.elapsed() < SILENCE * 2);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_breaks_off_says_how_much_came() {
    let read = whole(body(2, Duration::ZERO, true), MOST, SILENCE).await;
    let bytes = 2 * PIECE.len();
    assert_eq!(read, Err(Unread::Partial { bytes }));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_is_too_large_is_told_apart() {
    let most = 5 * PIECE.len();
    let fits = whole(body(5, Duration::ZERO, false), most, SILENCE).await;
    assert_eq!(fits.map(|bytes| bytes.len()), Ok(most));
    let read = whole(body(6, Duration::ZERO, false), most, SILENCE).await;
    assert_eq!(read, Err(Unread::TooLarge { most }));
}
