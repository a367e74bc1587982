//! The crashes at which each suspect was in flight since it last ran on, and what follows from them.
//!
//! A suspect is a request, or a part of a prompt that requests share. A part that sound requests share is
//! cleared by each of them that runs on; a part that crashes targets never is.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;
use std::time::Duration;

use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::Suspect;

use super::lost_sends::LostSends;
use super::sound_parts::SoundParts;
use super::suspect_keys::SuspectKeys;
use crate::CrashId;

/// How long a crash is kept. A caller sends a request again for minutes at most.
const RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of crashes that are kept: three losses of all targets of the largest known fleet. Each has
/// the requests of one engine.
const MAX_CRASHES: usize = 1024;

/// The maximum number of suspects of one crash; a crash with more of them is ignored.
const MAX_SUSPECTS: usize = 1024;

/// The number of crashes from which a request is on probation. The third crash is the one from which the
/// platform's rules count, so the send before it is the first that has to be known of.
const PROBATION_CRASHES: usize = 2;

/// The weight of a crash that the request alone explains.
const FULL_WEIGHT: usize = 2;

/// The weight of a crash that something else may have caused. No crash weighs less, so the number of
/// crashes until a request is refused is bounded whatever they look like.
const LEAST_WEIGHT: usize = 1;

/// The weight from which a request is refused. It is reached at the third crash that the request alone
/// explains, and at the fifth of any kind. The platform's rules allow three sends after the third crash, so
/// one remains for an entry that learns of a crash late.
const REFUSING_WEIGHT: usize = 5;

/// The time between crashes of targets that were lost at the same moment. Entries find and announce most of
/// them within this time.
const NEAR_TIME: Duration = Duration::from_millis(300);

/// The number of occasions from which requests with a part of a prompt are on probation. Requests that share it would
/// wait for each other, so it is the last one before the part is refused.
///
/// Crashes within [`NEAR_TIME`] are one occasion: many requests share a part, and all of them are lost in a mass failure. Where
/// nothing else explains them, each crash is one until probation, since a group of requests would end as many targets
/// each time otherwise: no request with the part has run on, and none was in flight at all of the crashes.
const PART_PROBATION: usize = 4;

/// The number of occasions from which requests with a part are refused, unless something that they do not have
/// was in flight at all of the crashes. The platform's rules count the requests after the fifth.
const PART_REFUSING: usize = 5;

/// The number of occasions from which requests with a part are refused in any case. The rules allow three requests
/// after the fifth crash, so one remains for an entry that learns of a crash late.
const PART_LIMIT: usize = 7;

/// The same number for a part whose crashes nothing else explains. Its fifth crash may be one of a group, which is the
/// fourth occasion.
const LONE_PART_LIMIT: usize = 6;

/// The time from the last crash after which a refused part is tried again, and a refused request that was only lost at one
/// moment. One that was in flight by chance is cleared then, and is not refused for as long as crashes are kept.
const RETRIAL_TIME: Duration = Duration::from_secs(10);

/// A crash of a target, and the suspects that were in flight at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SuspectCrash {
    /// The identity of the crash.
    pub(super) id: CrashId,
    /// The availability zone of the target.
    pub(super) zone: ZoneId,
    /// When it happened.
    pub(super) at: Time,
    /// What was in flight.
    pub(super) lost: LostSends,
}

/// The standing of a request, by the crashes since it last ran on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It may be sent as any other.
    Clear,
    /// It may be sent only on trial: once at a time, over all entries.
    Probation,
    /// It is not sent any more.
    Refused,
}

/// The crashes at which requests were in flight since they last ran on.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectLedger {
    /// The crashes, numbered in the order of their arrival.
    crashes: BTreeMap<u64, SuspectCrash>,
    numbers: BTreeMap<CrashId, u64>,
    next_number: u64,
    /// The numbers and times of the crashes of each suspect, in the order of their arrival.
    by_suspect: BTreeMap<Suspect, Vec<(u64, Time)>>,
    /// The suspects with enough crashes for probation, so that the usual request is not compared with any.
    repeated: BTreeSet<Suspect>,
    /// The refused suspects that are tried again.
    retrials: BTreeSet<Suspect>,
    /// The parts with which a request has run on, whether they were in flight at a crash or not.
    sound: SoundParts,
}

