//! A limit on the memory that the bodies of all concurrent messages take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use snafu::Snafu;

/// The size of a body in bytes up to which it does not count, so that short messages are read while long ones take all
/// of the memory. A connection takes more than that besides.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// The memory that bodies may take together, in bytes.
///
/// A limit on one body does not bound a process: it is multiplied by the number of bodies that are read at the same
/// time. Clones share the limit.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    pool: Arc<Pool>,
}

#[derive(Debug)]
struct Pool {
    limit: usize,
    used: AtomicUsize,
    /// The memory that this one is a share of.
    whole: Option<BodyMemory>,
}

/// There is no memory left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("all bodies together would take more than {limit} bytes of memory"))]
pub struct OutOfMemory {
    /// The limit that would be exceeded, in bytes.
    pub limit: usize,
}

impl BodyMemory {
    /// Creates a limit of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_pool(limit, None)
    }

    /// Returns a share of this memory. What it holds counts towards both limits.
    #[must_use]
    pub fn share(&self, limit: usize) -> Self {
        Self::with_pool(limit, Some(self.clone()))
    }

    fn with_pool(limit: usize, whole: Option<BodyMemory>) -> Self {
        let pool = Pool {
            limit,
            used: AtomicUsize::new(0),
            whole,
        };
        Self {
            pool: Arc::new(pool),
        }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.pool.limit
    }

    /// Returns the number of bytes that are held now.
    pub fn used(&self) -> usize {
        self.pool.used.load(Ordering::Relaxed)
    }

    /// Returns how many bytes of a body of this size count.
    pub fn counted(bytes: usize) -> usize {
        match bytes {
            ..=UNCOUNTED_BYTES => 0,
            _ => bytes,
        }
    }

    /// Returns the same bytes, which count until their last reference is dropped.
    ///
    /// # Errors
    ///
    /// Fails if no memory is left.
    pub fn keep(&self, bytes: Bytes) -> Result<Bytes, OutOfMemory> {
        let counted = Self::counted(bytes.len());
        if counted == 0 {
            return Ok(bytes);
        }
        let mut held = self.hold();
        held.resize(counted)?;
        Ok(Bytes::from_owner(KeptBytes { bytes, _held: held }))
    }

    /// Returns a reservation of no bytes, which can grow.
    pub fn hold(&self) -> HeldMemory {
        HeldMemory {
            memory: self.clone(),
            bytes: 0,
        }
    }

    fn take(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let limit = self.pool.limit;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let used = &self.pool.used;
        if used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_err()
        {
            return Err(OutOfMemory { limit });
        }
        let of_whole = self
            .pool
            .whole
            .as_ref()
            .map_or(Ok(()), |whole| whole.take(bytes));
        if of_whole.is_err() {
            used.fetch_sub(bytes, Ordering::Relaxed);
        }
        of_whole
    }

    fn give_back(&self, bytes: usize) {
        self.pool.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.pool.whole {
            whole.give_back(bytes);
        }
    }
}

/// Bytes, and the memory that they take until they are dropped.
struct KeptBytes {
    bytes: Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A reservation of memory, which ends when it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: BodyMemory,
    bytes: usize,
}

impl HeldMemory {
    /// Changes the size of the reservation.
    ///
    /// # Errors
    ///
    /// Fails if no more memory is left. The size is then unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.memory.take(more)?,
            None => self.memory.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.give_back(self.bytes);
    }
}
