//! Sizes in bytes, written with a unit.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The error for text that is not a size.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected a size such as \"64KiB\", \"8MiB\" or \"512B\", found {text:?}"))]
pub struct ByteSizeError {
    /// The rejected text.
    pub text: String,
}

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

/// The units and their sizes in bytes, in descending order. Every unit ends in `B`, so the longer
/// suffixes must be tried first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl ByteSize {
    /// Returns the size as a `usize`, or `usize::MAX` if it does not fit.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// Returns a size of `count` KiB.
    pub const fn kib(count: u64) -> Self {
        Self(count << 10)
    }

    /// Returns a size of `count` MiB.
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: u64| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = UNITS
            .into_iter()
            .find(|&(_, unit)| divides(unit))
            .unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    fn from_str(text: &str) -> Result<Self, ByteSizeError> {
        let parse = |(suffix, unit): (&str, u64)| {
            let count: u64 = text.strip_suffix(suffix)?.trim().parse().ok()?;
            count.checked_mul(unit)
        };
        UNITS
            .into_iter()
            .find_map(parse)
            .map(Self)
            .ok_or_else(|| ByteSizeError {
                text: text.to_owned(),
            })
    }
}

impl TryFrom<String> for ByteSize {
    type Error = ByteSizeError;

    fn try_from(text: String) -> Result<Self, ByteSizeError> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> String {
        size.to_string()
    }
}