impl SuspectLedger {
    /// Adds a crash, or the suspects of a known one that are not known yet. Returns whether anything in it
    /// is new.
    pub(super) fn record(&mut self, crash: SuspectCrash) -> bool {
        if crash.lost.suspects.len() > MAX_SUSPECTS {
            return false;
        }
        let number = self.number_of(&crash.id);
        let mut is_new = false;
        for suspect in &crash.lost.suspects {
            let numbers = self.by_suspect.entry(*suspect).or_default();
            if !numbers.iter().any(|(known, _)| *known == number) {
                numbers.push((number, crash.at));
                is_new = true;
                self.retrials.remove(suspect);
            }
        }
        let suspects = crash.lost.suspects.clone();
        match self.crashes.entry(number) {
            Entry::Vacant(vacant) => {
                vacant.insert(crash);
                is_new = true;
            }
            Entry::Occupied(mut known) => known.get_mut().lost.merge(&crash.lost),
        }
        for suspect in suspects {
            if !self.is_repeated(suspect) && self.occasions(suspect) >= probation_occasions(suspect)
            {
                self.repeated.insert(suspect);
            }
        }
        is_new
    }

    /// Records that a request has run on, so that it caused none of the crashes so far. Returns whether it
    /// was in flight at any.
    pub(super) fn clear(&mut self, suspect: Suspect) -> bool {
        self.repeated.remove(&suspect);
        self.retrials.remove(&suspect);
        let Some(numbers) = self.by_suspect.remove(&suspect) else {
            return false;
        };
        for (number, _) in numbers {
            if let Some(crash) = self.crashes.get_mut(&number) {
                crash.lost.remove(suspect);
            }
        }
        true
    }

    /// Records that a request has run on, so that the parts of its prompt do not crash targets.
    pub(super) fn record_sound(&mut self, suspect: Suspect) {
        if let Suspect::Part(part) = suspect {
            self.sound.insert(part);
        }
    }

    /// Returns the standing of a request, the worst one of its keys.
    pub(super) fn standing(&self, keys: &SuspectKeys) -> Standing {
        let standings = keys.iter().map(|suspect| self.standing_of(suspect, keys));
        standings.max().unwrap_or(Standing::Clear)
    }

    /// Returns what decides that a request is on probation: the part with the most crashes, or the request
    /// itself.
    pub(super) fn probation_suspect(&self, keys: &SuspectKeys) -> Option<Suspect> {
        let repeated = keys.iter().filter(|suspect| self.is_repeated(*suspect));
        repeated.max_by_key(|suspect| {
            let is_part = matches!(suspect, Suspect::Part(_));
            (is_part, self.occasions(*suspect))
        })
    }

