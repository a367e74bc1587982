//! The states that entries send of themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_wire::ProcessState;

use super::ago;

/// How long an entry counts as live after its last state.
const LIVE_TIMEOUT: Duration = Duration::from_secs(180);

/// The age from which any other state replaces the known one, whatever its sequence number:
/// sequence numbers come from a wall clock, which may be set back.
const SEQUENCE_RESET_AGE: Duration = Duration::from_secs(45);

/// The newest state of every entry, as sent by the entry itself.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    states: BTreeMap<HostId, (Time, ProcessState)>,
}

impl Processes {
    /// Stores the state of an entry. A state that does not have a higher sequence number than the
    /// known one is ignored, unless the known one is outdated.
    pub fn on_state(&mut self, now: Time, state: &ProcessState) {
        let made = ago(now, state.age);
        let old = self.states.get(&state.host);
        let is_outdated = |at: Time| now.since(at) >= SEQUENCE_RESET_AGE;
        if old.is_none_or(|(at, old)| old.sequence < state.sequence || is_outdated(*at)) {
            self.states
                .insert(state.host.clone(), (made, state.clone()));
        }
    }

    /// Removes the entries for whose host `listed` returns false.
    pub fn retain(&mut self, listed: impl Fn(&HostId) -> bool) {
        self.states.retain(|host, _| listed(host));
    }

    /// Returns the states of the live entries with their age.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (Duration, &ProcessState)> {
        self.states
            .values()
            .map(move |(made, state)| (now.since(*made), state))
            .filter(|(age, _)| *age < LIVE_TIMEOUT)
    }
}
