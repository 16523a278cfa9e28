//! A caller's socket, which distinguishes a half-closed connection from one whose caller has left.
//!
//! A caller that shuts its sending side down and waits for its answer looks like one that has left: both send an end
//! of stream. The HTTP library takes either for a caller that has left, and drops its request. Here the end is kept from
//! the library while a request waits for its answer or gets it, and the caller is sent an interim response instead: the
//! system of one that has left resets the connection. See `docs/DESIGN.md#callers-that-half-close`.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use crate::{Exchange, Stage};

/// What a caller that may have left is sent. HTTP/1.1 callers read interim responses and go on waiting.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// Between the end of what a caller sends and the first look whether it has left: a few times the way there and back.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(10);
/// Each further look comes after twice the time, up to this: operators grant half a second to notice that a caller has
/// left.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(160);

/// A caller's socket.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    exchange: Arc<Exchange>,
    /// Set once the caller sends nothing any more.
    half_closed: Option<HalfClosed>,
    /// Whether the last write found no room.
    write_blocked: bool,
}

#[derive(Debug)]
struct HalfClosed {
    check: Pin<Box<Sleep>>,
    interval: Duration,
}

impl HalfClosed {
    fn new() -> Self {
        Self {
            check: Box::pin(tokio::time::sleep(FIRST_CHECK_DELAY)),
            interval: FIRST_CHECK_DELAY,
        }
    }

    /// Waits for the next look.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.check.as_mut().poll(cx));
        self.interval = (self.interval * 2).min(MAX_CHECK_INTERVAL);
        self.check.as_mut().reset(Instant::now() + self.interval);
        Poll::Ready(())
    }
}

impl Socket {
    /// The socket of a connection on which requests are noted.
    pub fn new(stream: TcpStream, exchange: Arc<Exchange>) -> Self {
        Self {
            stream,
            exchange,
            half_closed: None,
            write_blocked: false,
        }
    }

    /// Whether a request that has come whole is not answered yet.
    fn response_pending(&self) -> bool {
        match self.exchange.stage() {
            Some(Stage::Waiting | Stage::Responding) => true,
            Some(Stage::Receiving) => false,
            None => self.write_blocked,
        }
    }

    /// Waits until the caller has left, or until nothing is owed to it any more.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let first_poll = self.half_closed.is_none();
        let mut half_closed = self.half_closed.take().unwrap_or_else(HalfClosed::new);
        let mut disconnected = first_poll && self.is_disconnected();
        while !disconnected && self.response_pending() && half_closed.poll_check(cx).is_ready() {
            disconnected = self.is_disconnected();
        }
        self.half_closed = Some(half_closed);
        if disconnected || !self.response_pending() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Whether the caller's system has reset the connection. Gives it cause to if the caller has left.
    fn is_disconnected(&self) -> bool {
        // an error of the connection means that nobody reads what is sent
        let is_healthy = matches!(self.stream.take_error(), Ok(None));
        if !is_healthy || self.write_blocked || !self.exchange.accepts_interim_response() {
            return !is_healthy;
        }
        match self.stream.try_write(INTERIM_RESPONSE) {
            Ok(written) => written < INTERIM_RESPONSE.len(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Notes how a write went.
    fn record_write<T>(
        &mut self,
        cx: &Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if std::mem::replace(&mut self.write_blocked, written.is_pending())
            && !self.write_blocked
            && self.half_closed.is_some()
        {
            // the end of what the caller sends was kept back until all is written
            cx.waker().wake_by_ref();
        }
        if written.is_ready() {
            self.exchange.sent_bytes();
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.half_closed.is_none() {
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            if buf.filled().len() > before {
                this.exchange.received_bytes();
            }
            let eof = buf.filled().len() == before && buf.remaining() > 0;
            if !eof || !this.response_pending() {
                return Poll::Ready(Ok(()));
            }
        }
        this.poll_disconnected(cx).map(Ok)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
