//! The socket of a caller, which the HTTP connection reads and writes, and which tells what has not become a request yet.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A caller's socket. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct CallerSocket {
    socket: Arc<TcpStream>,
    /// The bytes that were read.
    read: Arc<AtomicU64>,
    /// The same when a request was last known to begin or end with them.
    assigned: Arc<AtomicU64>,
}

impl CallerSocket {
    pub(crate) fn new(socket: TcpStream) -> Self {
        Self {
            socket: Arc::new(socket),
            read: Arc::default(),
            assigned: Arc::default(),
        }
    }

    /// Records that all bytes that were read belong to requests whose heads are complete.
    pub(crate) fn assign_bytes(&self) {
        let read = self.read.load(Ordering::Relaxed);
        self.assigned.store(read, Ordering::Relaxed);
    }

    /// Returns whether bytes have come that belong to no such request: in the socket, or as a part of a head.
    pub(crate) fn has_bytes(&self) -> bool {
        let read = self.read.load(Ordering::Relaxed);
        read != self.assigned.load(Ordering::Relaxed) || self.is_readable()
    }

    fn is_readable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // A socket that has failed or was closed by the caller holds no request.
        let found = SockRef::from(&*self.socket).peek(&mut byte);
        found.is_ok_and(|length| length > 0)
    }

    /// Writes once the socket takes bytes.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read_buf(buf) {
                Ok(length) => {
                    let length = u64::try_from(length).unwrap_or_default();
                    self.read.fetch_add(length, Ordering::Relaxed);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
