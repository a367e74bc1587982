//! Backoff with full jitter.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest wait before the first repeat.
    pub base: Duration,
    /// The longest wait before any.
    pub most: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            most: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns how long to wait before repeat number `repeat`, counted from 0.
    pub fn wait(&self, repeat: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(repeat);
        let longest = self.base.saturating_mul(factor).min(self.most);
        longest.mul_f64(rng.random::<f64>())
    }
}
