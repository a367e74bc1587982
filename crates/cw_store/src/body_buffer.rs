//! Collects the body of a message within limits.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::ResultExt;
use snafu::Snafu;

use crate::BodyMemory;
use crate::HeldMemory;
use crate::OutOfMemory;

/// The size of the first allocation in bytes, which holds the usual short message.
const FIRST_BYTES: usize = 1 << 10;

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is longer than its limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit on one body, in bytes.
        limit: usize,
    },
    /// The bodies that are read at the same time take too much memory.
    #[snafu(display("there is no memory for the body: {source}"))]
    Memory {
        /// The limit that would be exceeded.
        source: OutOfMemory,
    },
    /// The connection failed before the end of the body.
    #[snafu(display("the body is not complete: {message}"))]
    Broken {
        /// The error of the connection.
        message: String,
    },
}

/// The part of a body that has arrived.
///
/// The parts are copied into one buffer. Keeping them as they arrive would take some 30 times the memory for a body in
/// chunks of one byte, since each part has a handle and shares the buffer of its connection.
#[derive(Debug)]
pub struct BodyBuffer {
    limit: usize,
    read: Vec<u8>,
    held: HeldMemory,
}

/// A complete body and the memory that it takes until its last reference is dropped.
struct HeldBody {
    read: Vec<u8>,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.read
    }
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `limit` bytes, whose memory counts towards `memory`.
    pub fn new(limit: usize, memory: &BodyMemory) -> Self {
        Self {
            limit,
            read: Vec::new(),
            held: memory.hold(),
        }
    }

    /// Reads a body to its end. Trailers are discarded.
    ///
    /// # Errors
    ///
    /// See [`BodyError`]. The rest of the body is unread then, so its connection cannot carry another message.
    pub async fn read<B>(mut self, body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let mut body = std::pin::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Broken {
                message: error.to_string(),
            })?;
            if let Ok(data) = frame.into_data() {
                self.push(&data)?;
            }
        }
        Ok(self.into_bytes())
    }

    /// Adds a part of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`BodyError::TooLong`] or [`BodyError::Memory`] if the part does not fit.
    pub fn push(&mut self, part: &[u8]) -> Result<(), BodyError> {
        let limit = self.limit;
        let length = self.read.len() + part.len();
        if length > limit {
            return Err(BodyError::TooLong { limit });
        }
        let capacity = self.read.capacity();
        if length > capacity {
            let grown = length.max(2 * capacity).max(FIRST_BYTES).min(limit);
            let counted = BodyMemory::counted(grown);
            self.held.resize(counted).context(MemorySnafu)?;
            self.read.reserve_exact(grown - self.read.len());
        }
        self.read.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body. Its memory counts until all of its references have been dropped.
    pub fn into_bytes(mut self) -> Bytes {
        self.read.shrink_to_fit();
        let counted = BodyMemory::counted(self.read.capacity());
        // Less memory is always granted.
        let _ = self.held.resize(counted);
        Bytes::from_owner(HeldBody {
            read: self.read,
            _held: self.held,
        })
    }
}
