//! The socket of a connection to an endpoint or a peer. It is reset instead of closed while a response is awaited: what an
//! orderly close leaves in the system's buffers is still delivered, seconds later if the network is interrupted, when the
//! request has long been sent elsewhere.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a connection's response is awaited.
#[derive(Clone, Debug, Default)]
pub(super) struct Awaited(Arc<AtomicBool>);

impl Awaited {
    pub(super) fn set(&self, awaited: bool) {
        self.0.store(awaited, Ordering::Relaxed);
    }
}

/// A socket that takes back what was not delivered if it is dropped while a response is awaited.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    awaited: Awaited,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, awaited: Awaited) -> Self {
        Self { stream, awaited }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if !self.awaited.0.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:%; "failed to reset a connection; what was sent on it may still arrive");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
