//! Newtypes for counts, indices and versions.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number incremented by one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// The number of an attempt, which is one dispatch of a generation, counted from 1.
    AttemptNo(u32);
    /// A number that increases with each holder of a lease, so that requests of a former holder can
    /// be rejected.
    FencingNumber(u64);
    /// The number of one run of a process, from its start to its end; a later run has a higher
    /// number.
    Incarnation(u64);
    /// A revision of the configuration.
    Revision(u64);
    /// A number that rises each time the key-value service comes back from an older copy, 0 for a service that tells none.
    StoreEra(u32);
    /// A version of the schema of a record kind.
    SchemaVersion(u32);
    /// A number of tokens.
    TokenCount(u64);
    /// A token, given as its index in the vocabulary of the model.
    TokenId(u32);
    /// A position in the output of a generation, counted from 0.
    TokenIndex(u64);
}

impl TokenIndex {
    /// Returns the index `count` positions later.
    #[must_use]
    pub const fn plus(self, count: usize) -> Self {
        Self(self.0 + count as u64)
    }
}
