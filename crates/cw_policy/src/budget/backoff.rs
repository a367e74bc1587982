//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The maximum delay before the first repeat.
    pub base: Duration,
    /// The maximum delay before any repeat.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns a random delay before repeat number `repeat`, counted from 0.
    pub fn delay(&self, repeat: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(repeat);
        let longest = self.base.saturating_mul(factor).min(self.max);
        longest.mul_f64(rng.random::<f64>())
    }
}
