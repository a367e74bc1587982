//! The targets that have a prompt cached, as announced to the other entries.

use cw_macro::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::TargetHash;

/// A hash that identifies a prompt in a few bytes.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Returns the hash of `text`, which identifies the prompt.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// A prompt, and a target that has processed it.
#[data(Copy, Eq)]
pub struct CachedPrompt {
    /// The hash of the prompt.
    pub prompt: PromptHash,
    /// The target whose cache holds the prompt.
    pub target: TargetHash,
}
