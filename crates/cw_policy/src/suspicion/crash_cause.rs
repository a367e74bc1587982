//! Decides which crashes count as evidence against a request: those that it most probably caused,
//! and not those of a mass failure.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::Fingerprint;

use super::Crash;
use super::CrashId;
use super::SuspicionTable;
use super::suspicion_table::Responses;

/// The time within which the crashes of targets that failed together are found at one entry. A
/// request that is lost, sent again and lost again takes longer.
const SAME_LOSS_TIME: Duration = Duration::from_millis(30);

/// The pauses without crashes in a mass window that separate a sudden loss from crashes before it.
const SERIES_PAUSES: u32 = 4;

/// The time without crashes before a mass failure that is not sudden, in mass windows. Targets that were
/// lost together take about as long to come back, and cannot be lost again before.
const QUIET_WINDOWS: u32 = 2;

/// The number of targets of a zone that may be lost for each one that goes on to respond, if the zone
/// itself is not lost. A loss spares few targets, and an entry knows only those that it uses.
const MAX_LOST_PER_SURVIVOR: usize = 2;

/// The number of other targets of one zone that are lost at the same moment when several zones are
/// lost. Crashes that have nothing to do with each other are scattered over the zones.
const MIN_ZONE_TARGETS: usize = 2;

/// The number of targets that respond to this entry and are lost in a sudden loss. What it knows of
/// one target alone says little.
const MIN_ACTIVE_LOST: usize = 2;

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
            && (self.is_sudden_without(crash, request)
                || self.may_be_mass_failure(crash, request)
                    && self.is_start_of_loss(crash, request))
            && !self.is_isolated(&crash.id)
    }

    /// Returns the crashes around a new one if they are a sudden loss: most of the targets that were
    /// responding, in the zone of the crash or in all zones, crashed at the same moment. Requests that
    /// crash targets hit one after the other, so this is a loss even if another one was a second ago.
    pub(super) fn find_sudden_loss(&self, crash: &Crash) -> Vec<CrashId> {
        if self.is_in_series(crash) {
            return Vec::new();
        }
        let at_once = self.crashes.values();
        let at_once = at_once.filter(|other| is_within(other, crash, SAME_LOSS_TIME));
        let at_once: Vec<&Crash> = at_once.collect();
        let mut found = Vec::new();
        for zone in [Some(&crash.zone), None] {
            let active = self.active_targets(crash.at, zone);
            let in_scope = at_once.iter().copied();
            let in_scope: Vec<&Crash> = in_scope
                .filter(|other| zone.is_none_or(|zone| other.zone == *zone))
                .collect();
            let lost = in_scope.iter().copied();
            let lost = lost.filter(|other| active.contains(&other.id.target));
            let count = count_targets(&lost.collect::<Vec<&Crash>>());
            // Other entries tell of targets that do not respond to this one.
            let is_mass = count_targets(&in_scope) >= self.limits.mass_targets;
            if is_mass && count >= MIN_ACTIVE_LOST && 2 * count > active.len() {
                found.extend(in_scope.iter().map(|lost| lost.id.clone()));
            }
        }
        found
    }

    /// Returns whether a crash is one of a sudden loss, and enough of the others have nothing to do
    /// with a request.
    fn is_sudden_without(&self, crash: &Crash, request: Fingerprint) -> bool {
        let others = self.other_crashes(crash, request);
        let lost: Vec<&Crash> = others
            .filter(|other| is_within(other, crash, SAME_LOSS_TIME))
            .filter(|other| self.is_sudden_loss(&other.id))
            .collect();
        self.is_sudden_loss(&crash.id) && count_targets(&lost) >= self.limits.mass_targets - 1
    }

    /// Returns whether targets have been crashing one after the other until a crash.
    fn is_in_series(&self, crash: &Crash) -> bool {
        let pause = self.limits.mass_window / SERIES_PAUSES;
        self.crashes.values().any(|other| {
            let before = crash.at.since(other.at);
            SAME_LOSS_TIME < before && before <= pause
        })
    }

    /// Returns the targets of a zone, or of all zones, that have responded shortly before `at` and
    /// have not crashed between.
    fn active_targets(&self, at: Time, zone: Option<&ZoneId>) -> BTreeSet<&TargetId> {
        let earlier = self.crashes.values().filter(|crash| crash.at < at);
        let crashed_at: BTreeMap<&TargetId, Time> = earlier
            .filter(|crash| at.since(crash.at) > SAME_LOSS_TIME)
            .map(|crash| (&crash.id.target, crash.at))
            .collect();
        let is_active = |target: &TargetId, responses: &Responses| {
            at.since(responses.last) <= self.limits.mass_window
                && crashed_at.get(target).is_none_or(|at| *at < responses.last)
        };
        let zones = self.responses.iter();
        zones
            .filter(|(other, _)| zone.is_none_or(|zone| zone == *other))
            .flat_map(|(_, targets)| targets)
            .filter(|(target, responses)| is_active(target, responses))
            .map(|(target, _)| target)
            .collect()
    }

    /// Returns whether so many targets in the zone of a crash responded both before and after it that
    /// the zone was not lost. After a sudden loss, only those that did not end meanwhile show that.
    pub(super) fn has_survivors(&self, crash: &Crash) -> bool {
        let window = self.limits.mass_window;
        let in_zone = self
            .crashes
            .values()
            .filter(|other| other.zone == crash.zone && is_within(other, crash, window));
        let lost: BTreeSet<&TargetId> = in_zone.map(|other| &other.id.target).collect();
        let is_sudden = self.is_sudden_loss(&crash.id);
        let targets = self.responses.get(&crash.zone).into_iter().flatten();
        let survivors = targets.filter(|(target, responses)| {
            let first = match is_sudden {
                true => responses.incarnation.1,
                false => responses.first,
            };
            first < crash.at && responses.last > crash.at && !lost.contains(target)
        });
        survivors.count() * MAX_LOST_PER_SURVIVOR >= lost.len()
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
    /// that may have caused the most crashes.
    pub(super) fn cause(&self, crash: &Crash, request: Fingerprint) -> CrashCause {
        let own = self.probable_crashes(request);
        let others = crash.suspects.iter().filter(|other| **other != request);
        let most = others.map(|other| self.probable_crashes(*other)).max();
        match most.map_or(Ordering::Less, |most| most.cmp(&own)) {
            Ordering::Less => CrashCause::This,
            Ordering::Equal => CrashCause::OneOfSeveral,
            Ordering::Greater => CrashCause::Another,
        }
    }

    /// Returns the number of crashes at which a request was in flight and none had been sent to the
    /// target after it. A request crashes its target when it begins to run.
    fn probable_crashes(&self, request: Fingerprint) -> usize {
        let crashes = self.crashes_of(request);
        crashes
            .filter(|crash| self.was_sent_last(crash, request))
            .count()
    }

    /// Returns whether no request is known to have been sent to the target of a crash after this
    /// one.
    fn was_sent_last(&self, crash: &Crash, request: Fingerprint) -> bool {
        let Some(ages) = self.send_ages.get(&crash.id) else {
            return true;
        };
        let own = ages.get(&request);
        own.is_none_or(|own| ages.values().all(|other| other >= own))
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
