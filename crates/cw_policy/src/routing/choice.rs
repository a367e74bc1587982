//! The outcome of a decision.

use cw_types::TargetId;
use cw_types::Time;
use rand::Rng;

use super::DispatchLog;
use super::Policy;
use super::RouteRequest;
use super::TargetIndex;
use crate::View;

/// What to do with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this target.
    Target(TargetId),
    /// Every target that could run it is closed after a refusal: decide again at `until`.
    Wait {
        /// The earliest time at which one of them may be tried again.
        until: Time,
    },
    /// No live target can run it.
    NoTarget,
}

/// Chooses a target by the default policy, with a [`TargetIndex`] made for this one decision.
pub fn choose(
    now: Time,
    view: &View,
    request: &RouteRequest,
    dispatches: &DispatchLog,
    rng: &mut impl Rng,
) -> Choice {
    TargetIndex::new(view).choose(now, Policy::default(), request, dispatches, rng)
}