    /// Returns whether a suspect is refused whatever else its requests have in common.
    pub(super) fn is_refused(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Request(_) => {
                self.weight(suspect) >= REFUSING_WEIGHT && !self.retrials.contains(&suspect)
            }
            Suspect::Part(_) => {
                let limit = match self.is_lone(suspect) {
                    true => LONE_PART_LIMIT,
                    false => PART_LIMIT,
                };
                self.occasions(suspect) >= limit
            }
        }
    }

    /// Returns whether nothing else explains the crashes of a part: no request with it has run on, and no request was in
    /// flight at all of them.
    fn is_lone(&self, part: Suspect) -> bool {
        let Suspect::Part(hash) = part else {
            return false;
        };
        let is_request = |other: &&Suspect| matches!(other, Suspect::Request(_));
        let mut crashes = self.crashes_of(part);
        let Some(first) = crashes.next().filter(|_| !self.sound.contains(hash)) else {
            return false;
        };
        let mut common: BTreeSet<&Suspect> =
            first.lost.suspects.iter().filter(is_request).collect();
        crashes.any(|crash| {
            common.retain(|other| crash.lost.suspects.contains(other));
            common.is_empty()
        })
    }

    /// Returns whether a suspect was in flight at enough crashes for probation.
    pub(super) fn is_repeated(&self, suspect: Suspect) -> bool {
        self.repeated.contains(&suspect)
    }

    fn standing_of(&self, suspect: Suspect, keys: &SuspectKeys) -> Standing {
        if !self.is_repeated(suspect) {
            return Standing::Clear;
        }
        let is_refused = self.is_refused(suspect)
            || matches!(suspect, Suspect::Part(_))
                && self.occasions(suspect) >= PART_REFUSING
                && !self.retrials.contains(&suspect)
                && !self.is_explained_without(suspect, keys);
        match is_refused {
            true => Standing::Refused,
            false => Standing::Probation,
        }
    }

    /// Returns whether something that a request does not have was in flight at all crashes of a part, so that
    /// it may be the cause instead.
    fn is_explained_without(&self, part: Suspect, keys: &SuspectKeys) -> bool {
        let mut crashes = self.crashes_of(part);
        let Some(first) = crashes.next() else {
            return false;
        };
        let others = first
            .lost
            .suspects
            .iter()
            .filter(|other| !keys.contains(other));
        let mut common: BTreeSet<Suspect> = others.copied().collect();
        for crash in crashes {
            common.retain(|other| crash.lost.suspects.contains(other));
        }
        !common.is_empty()
    }

    /// Returns whether a request may be on probation if its `undecided` last losses are crashes.
    pub(super) fn may_be_suspect(&self, keys: &SuspectKeys, undecided: usize) -> bool {
        let mut suspects = keys.iter();
        suspects.any(|suspect| self.occasions(suspect) + undecided >= probation_occasions(suspect))
    }

    /// Returns the number of crashes at which a request was in flight since it last ran on.
    pub(super) fn crash_count(&self, suspect: Suspect) -> usize {
        self.by_suspect.get(&suspect).map_or(0, Vec::len)
    }

    /// Returns the number of crashes that count for the standing of a suspect, no more than decide about it.
    fn occasions(&self, suspect: Suspect) -> usize {
        let crashes = self.by_suspect.get(&suspect).map_or(&[][..], Vec::as_slice);
        if crashes.len() < 2 || matches!(suspect, Suspect::Request(_)) {
            return crashes.len();
        }
        // The number up to which each crash is an occasion of its own.
        let singly = match self.is_lone(suspect) {
            true => PART_PROBATION,
            false => 1,
        };
        let mut count = 0;
        let mut began: Vec<Time> = Vec::new();
        for (_, at) in crashes {
            let is_same = began.iter().any(|began| is_near(*began, *at));
            if !is_same {
                began.push(*at);
            }
            if !is_same || count < singly {
                count += 1;
            }
            if count >= PART_LIMIT {
                break;
            }
        }
        count
    }

    /// Returns whether any request was in flight at enough crashes for probation.
    pub(super) fn has_repeated(&self) -> bool {
        !self.repeated.is_empty()
    }

    /// Returns the crashes that count against a request, each with its weight.
    pub(super) fn weighted_crashes(
        &self,
        suspect: Suspect,
    ) -> impl Iterator<Item = (&SuspectCrash, usize)> {
        let crashes = self.crashes_of(suspect);
        crashes.map(move |crash| (crash, self.weight_at(crash, suspect)))
    }

    /// Returns the weight of the crashes at which a request was in flight since it last ran on.
    pub(super) fn weight(&self, suspect: Suspect) -> usize {
        let crashes = self.weighted_crashes(suspect);
        crashes.map(|(_, weight)| weight).sum()
    }

    /// Returns how long a request is still refused by the evidence that there is. One that has no trial left
    /// is refused for as long as its last crash is kept.
    pub(super) fn refusal_time_left(&self, now: Time, keys: &SuspectKeys) -> Duration {
        let refused = keys
            .iter()
            .filter(|suspect| self.standing_of(*suspect, keys) == Standing::Refused);
        let left = refused.map(|suspect| match suspect {
            Suspect::Request(_) => self.request_time_left(now, suspect),
            Suspect::Part(_) => self.part_time_left(now, suspect),
        });
        left.max()
            .unwrap_or_else(|| self.last_crash_time_left(now, keys))
    }

    fn last_crash_time_left(&self, now: Time, keys: &SuspectKeys) -> Duration {
        let repeated = keys.iter().filter(|suspect| self.is_repeated(*suspect));
        let crashes = repeated.flat_map(|suspect| self.crashes_of(suspect));
        let last = crashes.map(|crash| crash.at).max();
        last.map_or(Duration::ZERO, |at| now.until(at + RETENTION))
    }

    fn part_time_left(&self, now: Time, part: Suspect) -> Duration {
        let crashes = self.crashes_of(part).map(|crash| crash.at);
        let Some(last) = crashes.max() else {
            return Duration::ZERO;
        };
        match self.is_refused(part) {
            true => now.until(last + RETENTION),
            false => now.until(last + RETRIAL_TIME),
        }
    }

    fn request_time_left(&self, now: Time, suspect: Suspect) -> Duration {
        if self.is_one_moment(suspect) {
            let last = self.crashes_of(suspect).map(|crash| crash.at).max();
            return last.map_or(Duration::ZERO, |at| now.until(at + RETRIAL_TIME));
        }
        let crashes = self.weighted_crashes(suspect);
        let mut weights: Vec<(Time, usize)> =
            crashes.map(|(crash, weight)| (crash.at, weight)).collect();
        weights.sort_unstable();
        let mut left: usize = weights.iter().map(|(_, weight)| *weight).sum();
        for (at, weight) in weights {
            if left < REFUSING_WEIGHT + weight {
                return now.until(at + RETENTION);
            }
            left -= weight;
        }
        Duration::ZERO
    }

    /// Returns the crashes that are kept, in the order of their arrival.
    pub(super) fn crashes(&self) -> impl DoubleEndedIterator<Item = &SuspectCrash> {
        self.crashes.values()
    }

    /// Returns what is known of a crash.
    pub(super) fn crash(&self, id: &CrashId) -> Option<&SuspectCrash> {
        self.crashes.get(self.numbers.get(id)?)
    }

    /// Returns how long crashes are kept.
    pub(super) fn retention() -> Duration {
        RETENTION
    }

    /// Removes the crashes whose retention time is over, and lets refused parts be tried again.
    pub(super) fn expire(&mut self, now: Time) {
        self.start_retrials(now);
        while let Some((_, oldest)) = self.crashes.first_key_value() {
            if now.since(oldest.at) <= RETENTION {
                return;
            }
            self.remove_oldest();
        }
    }

    fn start_retrials(&mut self, now: Time) {
        let is_due = |suspect: &Suspect| {
            let last = self.crashes_of(*suspect).map(|crash| crash.at).max();
            last.is_some_and(|at| now.since(at) >= RETRIAL_TIME)
        };
        let may_be_tried = |suspect: &Suspect| match suspect {
            Suspect::Part(_) => true,
            Suspect::Request(_) => self.is_one_moment(*suspect),
        };
        let suspects = self.repeated.iter().copied();
        let due = suspects.filter(|suspect| is_due(suspect) && may_be_tried(suspect));
        let due: Vec<Suspect> = due.collect();
        self.retrials.extend(due);
    }

    fn crashes_of(&self, suspect: Suspect) -> impl Iterator<Item = &SuspectCrash> {
        let numbers = self.by_suspect.get(&suspect).into_iter().flatten();
        numbers.filter_map(|(number, _)| self.crashes.get(number))
    }

    fn weight_at(&self, crash: &SuspectCrash, suspect: Suspect) -> usize {
        match self.is_explained_by(crash, suspect) && !self.is_together(crash, suspect) {
            true => FULL_WEIGHT,
            false => LEAST_WEIGHT,
        }
    }

    /// Returns whether all crashes of a request happened together, so that one cause may explain them. It is sent once at a time
    /// after that, and each further crash is one of a send after a loss.
    fn is_one_moment(&self, request: Suspect) -> bool {
        let crashes = self.crashes_of(request);
        let singly = crashes.filter(|crash| !self.is_together(crash, request));
        singly.count() == 1
    }

    /// Returns whether a target with the request crashed at about the same time as another one before, and the request ran at
    /// both side by side. One cause may have ended both, so that they explain no more together than one does. A request that is
    /// sent again after a loss shows something with each crash.
    fn is_together(&self, crash: &SuspectCrash, suspect: Suspect) -> bool {
        let is_repeat = |crash: &SuspectCrash| crash.lost.repeats.contains(&suspect);
        let order = |crash: &SuspectCrash| (crash.at, crash.id.clone());
        let mut others = self.crashes_of(suspect);
        !is_repeat(crash)
            && others.any(|other| {
                is_near(other.at, crash.at) && !is_repeat(other) && order(other) < order(crash)
            })
    }

    /// Returns whether nothing but a request explains a crash: no other one that was in flight has been lost
    /// as often, and no target that did not run it crashed at about the same time. The parts of its prompt were
    /// in flight whenever it was, so they say nothing.
    fn is_explained_by(&self, crash: &SuspectCrash, suspect: Suspect) -> bool {
        let count = self.crash_count(suspect);
        let is_other =
            |other: &&Suspect| **other != suspect && matches!(other, Suspect::Request(_));
        let mut others = crash.lost.suspects.iter().filter(is_other);
        let is_only_one = others.all(|other| self.crash_count(*other) < count);
        let crashes = self.crashes.values();
        let mut near = crashes.filter(|other| is_near(other.at, crash.at));
        is_only_one && near.all(|other| other.lost.suspects.contains(&suspect))
    }

    /// Returns the number of a crash, a new one if the crash is not known yet.
    fn number_of(&mut self, id: &CrashId) -> u64 {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.make_room();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(id.clone(), number);
        number
    }

    /// Removes the oldest crash at which no request was in flight that has crashed other targets too. The loss
    /// of hundreds of targets must not displace the evidence against a few requests.
    fn make_room(&mut self) {
        let is_repeated = |suspect: &Suspect| self.repeated.contains(suspect);
        let mut crashes = self.crashes.iter();
        let single = crashes.find(|(_, crash)| !crash.lost.suspects.iter().any(is_repeated));
        match single.map(|(number, _)| *number) {
            Some(number) => self.remove(number),
            None => self.remove_oldest(),
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(number) = self.crashes.keys().next().copied() {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u64) {
        let Some(crash) = self.crashes.remove(&number) else {
            return;
        };
        self.numbers.remove(&crash.id);
        for suspect in crash.lost.suspects {
            if let Some(numbers) = self.by_suspect.get_mut(&suspect) {
                numbers.retain(|(other, _)| *other != number);
                if numbers.is_empty() {
                    self.by_suspect.remove(&suspect);
                }
            }
            if self.occasions(suspect) < probation_occasions(suspect) {
                self.repeated.remove(&suspect);
            }
        }
    }
}

/// Returns whether crashes at these times may be one loss of several targets.
fn is_near(one: Time, other: Time) -> bool {
    one.since(other) <= NEAR_TIME && other.since(one) <= NEAR_TIME
}

/// Returns the number of occasions from which a suspect is on probation.
fn probation_occasions(suspect: Suspect) -> usize {
    match suspect {
        Suspect::Request(_) => PROBATION_CRASHES,
        Suspect::Part(_) => PART_PROBATION,
    }
}
