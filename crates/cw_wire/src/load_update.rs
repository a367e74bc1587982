//! Loads in few bytes.

use std::time::Duration;

use cw_macro::data;
use cw_types::TargetId;
use cw_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64;

use crate::Load;

/// The share of the cache that stands for one step of [`LoadUpdate`], as a divisor.
const CACHE_STEPS: u64 = 100;

/// Prompt tokens that stand for one step of [`LoadUpdate`].
const PREFILL_STEP: u64 = 256;

/// Microseconds that stand for one step of [`LoadUpdate`].
const STEP_MICROS: u64 = 1000;

/// Milliseconds that stand for one step of an age in [`LoadUpdate`].
const AGE_MILLIS: u64 = 10;

/// A target's name in few bytes: a hash of its id.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl From<&TargetId> for TargetHash {
    fn from(target: &TargetId) -> Self {
        Self(xxh3_64(target.as_str().as_bytes()) as u32)
    }
}

/// A newer load of a target, in steps coarse enough for one byte where that is enough.
#[data(Copy, Eq)]
#[serde(from = "Packed", into = "Packed")]
pub struct LoadUpdate {
    /// The target.
    pub target: TargetHash,
    /// The number of the report within the life that was last passed on whole.
    pub sequence: u64,
    /// How old the report is, in steps of 10 ms.
    pub age: u32,
    /// Attempts that the engine runs.
    pub running: u32,
    /// Attempts that wait.
    pub waiting: u32,
    /// The most attempts that the agent lets run now.
    pub limit: u32,
    /// How full the cache is, in hundredths.
    pub cached: u8,
    /// Prompt tokens that wait, in steps of 256.
    pub prefill: u32,
    /// The time between tokens, in milliseconds.
    pub step: u16,
}

/// The form on the wire: a sequence without field names.
type Packed = (TargetHash, u64, u32, u32, u32, u32, u8, u32, u16);

impl From<Packed> for LoadUpdate {
    fn from(packed: Packed) -> Self {
        let (target, sequence, age, running, waiting, limit, cached, prefill, step) = packed;
        Self {
            target,
            sequence,
            age,
            running,
            waiting,
            limit,
            cached,
            prefill,
            step,
        }
    }
}

impl From<LoadUpdate> for Packed {
    fn from(update: LoadUpdate) -> Packed {
        (
            update.target,
            update.sequence,
            update.age,
            update.running,
            update.waiting,
            update.limit,
            update.cached,
            update.prefill,
            update.step,
        )
    }
}

impl LoadUpdate {
    /// Packs a load.
    pub fn new(target: &TargetId, sequence: u64, age: Duration, load: &Load) -> Self {
        let capacity = load.capacity.0.max(1);
        let cached = load.cached.0.saturating_mul(CACHE_STEPS) / capacity;
        let step = load.step.as_micros() as u64 / STEP_MICROS;
        Self {
            target: TargetHash::from(target),
            sequence,
            age: narrow(age.as_millis() as u64 / AGE_MILLIS),
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            cached: cached.min(CACHE_STEPS) as u8,
            prefill: narrow(load.prefill.0 / PREFILL_STEP),
            step: u16::try_from(step).unwrap_or(u16::MAX),
        }
    }

    /// Says how old the report is.
    pub fn set_age(&mut self, age: Duration) {
        self.age = narrow(age.as_millis() as u64 / AGE_MILLIS);
    }

    /// Returns how old the report is.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age) * AGE_MILLIS)
    }

    /// Unpacks the load; what the update leaves out is taken from the load last passed on whole.
    ///
    /// The age stays the older one: a stamp made of it is refused sooner, never later.
    pub fn unpack(&self, full: &Load) -> Load {
        let capacity = full.capacity;
        Load {
            age: full.age,
            running: self.running,
            waiting: self.waiting,
            limit: self.limit,
            cached: TokenCount(capacity.0 * u64::from(self.cached) / CACHE_STEPS),
            capacity,
            prefill: TokenCount(u64::from(self.prefill) * PREFILL_STEP),
            step: Duration::from_micros(u64::from(self.step) * STEP_MICROS),
        }
    }
}

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
