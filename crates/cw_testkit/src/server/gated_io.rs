//! An I/O stream that a [`Gate`] can pause.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::Gate;

/// An I/O stream that neither reads nor writes while its gate is closed.
#[derive(Debug)]
pub(crate) struct GatedIo<S> {
    inner: S,
    gate: Gate,
}

impl<S> GatedIo<S> {
    /// Wraps `inner` so that `gate` can pause it.
    pub(crate) fn new(inner: S, gate: Gate) -> Self {
        Self { inner, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
