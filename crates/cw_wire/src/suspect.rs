//! What the crashes of targets may be blamed on.

use std::fmt;

use cw_macro::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::Fingerprint;

/// A hash that identifies a part of a prompt, which other requests may share.
#[data(Copy, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct PartHash(pub u64);

impl PartHash {
    /// Returns the hash of the name of a part.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// What the crashes of targets may be blamed on.
#[data(Copy, Eq, PartialOrd, Ord)]
pub enum Suspect {
    /// A request as a whole, whichever attempt of its caller carries it.
    Request(Fingerprint),
    /// A part of a prompt, whichever request has it.
    Part(PartHash),
}

impl Suspect {
    /// Returns a number that is different for different suspects.
    pub fn hash(self) -> u64 {
        match self {
            Suspect::Request(Fingerprint(hash)) | Suspect::Part(PartHash(hash)) => hash,
        }
    }
}

impl From<Fingerprint> for Suspect {
    fn from(request: Fingerprint) -> Self {
        Suspect::Request(request)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Request(request) => write!(f, "request {request}"),
            Suspect::Part(PartHash(part)) => write!(f, "part {part:016x}"),
        }
    }
}
