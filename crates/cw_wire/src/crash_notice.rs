//! Crashes of targets, as forwarding entries announce them to each other and persist them.

use std::time::Duration;

use cw_macro::data;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::ZoneId;

use crate::Fingerprint;
use crate::PartHash;

/// A crash of a target, and the requests that were in flight at it as far as the sender knows.
#[data(Eq)]
pub struct CrashNotice {
    /// The target that crashed.
    pub target: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The incarnation of the target that crashed.
    pub incarnation: Incarnation,
    /// The time from the crash to this message.
    pub age: Duration,
    /// The requests that were in flight.
    pub suspects: Vec<Fingerprint>,
    /// Those of them that the sender sent there only after they had been lost at another target. Entries of earlier versions
    /// do not tell them.
    #[serde(default)]
    pub repeats: Vec<Fingerprint>,
    /// The parts of their prompts that other requests may share. Entries of earlier versions do not tell them.
    #[serde(default)]
    pub parts: Vec<PartHash>,
}

/// What an entry has learned of requests that crash targets.
#[data(Default, Eq)]
#[serde(default)]
pub struct CrashNews {
    /// The crashes.
    pub crashes: Vec<CrashNotice>,
    /// The suspected requests that have run on.
    pub cleared: Vec<Fingerprint>,
    /// The suspected parts of prompts of which a request has run on.
    pub cleared_parts: Vec<PartHash>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.cleared_parts.is_empty()
    }
}
