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
            /// Returns the next higher number.
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
    /// One dispatch of a generation, counted from 1.
    AttemptNo(u32);
    /// A number that rises with each holder of a lease, so that a deposed holder can be refused.
    FencingNumber(u64);
    /// One life of a process: a higher number is a later life.
    Incarnation(u64);
    /// The revision of the configuration in force.
    Revision(u64);
    /// The version of a record's schema.
    SchemaVersion(u32);
    /// A number of tokens.
    TokenCount(u64);
    /// A token, as its number in the model's vocabulary.
    TokenId(u32);
    /// A place in a generation's output, counted from 0.
    TokenIndex(u64);
}

impl TokenIndex {
    /// Returns the index `count` places further on.
    #[must_use]
    pub const fn plus(self, count: usize) -> Self {
        Self(self.0 + count as u64)
    }
}
