//! The software version that began a stream, as entries tell it to each other.

use cw_macro::data;
use cw_types::ServiceName;
use cw_types::SoftwareVersion;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::Xxh3Default;
use xxhash_rust::xxh3::xxh3_64;

use crate::Fingerprint;

/// A hash that identifies the software of a target in a few bytes. What targets with different hashes generate does
/// not fit together.
#[data(Copy, Default, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct SoftwareHash(u64);

impl SoftwareHash {
    /// Returns the hash that all targets of a service with this version have.
    pub fn of_version(service: &ServiceName, version: &SoftwareVersion) -> Self {
        Self(hash_texts([service.as_str(), "version", version.as_str()]))
    }
}

fn hash_texts(texts: [&str; 3]) -> u64 {
    let mut hash = Xxh3Default::new();
    for text in texts {
        hash.update(text.as_bytes());
        // A separator, so that no two lists of texts are hashed as the same bytes.
        hash.update(&[0]);
    }
    hash.digest()
}

/// A hash that identifies a stream over all tries of its caller: that of the id of the attempt that brought its
/// first event.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct StreamHash(u64);

impl StreamHash {
    /// Returns the hash of the stream that the attempt with this id began.
    pub fn of_attempt(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// Returns the hash as a number.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// A stream, and the software that began it.
///
/// It is encoded without the names of its fields, which are longer than the values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamHash,
    /// The request of the stream, which is the same in all attempts of its caller.
    pub request: Fingerprint,
    /// The software that began the stream.
    pub software: SoftwareHash,
}

impl Serialize for StreamOrigin {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.stream, self.request, self.software).serialize(serializer)
    }
}

/// The question of an entry for the software that began a stream.
#[data(Eq)]
pub struct OriginCall {
    /// The stream, `None` if the caller does not name the attempt that began it.
    pub stream: Option<StreamHash>,
    /// The request of the stream.
    pub request: Fingerprint,
    /// The services that may have begun it.
    pub services: Vec<ServiceName>,
}

/// The answer to an [`OriginCall`].
#[data(Copy, Eq)]
pub struct OriginAnswer {
    /// The software that began the stream, `None` if the entry does not know it.
    pub software: Option<SoftwareHash>,
    /// Whether several versions may have begun it, as far as the entry knows. Entries of an earlier version do not
    /// tell it.
    #[serde(default)]
    pub is_split: bool,
}
