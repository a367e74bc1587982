//! Revisions of the key-value service.

use crate::StoreEra;
use cw_macro::data;

/// The number of bits of the service's own number in a [`StoreRevision`].
const NUMBER_BITS: u32 = 48;

/// The highest number of the service that can be told apart from the era.
const MAX_NUMBER: i64 = (1 << NUMBER_BITS) - 1;

/// The highest era that fits above the number.
const MAX_ERA: u32 = (i64::MAX >> NUMBER_BITS) as u32;

/// A revision of the key-value service, which increases with each change.
///
/// A service that comes back from an older copy gives out its numbers again. The era is above them, so that each
/// revision of an era is higher than all of the eras before.
#[data(Copy, Default, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct StoreRevision(pub i64);

impl StoreRevision {
    /// Returns the revision that the service calls `number` in an era.
    pub fn new(era: StoreEra, number: i64) -> Self {
        let era = i64::from(era.0.min(MAX_ERA));
        Self((era << NUMBER_BITS) | number.clamp(0, MAX_NUMBER))
    }

    /// Returns the latest revision that an era can have.
    pub fn latest_of(era: StoreEra) -> Self {
        Self::new(era, MAX_NUMBER)
    }

    /// Returns the era to which the revision belongs.
    pub fn era(self) -> StoreEra {
        StoreEra(u32::try_from(self.0 >> NUMBER_BITS).unwrap_or_default())
    }

    /// Returns the service's own number of the revision.
    pub fn number(self) -> i64 {
        self.0 & MAX_NUMBER
    }
}
