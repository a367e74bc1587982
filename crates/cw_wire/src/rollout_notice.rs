//! The state of a roll-out, as it lies in the store and as entries tell it to each other.

use std::time::Duration;

use cw_macro::data;
use cw_types::ServiceName;
use cw_types::SoftwareVersion;

use crate::RolloutEvidence;

/// The maximum length of a reason, in bytes. A message with those of a few roll-outs must fit into a datagram.
pub const MAX_REASON_BYTES: usize = 120;

/// How far a roll-out is.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStage {
    /// A share of the requests goes to the target version.
    #[default]
    InProgress,
    /// All new requests go to the target version, while runs at the others end.
    Finishing,
    /// The target version serves alone.
    Completed,
    /// The target version gets nothing.
    RolledBack,
}

impl RolloutStage {
    /// Returns whether nothing follows this stage within one order.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The state of a roll-out.
#[data(Eq)]
pub struct RolloutState {
    /// The service.
    pub service: ServiceName,
    /// The version that the order names.
    pub target: SoftwareVersion,
    /// The store's revision of the order.
    pub order: u64,
    /// The number of the state within the order. It rises with each change.
    pub step: u32,
    /// The stage.
    pub stage: RolloutStage,
    /// The probability with which a request that may begin anywhere goes to the target version, in thousandths.
    pub share_permille: u16,
    /// Why the stage or the share is what it is.
    pub reason: String,
    /// The time from the order to its deadline.
    pub duration: Duration,
    /// The time since the order, when this was written or sent.
    pub age: Duration,
    /// Requests sent to the target version until the state was decided, so that entries that all start anew know what
    /// is left of the allowance.
    pub sent_new: u64,
    /// Requests sent to all versions since the order until the state was decided.
    pub sent_all: u64,
    /// The time since the state was decided, when this was written or sent.
    pub decided_age: Duration,
    /// The Unix time of the write to the store in milliseconds, 0 if it is not known. Who reads the state adds the
    /// time that has passed since.
    #[serde(default)]
    pub written_ms: u64,
}

impl RolloutState {
    /// Returns the state as it is some time later.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        self.age = self.age.saturating_add(by);
        self.decided_age = self.decided_age.saturating_add(by);
        self
    }

    /// Returns the rank of the state: of two states of one service, the one with the higher rank is newer.
    pub fn rank(&self) -> (u64, bool, u32) {
        (self.order, self.stage.is_final(), self.step)
    }
}

/// What an entry reports about a roll-out that has not ended long ago.
#[data(Eq)]
pub struct RolloutNotice {
    /// The service.
    pub service: ServiceName,
    /// The store's revision of the order that the rest is about.
    pub order: u64,
    /// The newest state that the entry knows, `None` before the first one.
    pub state: Option<RolloutState>,
    /// What the entry has seen.
    pub evidence: RolloutEvidence,
    /// The time since the entry, or one whose messages arrive there, reached the store.
    pub contact_age: Duration,
    /// Why the entry holds the target version to be bad, `None` if it does not.
    pub verdict: Option<String>,
}
