//! The parts of prompts with which a request has run on.

use std::collections::BTreeSet;

use cw_wire::PartHash;

/// The number of parts after which those that have not been seen since are forgotten. Together the two sets take some
/// hundred kilobytes.
const MAX_RECENT: usize = 4096;

/// The parts with which a request has run past the moment at which one that crashes its target ends it. A part that
/// crashes targets ends each of them, so it is never one of these.
///
/// The latest parts are kept: at least [`MAX_RECENT`] of them, and at most twice as many.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    recent: BTreeSet<PartHash>,
    earlier: BTreeSet<PartHash>,
}

impl SoundParts {
    /// Records that a request with a part has run on.
    pub(super) fn insert(&mut self, part: PartHash) {
        if self.recent.len() >= MAX_RECENT && !self.recent.contains(&part) {
            self.earlier = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part);
    }

    /// Returns whether a request with a part is known to have run on.
    pub(super) fn contains(&self, part: PartHash) -> bool {
        self.recent.contains(&part) || self.earlier.contains(&part)
    }
}
