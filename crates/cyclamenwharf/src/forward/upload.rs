//! The body of a request to a target, and how much of it has been written.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

/// Tells how many bytes of a request body have not been written to the connection. Clones share the number.
#[derive(Clone, Debug, Default)]
pub(super) struct UploadProgress {
    unwritten: Arc<AtomicUsize>,
}

impl UploadProgress {
    /// Returns whether the whole body has been written. What the operating system has taken counts as written.
    pub(super) fn is_complete(&self) -> bool {
        self.unwritten.load(Ordering::Relaxed) == 0
    }
}

/// The body of a request to a target.
#[derive(Debug)]
pub(super) struct Upload {
    bytes: Option<UploadBytes>,
}

impl Upload {
    /// Creates a body, and returns how much of it has been written.
    pub(super) fn new(bytes: Bytes) -> (Self, UploadProgress) {
        let progress = UploadProgress {
            unwritten: Arc::new(AtomicUsize::new(bytes.len())),
        };
        let bytes = (!bytes.is_empty()).then(|| UploadBytes {
            bytes,
            progress: progress.clone(),
        });
        (Self { bytes }, progress)
    }
}

impl Body for Upload {
    type Data = UploadBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<UploadBytes>, Infallible>>> {
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.bytes.as_ref().map_or(0, Buf::remaining);
        SizeHint::with_exact(length as u64)
    }
}

/// Bytes that count as written when the connection moves on behind them.
#[derive(Debug)]
pub(super) struct UploadBytes {
    bytes: Bytes,
    progress: UploadProgress,
}

impl Buf for UploadBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        let unwritten = &self.progress.unwritten;
        unwritten.fetch_sub(count, Ordering::Relaxed);
    }
}
