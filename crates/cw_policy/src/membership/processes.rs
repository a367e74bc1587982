//! What entries tell of themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Time;
use cw_wire::ProcessState;

use super::ago;

/// How long an entry counts as live after its last word.
const LIVE_FOR: Duration = Duration::from_secs(180);

/// What entries tell of themselves.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    states: BTreeMap<HostId, (Time, ProcessState)>,
}

impl Processes {
    /// Takes what an entry said; older statements are ignored.
    pub fn on_state(&mut self, now: Time, state: &ProcessState) {
        let made = ago(now, state.age);
        let old = self.states.get(&state.host);
        if old.is_none_or(|(_, old)| old.sequence < state.sequence) {
            self.states
                .insert(state.host.clone(), (made, state.clone()));
        }
    }

    /// Forgets an entry that the host list no longer has.
    pub fn retain(&mut self, listed: impl Fn(&HostId) -> bool) {
        self.states.retain(|host, _| listed(host));
    }

    /// Returns the live entries with the age of their last word.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (Duration, &ProcessState)> {
        self.states
            .values()
            .map(move |(made, state)| (now.since(*made), state))
            .filter(|(age, _)| *age < LIVE_FOR)
    }

    /// Returns the live entries that cannot read `version` of `kind`.
    pub fn unable(&self, now: Time, kind: RecordKind, version: SchemaVersion) -> Vec<HostId> {
        let reads = |state: &ProcessState| state.schemas.get(&kind).is_some_and(|v| *v >= version);
        self.live(now)
            .filter(|(_, state)| !reads(state))
            .map(|(_, state)| state.host.clone())
            .collect()
    }

    /// Returns the lowest revision in force at a live entry.
    pub fn lowest(&self, now: Time) -> Option<Revision> {
        self.live(now).map(|(_, state)| state.revision).min()
    }
}
