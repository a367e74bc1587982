//! The leaving state of the target, combined from all its sources.

use cw_types::Revision;

/// The sources that can report that the target is leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeavingState {
    /// Whether this process is shutting down.
    pub(super) draining: bool,
    /// Whether the host list reports the host as leaving.
    pub(super) host_leaving: bool,
    operator_drain: bool,
    revision: Revision,
}

impl LeavingState {
    /// Applies a relay's answer: whether operators drain the target as of configuration `revision`.
    pub(super) fn on_relay(&mut self, revision: Revision, drained: bool) {
        // A relay with an older configuration must not revert a newer one.
        if revision >= self.revision {
            self.revision = revision;
            self.operator_drain = drained;
        }
    }

    /// Returns the highest configuration revision received.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the target is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.draining || self.host_leaving || self.operator_drain
    }
}
