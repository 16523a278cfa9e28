//! Responses that come late: bytes that a server sends where the response to the next request is expected.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BytesMut};
use parking_lot::Mutex;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The late response of a connection. Handlers find it among the extensions of their requests.
#[derive(Clone, Debug, Default)]
pub struct Late(Arc<Mutex<Buffers>>);

#[derive(Debug, Default)]
struct Buffers {
    /// Sent ahead of the response to the next request.
    held: BytesMut,
    /// Sent ahead of the response to the current request.
    due: BytesMut,
}

impl Late {
    /// Sends these bytes ahead of the response to the next request on the connection.
    pub fn hold(&self, bytes: &[u8]) {
        self.0.lock().held.extend_from_slice(bytes);
    }

    /// Whether there are such bytes ahead of the response to the current request.
    #[must_use]
    pub fn is_due(&self) -> bool {
        !self.0.lock().due.is_empty()
    }

    /// Records that the next request has arrived.
    pub(super) fn begin_request(&self) {
        let mut buffers = self.0.lock();
        let held = std::mem::take(&mut buffers.held);
        buffers.due.unsplit(held);
    }
}

/// A connection that sends late responses.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    late: Late,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, late: Late) -> Self {
        Self { stream, late }
    }

    /// Writes what is due before the bytes of the response itself.
    fn poll_write_due(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut buffers = self.late.0.lock();
        while !buffers.due.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &buffers.due))?;
            buffers.due.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_due(context))?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
