//! A limit on what a target sends before its answer begins.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The maximum number of bytes from a request until the head of its answer has been read. The head itself may fill the
/// read buffer once, and the first part of the body comes with it. Interim responses without end would otherwise take
/// the processor until the deadline of the request.
const MAX_BYTES: usize = 128 << 10;

/// How many bytes a target may still send. Clones share the number.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        let left = Arc::new(AtomicUsize::new(usize::MAX));
        Self { left }
    }
}

impl HeadLimit {
    /// Applies the limit, as a request is sent.
    pub(super) fn start(&self) {
        self.left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, as the head of an answer has been read. Its body has limits of its own.
    pub(super) fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_reached(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn record(&self, bytes: usize) {
        let subtract = |left: usize| (left != usize::MAX).then(|| left.saturating_sub(bytes));
        // There is nothing to count while the limit is lifted.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}

/// The socket of a connection to a target. Reading fails when the limit is reached.
#[derive(Debug)]
pub(super) struct LimitedSocket {
    socket: TcpStream,
    limit: HeadLimit,
}

impl LimitedSocket {
    /// Applies a limit to a socket.
    pub(super) fn new(socket: TcpStream, limit: HeadLimit) -> Self {
        Self { socket, limit }
    }
}

impl AsyncRead for LimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            let message = format!("no answer begins within {MAX_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buffer))?;
        self.limit.record(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
