//! How much of an answer has arrived.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// How much of the answers to one or several calls has arrived, which tells a slow transfer from silence.
#[derive(Debug, Default)]
pub struct TransferProgress(AtomicU64);

impl TransferProgress {
    /// Records that more bytes have arrived.
    pub fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
