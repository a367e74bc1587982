//! Whether the target is leaving, by any of those who can say so.

use cw_types::Revision;

/// Who says that the target is leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leaving {
    /// This process is shutting down.
    pub(super) draining: bool,
    /// The host list says that the host is leaving.
    pub(super) listed: bool,
    ordered: bool,
    revision: Revision,
}

impl Leaving {
    /// A relay with this configuration in force says whether operators drain the target.
    pub(super) fn on_relay(&mut self, revision: Revision, drained: bool) {
        // A relay that lags behind must not take back what a newer one said.
        if revision >= self.revision {
            self.revision = revision;
            self.ordered = drained;
        }
    }

    /// Returns the highest configuration revision heard of.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the target is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.draining || self.listed || self.ordered
    }
}
