//! What entries before this one have persisted of the versions that began streams.

use std::collections::BTreeSet;

use cw_types::StoreEra;
use cw_types::Time;
use cw_wire::SoftwareHash;

/// What began streams before an entry started, as far as the entries before it have persisted that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlierSoftware {
    /// No stream has begun before.
    Nothing,
    /// Each of these versions was the only one of its service for longer than any stream lives.
    Only(BTreeSet<SoftwareHash>),
}

impl EarlierSoftware {
    /// Returns whether no other version of the service of this software has begun a stream before.
    fn is_only(&self, software: SoftwareHash) -> bool {
        match self {
            EarlierSoftware::Nothing => true,
            EarlierSoftware::Only(known) => known.contains(&software),
        }
    }

    /// Returns what holds if both are true.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (EarlierSoftware::Nothing, known) | (known, EarlierSoftware::Nothing) => known,
            (EarlierSoftware::Only(one), EarlierSoftware::Only(other)) => {
                EarlierSoftware::Only(one.intersection(&other).copied().collect())
            }
        }
    }
}

/// A reading of what entries have persisted. It keeps the era in which that was written, so that it is judged whenever it
/// is asked for, whatever is learned of the service in the meantime and in which order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredSoftware {
    /// What began the streams.
    pub software: EarlierSoftware,
    /// The era of the key-value service that was known when it was written.
    pub written_in: StoreEra,
    /// When it was read.
    pub read_at: Time,
}

impl RestoredSoftware {
    /// Adds another reading. The one of the later era counts, and of two of the same era only what both say.
    pub(super) fn and(self, other: Self) -> Self {
        if self.written_in != other.written_in {
            return match self.written_in > other.written_in {
                true => self,
                false => other,
            };
        }
        Self {
            software: self.software.and(other.software),
            written_in: self.written_in,
            read_at: self.read_at.max(other.read_at),
        }
    }

    /// Returns whether no other version of the service of this software has begun a stream before, as of an era. In a later
    /// era than that of the value others may have, and the service may have lost the records of their targets.
    pub(super) fn is_only(&self, software: SoftwareHash, era: StoreEra) -> bool {
        self.written_in >= era && self.software.is_only(software)
    }
}
