//! Copies of a run's cache memory at another engine.

use std::net::SocketAddr;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::Fleet;

/// How long a target gets no call about copies after one that it did not answer with a complete answer. The streams of
/// one target are many, and each would ask it again while bytes without end fill the link of the entry.
const CALL_PAUSE: Duration = Duration::from_secs(2);

/// The name of a copy among the engines: an address and a name at that address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyName {
    /// The address of the engine that assigned the name.
    pub address: SocketAddr,
    /// The name that this engine assigned.
    pub name: String,
}

/// A copy of a run's cache memory at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine that keeps the copy.
    pub keeper: TargetId,
    /// When the copy was started. An instance of the keeper that starts later does not have it.
    pub since: Time,
    /// The name of the copy. It is `None` when the copy is replicated as the run proceeds, since it
    /// then has the id of the run.
    pub name: Option<CopyName>,
}

impl Fleet {
    /// Records that a target gave no complete answer to a call about a copy.
    pub fn record_copy_failure(&mut self, now: Time, id: &TargetId) {
        if let Some(member) = self.members.get_mut(id) {
            member.copy_calls_from = now + CALL_PAUSE;
        }
    }

    /// Returns whether a target gets calls about copies now.
    pub fn takes_copy_calls(&self, now: Time, id: &TargetId) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.copy_calls_from <= now)
    }

    /// Returns whether the keeper of a copy is usable and not suspected lost with its zone.
    pub fn has_copy(&self, now: Time, copy: &RunCopy) -> bool {
        self.may_have_copy(now, copy)
            && self
                .members
                .get(&copy.keeper)
                .is_some_and(|member| !self.is_zone_suspect(now, member))
    }

    /// Returns whether the keeper of a copy is usable and has not restarted since the copy was
    /// started.
    pub fn may_have_copy(&self, now: Time, copy: &RunCopy) -> bool {
        self.is_usable(now, &copy.keeper)
            && self
                .members
                .get(&copy.keeper)
                .is_some_and(|member| member.listed_at <= copy.since)
    }
}
