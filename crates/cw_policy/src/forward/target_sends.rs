//! The requests that this entry has sent to each target and that may still run there.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Suspect;

use super::lost_sends::LostSends;
use super::suspect_keys::SuspectKeys;
use crate::CurrentIncarnation;
use crate::IncarnationOrder;

/// How long a send that ended without an answer is kept. By then the directory has removed a target
/// that stopped.
const UNANSWERED_TTL: Duration = Duration::from_secs(6);

/// Identifies a send of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendId(u64);

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The target answered, and so did not crash under the request.
    Answered,
    /// The target's answer is missing or incomplete.
    Unanswered,
    /// The request did not reach the target.
    NotSent,
}

/// A send in flight.
#[derive(Clone, Debug)]
struct Send {
    keys: SuspectKeys,
    sent_at: Time,
    /// Whether the request had been lost at another target when it was sent.
    is_repeat: bool,
    /// Whether the request has run past the moment at which one that crashes its target ends it.
    ran_on: bool,
}

/// The sends to one incarnation of a target. Nothing of it applies to a later one.
#[derive(Clone, Debug, Default)]
struct IncarnationSends {
    incarnation: CurrentIncarnation,
    in_flight: BTreeMap<SendId, Send>,
    /// The sends that ended without an answer, after which the target has not answered any other
    /// send.
    unanswered: BTreeMap<SendId, UnansweredSend>,
}

/// A send that ended without an answer.
#[derive(Clone, Debug)]
struct UnansweredSend {
    keys: SuspectKeys,
    is_repeat: bool,
    ended_at: Time,
}

/// The sends to each target that may be the cause if the target crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetSends {
    next: u64,
    targets: BTreeMap<TargetId, IncarnationSends>,
}

impl TargetSends {
    /// Records that a request is sent to an incarnation of a target.
    pub(super) fn record_send(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        keys: SuspectKeys,
        is_repeat: bool,
    ) -> SendId {
        let id = SendId(self.next);
        self.next += 1;
        let sends = self.targets.entry(target.clone()).or_default();
        let send = Send {
            keys,
            sent_at: now,
            is_repeat,
            ran_on: false,
        };
        match sends.incarnation.observe(incarnation) {
            IncarnationOrder::Same => {}
            IncarnationOrder::Later => {
                sends.in_flight.clear();
                sends.unanswered.clear();
            }
            IncarnationOrder::Earlier => return id,
        }
        sends.in_flight.insert(id, send);
        id
    }

    /// Records the end of a send. A send to an earlier incarnation of the target is ignored.
    pub(super) fn record_end(&mut self, now: Time, target: &TargetId, id: SendId, end: SendEnd) {
        let Some(sends) = self.targets.get_mut(target) else {
            return;
        };
        let Some(send) = sends.in_flight.remove(&id) else {
            return;
        };
        match end {
            SendEnd::Answered => {
                let unanswered = &mut sends.unanswered;
                unanswered.retain(|_, other| other.ended_at > send.sent_at);
            }
            SendEnd::Unanswered if !send.ran_on => {
                let unanswered = UnansweredSend {
                    keys: send.keys,
                    is_repeat: send.is_repeat,
                    ended_at: now,
                };
                sends.unanswered.insert(id, unanswered);
            }
            SendEnd::Unanswered | SendEnd::NotSent => {}
        }
        if sends.in_flight.is_empty() && sends.unanswered.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Records that a request has run on at a target, which does not crash under it any more.
    pub(super) fn record_run_on(&mut self, target: &TargetId, id: SendId) {
        let sends = self.targets.get_mut(target);
        if let Some(send) = sends.and_then(|sends| sends.in_flight.get_mut(&id)) {
            send.ran_on = true;
        }
    }

    /// Returns the targets that may crash under a suspect of this kind.
    pub(super) fn targets_of(
        &self,
        is_of_kind: impl Fn(Suspect) -> bool,
    ) -> impl Iterator<Item = &TargetId> {
        let has_any = move |sends: &IncarnationSends| {
            let mut running = sends.in_flight.values().filter(|send| !send.ran_on);
            running.any(|send| send.keys.iter().any(&is_of_kind))
        };
        let targets = self.targets.iter();
        targets
            .filter(move |(_, sends)| has_any(sends))
            .map(|(target, _)| target)
    }

    /// Records that a target is up, so that no send that ended before has crashed it.
    pub(super) fn record_alive(&mut self, target: &TargetId) {
        if let Some(sends) = self.targets.get_mut(target) {
            sends.unanswered.clear();
        }
    }

    /// Returns whether a send of a request ended without an answer, after which its target has not answered any other.
    pub(super) fn has_unanswered(&self, request: Suspect) -> bool {
        let mut unanswered = (self.targets.values()).flat_map(|sends| sends.unanswered.values());
        unanswered.any(|send| send.keys.contains(&request))
    }

    /// Removes and returns the sends that may have crashed an incarnation of a target: those that were in flight there
    /// and had not run on.
    pub(super) fn take_lost(&mut self, target: &TargetId, incarnation: Incarnation) -> LostSends {
        let mut lost = LostSends::default();
        match self.targets.get(target) {
            Some(sends) if sends.incarnation.get() == incarnation => {}
            _ => return lost,
        }
        let sends = self.targets.remove(target).unwrap_or_default();
        let in_flight = sends.in_flight.into_values().filter(|send| !send.ran_on);
        let in_flight = in_flight.map(|send| (send.keys, send.is_repeat));
        let unanswered = sends.unanswered.into_values();
        let unanswered = unanswered.map(|send| (send.keys, send.is_repeat));
        for (keys, is_repeat) in in_flight.chain(unanswered) {
            for suspect in keys.iter() {
                let is_request = matches!(suspect, Suspect::Request(_));
                lost.insert(suspect, is_repeat && is_request);
            }
        }
        lost
    }

    /// Drops the ends that are too old to be the cause of a crash that is found now.
    pub(super) fn expire(&mut self, now: Time) {
        self.targets.retain(|_, sends| {
            let unanswered = &mut sends.unanswered;
            unanswered.retain(|_, send| now.since(send.ended_at) <= UNANSWERED_TTL);
            !(sends.in_flight.is_empty() && sends.unanswered.is_empty())
        });
    }
}
