//! What an entry learned of the targets' caches.

use cw_types::TargetId;

use super::Block;

/// A target that is known to have a part of a prompt cached.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The target.
    pub target: TargetId,
    /// The share of the prompt's blocks that it has, from 0 to 1.
    pub share: f64,
}

/// Which prompts the targets are known to have cached.
#[derive(Clone, Debug, Default)]
pub struct Overlap {}

impl Overlap {
    /// Returns the targets known to hold a leading part of `blocks`.
    pub fn holders(&self, _blocks: &[Block]) -> Vec<Holder> {
        Vec::new()
    }
}
