//! Hashes of secret keys.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// The error for text that is not a SHA-256 hash in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected 64 hexadecimal digits of a SHA-256 hash"))]
pub struct KeyHashError;

/// The SHA-256 hash of an API key, stored in place of the key.
///
/// Keys are long random strings, so a fast hash without a salt is secure enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns whether `key` has this hash.
    ///
    /// The comparison takes constant time, so its duration does not reveal where the hashes differ.
    pub fn matches(&self, key: &str) -> bool {
        Self::of(key).0.ct_eq(&self.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| KeyHashError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, KeyHashError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}
