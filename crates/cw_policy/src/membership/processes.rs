//! What entries tell of themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_wire::ProcessState;

use super::ago;

/// How long an entry counts as live after its last word.
const LIVE_FOR: Duration = Duration::from_secs(180);

/// The age of a statement from which on any other replaces it: the number of a statement comes
/// from a wall clock, which may be set back.
const OLD: Duration = Duration::from_secs(45);

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
        let is_old = |at: Time| now.since(at) >= OLD;
        if old.is_none_or(|(at, old)| old.sequence < state.sequence || is_old(*at)) {
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
}
