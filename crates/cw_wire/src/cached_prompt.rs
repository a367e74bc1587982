//! Where prompts were read, told to the other entries.

use cw_macro::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::TargetHash;

/// A prompt's name in few bytes: a hash of what tells it from others.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Returns the name of the prompt that `text` tells from others.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// A prompt, and the target that has read it.
#[data(Copy, Eq)]
pub struct CachedPrompt {
    /// The prompt.
    pub prompt: PromptHash,
    /// The target whose cache memory has it.
    pub target: TargetHash,
}
