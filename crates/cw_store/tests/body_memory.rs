//! Tests of the limits on bodies, and on the memory of all concurrent ones.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use cw_store::BodyBuffer;
use cw_store::BodyError;
use cw_store::BodyMemory;
use hyper::body::Body;
use hyper::body::Frame;

/// A body in the given parts.
struct Parts(VecDeque<Bytes>);

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.pop_front().map(|part| Ok(Frame::data(part))))
    }
}

/// Returns a body of `count` parts of `size` bytes.
fn parts(count: usize, size: usize) -> Parts {
    let part = Bytes::from(vec![b'x'; size]);
    Parts(std::iter::repeat_n(part, count).collect())
}

/// Fills a buffer with parts until it takes no more, and returns it with the reason.
fn fill(mut buffer: BodyBuffer, part: &[u8]) -> (BodyBuffer, BodyError) {
    loop {
        if let Err(error) = buffer.push(part) {
            return (buffer, error);
        }
    }
}

#[tokio::test]
async fn a_body_is_read_in_order() {
    let memory = BodyMemory::new(1 << 20);
    let body = Parts(["ab", "", "c"].map(Bytes::from).into());

    let read = BodyBuffer::new(3, &memory).read(body).await;

    assert_eq!(read.expect("a body within its limit"), "abc");
}

#[tokio::test]
async fn a_body_beyond_its_limit_is_refused() {
    let memory = BodyMemory::new(1 << 20);

    let read = BodyBuffer::new(99, &memory).read(parts(10, 10)).await;

    assert!(matches!(read, Err(BodyError::TooLong { limit: 99 })));
}

/// Guards against a body in chunks of one byte that takes many times the memory that its limit counts.
#[tokio::test]
async fn a_body_in_chunks_of_one_byte_takes_no_more_memory_than_its_limit() {
    let memory = BodyMemory::new(1 << 20);

    let read = BodyBuffer::new(100_000, &memory)
        .read(parts(100_000, 1))
        .await;

    assert_eq!(read.expect("a body within its limit").len(), 100_000);
    let (buffer, error) = fill(BodyBuffer::new(100_000, &memory), b"x");
    assert!(matches!(error, BodyError::TooLong { .. }));
    assert!(memory.used() <= 100_000, "{}", memory.used());
    drop(buffer);
    assert_eq!(memory.used(), 0);
}

/// Guards against a limit on one body that is multiplied by the number of bodies that are read at the same time.
#[test]
fn concurrent_bodies_keep_to_the_memory_of_all() {
    let memory = BodyMemory::new(10 << 20);
    let part = vec![b'x'; 16 << 10];

    let ends: Vec<_> = (0..50)
        .map(|_| fill(BodyBuffer::new(4 << 20, &memory), &part))
        .collect();

    let refused = ends
        .iter()
        .filter(|(_, error)| matches!(error, BodyError::Memory { .. }));
    assert!(refused.count() >= 48);
    assert!(memory.used() <= 10 << 20, "{}", memory.used());
    drop(ends);
    assert_eq!(memory.used(), 0);
}

/// Guards against one target in trouble that takes the memory for the answers of all others.
#[test]
fn a_share_leaves_the_rest_of_the_memory_to_others() {
    let memory = BodyMemory::new(10 << 20);
    let (troubled, sound) = (memory.share(5 << 20), memory.share(5 << 20));
    let part = vec![b'x'; 16 << 10];
    let _full: Vec<_> = (0..50)
        .map(|_| fill(BodyBuffer::new(4 << 20, &troubled), &part))
        .collect();

    let (_, error) = fill(BodyBuffer::new(4 << 20, &sound), &part);

    assert!(matches!(error, BodyError::TooLong { .. }), "{error}");
}

/// Guards against short answers that fail while others take all of the memory.
#[tokio::test]
async fn a_short_body_is_read_while_others_take_all_of_the_memory() {
    let memory = BodyMemory::new(1 << 20);
    let _held = fill(BodyBuffer::new(8 << 20, &memory), &[b'x'; 1024]);
    let _more = fill(BodyBuffer::new(8 << 20, &memory), &[b'x'; 1024]);

    let read = BodyBuffer::new(8 << 20, &memory)
        .read(parts(16, 1024))
        .await;

    assert_eq!(read.expect("a short body").len(), 16 << 10);
}

#[tokio::test]
async fn a_complete_body_counts_until_its_last_reference_is_dropped() {
    let memory = BodyMemory::new(1 << 20);
    let read = BodyBuffer::new(1 << 20, &memory)
        .read(parts(5, 10_000))
        .await;
    let body = read.expect("a body within its limit");
    let part = body.slice(10..20);
    drop(body);
    assert_eq!(memory.used(), 50_000);

    drop(part);

    assert_eq!(memory.used(), 0);
}

#[test]
fn kept_bytes_count_until_they_are_dropped() {
    let memory = BodyMemory::new(100_000);
    let kept = memory.keep(Bytes::from(vec![0; 60_000]));

    let refused = memory.keep(Bytes::from(vec![0; 60_000]));

    assert!(refused.is_err());
    drop(kept);
    assert_eq!(memory.used(), 0);
}
