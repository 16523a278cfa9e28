//! A caller's socket that tells a half-closed connection from a disconnected caller.
//!
//! A caller that shuts down its sending side and waits for the response looks like one that has disconnected: both send
//! an end of stream. The HTTP library treats both as disconnected and drops the request. This socket therefore
//! withholds the end of stream from the library while a response is pending, and sends the caller an interim response
//! instead: the operating system of a caller that has disconnected answers it with a reset. See
//! `docs/DESIGN.md#callers-that-half-close`.
//!
//! It also resets a connection that ends within the response to a caller without chunked encoding, to which an orderly
//! end would look like the end of the response. See `docs/DESIGN.md#the-end-of-a-response`.

use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use crate::{
    Exchange,
    presence::{MAX_PROBE_INTERVAL, Probe},
};

/// Delay before the second check for a disconnected caller, a few round-trip times. The first check is made at the end
/// of stream.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(10);

/// The socket of a caller's connection.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<TcpStream>,
    exchange: Arc<Exchange>,
    /// Whether the caller has closed its sending side.
    ended: bool,
    /// Set once that has been withheld from the library.
    half_closed: Option<HalfClosed>,
}

#[derive(Debug)]
struct HalfClosed {
    next_check: Pin<Box<Sleep>>,
    interval: Duration,
}

impl HalfClosed {
    fn new() -> Self {
        Self {
            next_check: Box::pin(tokio::time::sleep(FIRST_CHECK_DELAY)),
            interval: FIRST_CHECK_DELAY,
        }
    }

    /// Waits until the next check is due.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.next_check.as_mut().poll(cx));
        self.interval = (self.interval * 2).min(MAX_PROBE_INTERVAL);
        self.next_check
            .as_mut()
            .reset(Instant::now() + self.interval);
        Poll::Ready(())
    }
}

impl Socket {
    /// Wraps the socket of a connection whose requests are recorded in `exchange`.
    pub fn new(stream: TcpStream, exchange: Arc<Exchange>) -> Self {
        let stream = Arc::new(stream);
        exchange.attach(&stream);
        Self {
            stream,
            exchange,
            ended: false,
            half_closed: None,
        }
    }

    /// Waits until the caller has disconnected or no response is pending.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.exchange.never_half_closes() || !self.exchange.is_response_pending() {
            return Poll::Ready(());
        }
        let first_poll = self.half_closed.is_none();
        let mut half_closed = self.half_closed.take().unwrap_or_else(HalfClosed::new);
        let mut disconnected = first_poll && self.exchange.probe() == Probe::Lost;
        while !disconnected
            && self.exchange.is_response_pending()
            && half_closed.poll_check(cx).is_ready()
        {
            disconnected = self.exchange.probe() == Probe::Lost;
        }
        self.half_closed = Some(half_closed);
        if disconnected || !self.exchange.is_response_pending() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Reads bytes of requests, and withholds their end as long as the caller may wait for a response.
    fn poll_bytes(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.ended {
            return self.poll_disconnected(cx).map(Ok);
        }
        let room = buf.remaining();
        let read = ready!(self.poll_receive(cx, buf))?;
        if read > 0 {
            self.exchange.received_bytes();
        }
        self.ended = read == 0 && room > 0;
        if self.ended {
            self.exchange.record_end();
            // the library reads on before it runs the request that it has just read, whose stage is thus not known yet
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the socket, which the exchange shares.
    fn poll_receive(
        &self,
        cx: &mut Context<'_>,
        mut buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let room = buf.remaining();
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(&mut buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(read) if 0 < read && read < room => {
                    // nothing more is there; this saves the read that would find so
                    let nothing = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                    let _ = self.stream.try_io(Interest::READABLE, nothing);
                    return Poll::Ready(Ok(read));
                }
                result => return Poll::Ready(result),
            }
        }
    }

    /// Writes to the socket, which the exchange shares.
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match send(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Writes a part of a response, and records the result.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let lacks_chunks = self.exchange.lacks_chunks();
        if lacks_chunks {
            self.exchange.set_reset_on_close(true);
        }
        let written = self.poll_send(cx, send);
        if written.is_ready() {
            self.exchange.set_reset_on_close(lacks_chunks);
        }
        let was_blocked = self.exchange.record_write(written.is_pending());
        if was_blocked && written.is_ready() && self.half_closed.is_some() {
            // the end of stream was withheld until the response was written; let the library read it
            cx.waker().wake_by_ref();
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
        let read = this.poll_bytes(cx, buf);
        this.exchange.set_read(read.is_pending());
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match this.exchange.take_sent_ahead(buf)? {
            0 => this.poll_write_with(cx, |stream| stream.try_write(buf)),
            sent => Poll::Ready(Ok(sent)),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let first = bufs.iter().find(|buf| !buf.is_empty());
        match this
            .exchange
            .take_sent_ahead(first.map_or(&[], |first| &first[..]))?
        {
            0 => this.poll_write_with(cx, |stream| stream.try_write_vectored(bufs)),
            sent => Poll::Ready(Ok(sent)),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The library flushes the socket when it has written all that it has produced, which are whole chunks.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.exchange.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // only shut down after a complete response
        this.exchange.set_reset_on_close(false);
        match SockRef::from(&*this.stream).shutdown(Shutdown::Write) {
            // the caller has closed its side as well
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            shut_down => Poll::Ready(shut_down),
        }
    }
}
