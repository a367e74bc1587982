//! What a decision about a roll-out depends on, and what to do next.

use std::time::Duration;

use cw_types::SoftwareVersion;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;

/// What a decision about a roll-out depends on, beside the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutInputs {
    /// Targets of the ordered version that take requests.
    pub active_new: usize,
    /// Targets of all other versions of the service that take requests.
    pub active_old: usize,
    /// The time that the runs of the service need to end, as learned.
    pub run_time: Duration,
    /// Whether this entry reaches the store.
    pub store_reachable: bool,
    /// Whether this entry decides for all.
    pub is_decider: bool,
}

/// What to do next about a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing.
    Stay,
    /// Write the state to the store, under the condition that the one there is the one that is known. Once the store
    /// has it, [`super::Rollouts::receive_state`] puts it into force.
    Write(RolloutState),
    /// This entry sends nothing new to the target version until another state comes.
    Retreat,
}

/// What an operator sees of a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// The store's revision of the order.
    pub order: u64,
    /// The version of the order.
    pub target: SoftwareVersion,
    /// The stage, `None` before the first state.
    pub stage: Option<RolloutStage>,
    /// The share that is in force at this entry, from 0 to 1.
    pub share: f64,
    /// Requests that all entries have sent to the target version.
    pub sent_new: u64,
    /// Requests that all entries have sent to the service since the order.
    pub sent_all: u64,
    /// Requests that a bad version may get until the deadline.
    pub allowance: u64,
    /// Answers of the target version to all entries, failed ones included.
    pub answers_new: u64,
    /// The ones of these that failed.
    pub failures_new: u64,
    /// Answers of the other versions to all entries, failed ones included.
    pub answers_old: u64,
    /// The ones of these that failed.
    pub failures_old: u64,
    /// The strongest evidence against the target version. It is held to be bad from 13.8.
    pub evidence: f64,
    /// Runs in progress at other versions, at all entries.
    pub runs_old: u64,
    /// The time since the newest evidence of another entry.
    pub evidence_age: Option<Duration>,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// Whether this entry has gone back by itself, and why.
    pub retreat: Option<String>,
}
