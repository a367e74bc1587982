//! Copies of a run's memory at another engine.

use std::net::SocketAddr;

use cw_types::TargetId;
use cw_types::Time;

use super::Fleet;

/// How engines name a copy: by an address and a name there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyName {
    /// The engine whose name it is.
    pub address: SocketAddr,
    /// The name.
    pub name: String,
}

/// A copy of a run's memory at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine that keeps it.
    pub keeper: TargetId,
    /// When it was begun: a later life of the keeper does not have it.
    pub since: Time,
    /// What it is called; `None` when it is sent on as the run grows, and has the run's own id.
    pub name: Option<CopyName>,
}

impl Fleet {
    /// Returns whether the keeper of a copy surely lives on.
    pub fn has_copy(&self, now: Time, copy: &RunCopy) -> bool {
        self.may_have_copy(now, copy)
            && self
                .members
                .get(&copy.keeper)
                .is_some_and(|member| !self.is_unproven(now, member))
    }

    /// Returns whether the keeper of a copy may live on.
    pub fn may_have_copy(&self, now: Time, copy: &RunCopy) -> bool {
        self.is_usable(now, &copy.keeper)
            && self
                .members
                .get(&copy.keeper)
                .is_some_and(|member| member.listed <= copy.since)
    }
}
