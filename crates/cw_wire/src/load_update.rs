//! Compact load updates.

use std::time::Duration;

use cw_macro::data;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Load;

/// The number of steps into which [`LoadUpdate`] divides the capacity of the cache.
const CACHE_STEPS: u64 = 100;

/// Prompt tokens per step of [`LoadUpdate::prefill`].
const PREFILL_STEP_TOKENS: u64 = 256;

/// Microseconds per unit of [`LoadUpdate::step`], which is the inter-token latency.
const LATENCY_UNIT_MICROS: u64 = 1000;

/// Milliseconds per step of [`LoadUpdate::age`].
const AGE_STEP_MILLIS: u64 = 10;

/// A hash that identifies one incarnation of a target in a few bytes.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl TargetHash {
    /// Returns the hash of one incarnation of a target, so that what is told of it does not apply to
    /// a later one.
    pub fn of_incarnation(target: &TargetId, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(target.as_str().as_bytes(), incarnation.0) as u32)
    }
}

/// A newer load of a target, quantised so that small values take one byte.
#[data(Copy, Eq)]
#[serde(from = "PackedUpdate", into = "PackedUpdate")]
pub struct LoadUpdate {
    /// The hash of the target whose load this is, and of its incarnation.
    pub target: TargetHash,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// The age of the report, in steps of 10 ms.
    pub age: u32,
    /// The number of attempts that the engine runs.
    pub running: u32,
    /// The number of waiting attempts.
    pub waiting: u32,
    /// The maximum number of attempts that the agent currently runs at once.
    pub limit: u32,
    /// The occupancy of the cache, in hundredths of its capacity.
    pub cached: u8,
    /// The number of waiting prompt tokens, in steps of 256.
    pub prefill: u32,
    /// The inter-token latency, in milliseconds.
    pub step: u16,
}

/// The wire format: a sequence without field names.
type PackedUpdate = (TargetHash, u64, u32, u32, u32, u32, u8, u32, u16);

impl From<PackedUpdate> for LoadUpdate {
    fn from(packed: PackedUpdate) -> Self {
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

impl From<LoadUpdate> for PackedUpdate {
    fn from(update: LoadUpdate) -> PackedUpdate {
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
    /// Returns the compact form of a load.
    pub fn new(target: TargetHash, sequence: u64, age: Duration, load: &Load) -> Self {
        let capacity = load.capacity.0.max(1);
        let cached = load.cached.0.saturating_mul(CACHE_STEPS) / capacity;
        let step = load.step.as_micros() as u64 / LATENCY_UNIT_MICROS;
        Self {
            target,
            sequence,
            age: to_u32_saturating(age.as_millis() as u64 / AGE_STEP_MILLIS),
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            cached: cached.min(CACHE_STEPS) as u8,
            prefill: to_u32_saturating(load.prefill.0 / PREFILL_STEP_TOKENS),
            step: u16::try_from(step).unwrap_or(u16::MAX),
        }
    }

    /// Sets the age of the report.
    pub fn set_age(&mut self, age: Duration) {
        self.age = to_u32_saturating(age.as_millis() as u64 / AGE_STEP_MILLIS);
    }

    /// Returns the age of the report.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age) * AGE_STEP_MILLIS)
    }

    /// Returns the load; fields that the update lacks are taken from `full`, the last load that was
    /// forwarded in full.
    ///
    /// The age is that of `full`, which is the lower one, so a [`crate::Stamp`] made from it can
    /// only be rejected earlier, never later.
    pub fn unpack(&self, full: &Load) -> Load {
        let capacity = full.capacity;
        Load {
            age: full.age,
            running: self.running,
            waiting: self.waiting,
            limit: self.limit,
            cached: TokenCount(capacity.0 * u64::from(self.cached) / CACHE_STEPS),
            capacity,
            prefill: TokenCount(u64::from(self.prefill) * PREFILL_STEP_TOKENS),
            step: Duration::from_micros(u64::from(self.step) * LATENCY_UNIT_MICROS),
        }
    }
}

fn to_u32_saturating(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
