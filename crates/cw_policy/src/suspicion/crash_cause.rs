//! Decides which crashes count as evidence against a request: those that it most probably caused,
//! and not those of a mass failure.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::Fingerprint;

use super::Crash;
use super::SuspicionTable;

/// The time within which the crashes of targets that failed together are found at one entry. A
/// request that is lost, sent again and lost again takes longer.
const SAME_LOSS_TIME: Duration = Duration::from_millis(30);

/// The time without crashes before a mass failure that is not sudden, in mass windows. Targets that were
/// lost together take about as long to come back, and cannot be lost again before.
const QUIET_WINDOWS: u32 = 2;

/// The number of other targets of one zone that are lost at the same moment when several zones are
/// lost. Crashes that have nothing to do with each other are scattered over the zones.
const MIN_ZONE_TARGETS: usize = 2;

/// The number of targets at which a request is lost one after the other in the loss of one zone: the
/// one that it ran at, and one that is not known to have failed yet.
const MAX_MASS_LOSSES: usize = 2;

/// The most probable cause of a crash, from the point of view of one request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashCause {
    /// This request.
    This,
    /// This request or another one, with the same probability.
    OneOfSeveral,
    /// Another request.
    Another,
}

impl SuspicionTable {
    /// Returns whether a crash counts as evidence against a request that was in flight.
    pub(super) fn counts(&self, crash: &Crash, request: Fingerprint) -> bool {
        let number = self.numbers.get(&crash.id);
        let settled = number.and_then(|number| self.settled.get(number));
        settled.is_some_and(|suspects| suspects.contains(&request))
            || !self.is_mass_failure(crash, request)
    }

    /// Returns whether a crash is part of a mass failure, which no request causes: several targets
    /// crashed at about the same time, in the zone of this one or in several other zones, and
    /// nothing shows that requests crashed them.
    ///
    /// Crashes at which `request` was in flight are left out, since a request that comes several times
    /// at once crashes several targets by itself.
    fn is_mass_failure(&self, crash: &Crash, request: Fingerprint) -> bool {
        !self.is_lost_repeatedly(crash, request)
            && self.may_be_mass_failure(crash, request)
            && self.is_start_of_loss(crash, request)
    }

    /// Returns whether enough other targets, in the zone of a crash or in several zones, crashed at
    /// about the same time. For a request with earlier evidence against it, all must be in that zone.
    fn may_be_mass_failure(&self, crash: &Crash, request: Fingerprint) -> bool {
        let window = self.limits.mass_window;
        let others = self.other_crashes(crash, request);
        let near: Vec<&Crash> = others
            .filter(|other| is_within(other, crash, window) && !self.is_explained(other))
            .collect();
        let in_zone: Vec<&Crash> = (near.iter().copied())
            .filter(|other| other.zone == crash.zone)
            .collect();
        let least = self.limits.mass_targets - 1;
        if count_targets(&in_zone) >= least {
            return true;
        }
        let at_once = in_zone.iter().copied();
        let at_once: Vec<&Crash> = at_once
            .filter(|other| is_within(other, crash, window / 2))
            .collect();
        count_targets(&at_once) >= MIN_ZONE_TARGETS
            && count_targets(&near) >= least
            && !self.has_settled_evidence(request)
    }

    /// Returns whether an earlier crash counts against a request, for good.
    fn has_settled_evidence(&self, request: Fingerprint) -> bool {
        let numbers = self.by_request.get(&request).into_iter().flatten();
        numbers
            .filter_map(|number| self.settled.get(number))
            .any(|suspects| suspects.contains(&request))
    }

    /// Returns whether the crashes in the zone of a crash began within the window before it, after a
    /// time without any. A zone is lost at one moment, so crashes that go on for longer have causes
    /// that come again.
    fn is_start_of_loss(&self, crash: &Crash, request: Fingerprint) -> bool {
        let window = self.limits.mass_window;
        let quiet = window * QUIET_WINDOWS;
        let earlier = self.other_crashes(crash, request).filter(|other| {
            other.zone == crash.zone
                && other.at <= crash.at
                && is_within(other, crash, window + quiet)
        });
        let mut times: Vec<Time> = earlier.map(|other| other.at).collect();
        times.sort_unstable();
        let mut began = crash.at;
        for at in times.into_iter().rev() {
            if began.since(at) > quiet {
                break;
            }
            began = at;
        }
        crash.at.since(began) <= window
    }

    /// Returns whether a request was lost at so many targets one after the other, up to this one, that
    /// no mass failure can be the reason.
    fn is_lost_repeatedly(&self, crash: &Crash, request: Fingerprint) -> bool {
        let window = self.limits.mass_window;
        let crashes = self.crashes_of(request);
        is_repeat(crashes.filter(|other| other.at <= crash.at && is_within(other, crash, window)))
    }

    /// Returns the crashes of other targets at which `request` was not in flight.
    fn other_crashes(&self, crash: &Crash, request: Fingerprint) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(move |other| {
            other.id.target != crash.id.target && !other.suspects.contains(&request)
        })
    }

    /// Returns whether a request explains a crash: it was in flight at this one and, one after the
    /// other, at so many others near it that it is their cause.
    fn is_explained(&self, crash: &Crash) -> bool {
        let span = self.limits.mass_window * 2;
        crash.suspects.iter().any(|suspect| {
            let crashes = self.crashes_of(*suspect);
            is_repeat(crashes.filter(|other| is_within(other, crash, span)))
        })
    }

    /// Returns whether a request that was in flight at a crash is its most probable cause: the one
    /// that was in flight at the most crashes.
    pub(super) fn cause(&self, crash: &Crash, request: Fingerprint) -> CrashCause {
        let own = self.crashes_of(request).count();
        let others = crash.suspects.iter().filter(|other| **other != request);
        let most = others.map(|other| self.crashes_of(*other).count()).max();
        match most.map_or(Ordering::Less, |most| most.cmp(&own)) {
            Ordering::Less => CrashCause::This,
            Ordering::Equal => CrashCause::OneOfSeveral,
            Ordering::Greater => CrashCause::Another,
        }
    }

    pub(super) fn crashes_of(&self, request: Fingerprint) -> impl Iterator<Item = &Crash> {
        let numbers = self.by_request.get(&request).into_iter().flatten();
        numbers.filter_map(|number| self.crashes.get(number))
    }
}

/// Returns whether two crashes happened within a time of each other.
fn is_within(one: &Crash, other: &Crash, time: Duration) -> bool {
    one.at.since(other.at) <= time && other.at.since(one.at) <= time
}

fn count_targets(crashes: &[&Crash]) -> usize {
    let targets = crashes.iter().map(|crash| &crash.id.target);
    targets.collect::<BTreeSet<&TargetId>>().len()
}

/// Returns whether the crashes of a request within a short time are too many for losses of zones,
/// each of which fails once.
fn is_repeat<'a>(crashes: impl Iterator<Item = &'a Crash>) -> bool {
    let crashes: Vec<&Crash> = crashes.collect();
    let zones: BTreeSet<&ZoneId> = crashes.iter().map(|crash| &crash.zone).collect();
    let mut times: Vec<Time> = crashes.iter().map(|crash| crash.at).collect();
    times.sort_unstable();
    times.dedup_by(|later, earlier| later.since(*earlier) < SAME_LOSS_TIME);
    times.len() > zones.len().max(MAX_MASS_LOSSES)
}
