//! The recent crashes and the requests that were in flight at them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::collections::btree_map::Entry;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;

use super::CrashSuspicion;
use super::SuspicionLimits;
use super::crash_cause::CrashCause;
use crate::TargetView;
use crate::View;

/// The time without responses after which a target is no longer known to run, in mass windows.
const MAX_SILENT_WINDOWS: u32 = 5;

/// Identifies one crash. No two crashes of one incarnation have the same sequence number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId {
    /// The target that crashed.
    pub target: TargetId,
    /// The incarnation that ended, or that reported the crash.
    pub incarnation: Incarnation,
    /// The sequence number of the crash within the incarnation.
    pub sequence: u64,
}

/// A crash of an engine, and the requests that were in flight at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The identity of the crash.
    pub id: CrashId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// When it happened.
    pub at: Time,
    /// The requests that were in flight.
    pub suspects: BTreeSet<Fingerprint>,
}

/// The incarnation of a target and the sequence number of its newest crash in the table.
type LastCrash = (Incarnation, u64);

/// When a target has responded to requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Responses {
    /// When the target first responded.
    pub(super) first: Time,
    /// The incarnation that responded last, and when it first did.
    pub(super) incarnation: (Incarnation, Time),
    pub(super) last: Time,
}

/// The crashes within the retention time, and the requests that were in flight at them.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    pub(super) limits: SuspicionLimits,
    /// The crashes, numbered in the order of their arrival.
    pub(super) crashes: BTreeMap<u64, Crash>,
    pub(super) numbers: BTreeMap<CrashId, u64>,
    /// How long before a crash each suspect had been sent to the target, where it is known.
    pub(super) send_ages: BTreeMap<CrashId, BTreeMap<Fingerprint, Duration>>,
    next_number: u64,
    pub(super) by_request: BTreeMap<Fingerprint, Vec<u64>>,
    /// The crashes for which it is not decided yet whether they belong to a mass failure.
    unsettled: VecDeque<u64>,
    /// The suspects against which a crash counts, since it is decided that it belongs to none.
    pub(super) settled: BTreeMap<u64, BTreeSet<Fingerprint>>,
    /// The crashes that belong to a mass failure and have no suspects any more.
    mass_failures: VecDeque<u64>,
    last_crashes: BTreeMap<TargetId, LastCrash>,
    /// When the targets of each availability zone have responded.
    pub(super) responses: BTreeMap<ZoneId, BTreeMap<TargetId, Responses>>,
    /// The crashes in zones that are known not to have been lost.
    isolated: BTreeSet<CrashId>,
    /// The crashes at which most of the active targets were lost at the same moment.
    sudden_losses: BTreeSet<CrashId>,
    confirmed: BTreeSet<Fingerprint>,
    /// How many suspected requests this entry has in flight at each target.
    suspect_counts: BTreeMap<TargetId, u32>,
}

impl SuspicionTable {
    /// Returns an empty table.
    pub fn new(limits: SuspicionLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    // ---- Evidence ----

    /// Adds the crashes that the targets of a view report, and removes expired ones.
    pub fn observe(&mut self, now: Time, view: &View) {
        self.expire(now);
        self.last_crashes
            .retain(|target, _| view.targets.contains_key(target));
        for (target, known) in &view.targets {
            for report in &known.crashes {
                self.observe_report(now, target, known, report);
            }
        }
    }

    /// Adds a crash. What is known of it already is merged with it. Returns whether anything in it
    /// is new.
    pub fn record(&mut self, crash: Crash) -> bool {
        if crash.suspects.len() > self.limits.max_suspects {
            return false;
        }
        let number = self.number_of(&crash.id);
        if self.settled.contains_key(&number) && !self.unsettled.contains(&number) {
            // Suspects that are told late have not been judged.
            self.unsettled.push_back(number);
        }
        let mut is_new = false;
        for suspect in &crash.suspects {
            let numbers = self.by_request.entry(*suspect).or_default();
            if !numbers.contains(&number) {
                numbers.push(number);
                is_new = true;
            }
        }
        match self.crashes.entry(number) {
            Entry::Vacant(vacant) => {
                vacant.insert(crash.clone());
                // The targets that respond now may be lost later, so this is decided once.
                self.sudden_losses.extend(self.find_sudden_loss(&crash));
                true
            }
            Entry::Occupied(mut known) => {
                known.get_mut().suspects.extend(crash.suspects);
                is_new
            }
        }
    }

    /// Records how long before a crash in the table suspects of it had been sent to the target.
    /// Returns whether anything in it is new.
    pub fn record_send_ages(
        &mut self,
        id: &CrashId,
        ages: impl IntoIterator<Item = (Fingerprint, Duration)>,
    ) -> bool {
        if !self.numbers.contains_key(id) {
            return false;
        }
        let mut is_new = false;
        let known = self.send_ages.entry(id.clone()).or_default();
        for (suspect, age) in ages {
            let least = known.entry(suspect).or_insert(Duration::MAX);
            is_new |= age < *least;
            *least = age.min(*least);
        }
        is_new
    }

    /// Returns how long before a crash its suspects had been sent to the target, where it is known.
    pub fn send_ages(&self, id: &CrashId) -> Option<&BTreeMap<Fingerprint, Duration>> {
        self.send_ages.get(id)
    }

    /// Records that the zone of a crash was not lost. Returns whether that is new.
    pub fn record_isolated(&mut self, id: &CrashId) -> bool {
        self.numbers.contains_key(id) && self.isolated.insert(id.clone())
    }

    /// Returns whether a crash is one of a sudden loss.
    pub(super) fn is_sudden_loss(&self, id: &CrashId) -> bool {
        self.sudden_losses.contains(id)
    }

    /// Returns whether the zone of a crash is known not to have been lost.
    pub fn is_isolated(&self, id: &CrashId) -> bool {
        self.isolated.contains(id)
    }

    /// Finds the recent crashes in zones whose targets have responded since, and records that these
    /// zones were not lost.
    pub fn find_isolated(&mut self) -> Vec<CrashId> {
        let unsettled = self.unsettled.iter();
        let recent = unsettled.filter_map(|number| self.crashes.get(number));
        let found: Vec<CrashId> = recent
            .filter(|crash| !self.is_isolated(&crash.id) && self.has_survivors(crash))
            .map(|crash| crash.id.clone())
            .collect();
        self.isolated.extend(found.iter().cloned());
        found
    }

    /// Returns the number of a crash, a new one if the crash is not known yet.
    fn number_of(&mut self, id: &CrashId) -> u64 {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        if self.crashes.len() >= self.limits.max_crashes {
            self.remove_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(id.clone(), number);
        self.unsettled.push_back(number);
        number
    }

    /// Records that a target of a zone has responded to a request. A zone whose targets go on to
    /// respond is not lost.
    pub fn record_response(
        &mut self,
        at: Time,
        zone: &ZoneId,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        let targets = self.responses.entry(zone.clone()).or_default();
        let first = Responses {
            first: at,
            incarnation: (incarnation, at),
            last: at,
        };
        let responses = targets.entry(target.clone()).or_insert(first);
        responses.last = at.max(responses.last);
        if responses.incarnation.0 != incarnation {
            responses.incarnation = (incarnation, at);
        }
    }

    /// Records that a request has completed, so that no crash counts against it any more. Returns
    /// whether it was in flight at any.
    pub fn record_completion(&mut self, request: Fingerprint) -> bool {
        self.confirmed.remove(&request);
        let Some(numbers) = self.by_request.remove(&request) else {
            return false;
        };
        for number in numbers {
            if let Some(crash) = self.crashes.get_mut(&number) {
                crash.suspects.remove(&request);
            }
        }
        true
    }

    /// Returns the crashes that count as evidence against a request, those in a mass failure left
    /// out.
    fn evidence(&self, request: Fingerprint) -> Vec<&Crash> {
        self.crashes_of(request)
            .filter(|crash| self.counts(crash, request))
            .collect()
    }

    /// Returns the suspicion against a request; crashes in a mass failure do not count.
    pub fn assess(&self, request: Fingerprint) -> CrashSuspicion {
        let evidence = self.evidence(request);
        let Some((first, others)) = evidence.split_first() else {
            return CrashSuspicion::Unsuspected;
        };
        let in_all = |suspect: &&Fingerprint| others.iter().all(|c| c.suspects.contains(suspect));
        let is_only_one = first.suspects.iter().filter(in_all).count() == 1;
        let crashes = evidence.len();
        match is_only_one && crashes >= self.limits.confirming_crashes {
            true => CrashSuspicion::Confirmed { crashes },
            false => CrashSuspicion::Suspected { crashes },
        }
    }

    /// Returns whether a new call with this request is refused.
    pub fn is_refused(&self, request: Fingerprint) -> bool {
        let evidence = self.evidence(request);
        if evidence.is_empty() {
            return false;
        }
        let is_confirmed = || matches!(self.assess(request), CrashSuspicion::Confirmed { .. });
        if self.confirmed.contains(&request) && is_confirmed() {
            return true;
        }
        let weights = evidence.iter().map(|crash| self.weight(crash, request));
        weights.sum::<usize>() >= self.limits.refusing_crashes * self.limits.undecided_crashes
    }

    /// Returns the weight of a crash as evidence against a request.
    fn weight(&self, crash: &Crash, request: Fingerprint) -> usize {
        match self.cause(crash, request) {
            CrashCause::This => self.limits.undecided_crashes,
            CrashCause::OneOfSeveral => self.limits.refusing_crashes,
            CrashCause::Another => 0,
        }
    }

    /// Returns how long the evidence that makes a new call of a request be refused is still kept.
    pub fn retention_left(&self, now: Time, request: Fingerprint) -> Duration {
        let mut times: Vec<Time> = self
            .evidence(request)
            .iter()
            .map(|crash| crash.at)
            .collect();
        times.sort_unstable();
        let surplus = times.len().saturating_sub(self.limits.refusing_crashes);
        let deciding = times.get(surplus).copied();
        deciding.map_or(Duration::ZERO, |at| now.until(at + self.limits.retention))
    }

    /// Returns the limits of the table.
    pub fn limits(&self) -> &SuspicionLimits {
        &self.limits
    }

    /// Returns the crashes in the table.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    /// Returns what the table knows of a crash.
    pub fn crash(&self, id: &CrashId) -> Option<&Crash> {
        self.crashes.get(self.numbers.get(id)?)
    }

    /// Returns how many requests were in flight at a crash that does not count against them, because
    /// it passes for a part of a mass failure.
    pub fn mass_failure_suspects(&self, id: &CrashId) -> usize {
        let Some(crash) = self.crash(id) else {
            return 0;
        };
        let suspects = crash.suspects.iter();
        suspects
            .filter(|suspect| !self.counts(crash, **suspect))
            .count()
    }

    /// Returns whether a request was in flight at several crashes, in mass failures or not.
    pub fn is_repeated(&self, request: Fingerprint) -> bool {
        let numbers = self.by_request.get(&request);
        numbers.is_some_and(|numbers| numbers.len() > 1)
    }

    /// Records that this entry has confirmed a request as the cause of crashes.
    pub fn confirm(&mut self, request: Fingerprint) {
        self.confirmed.insert(request);
    }

    /// Returns how many crashes the table has.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether the table has no crashes.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    // ---- Spreading ----

    /// Records that this entry dispatched a suspected request to a target.
    pub fn add_suspect(&mut self, target: &TargetId) {
        *self.suspect_counts.entry(target.clone()).or_default() += 1;
    }

    /// Records that a suspected request of this entry has left a target.
    pub fn remove_suspect(&mut self, target: &TargetId) {
        if let Some(count) = self.suspect_counts.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.suspect_counts.remove(target);
            }
        }
    }

    /// Returns the targets that run a suspected request of this entry.
    pub fn targets_with_suspects(&self) -> impl Iterator<Item = &TargetId> {
        self.suspect_counts.keys()
    }

    // ---- Retention ----

    fn observe_report(
        &mut self,
        now: Time,
        target: &TargetId,
        known: &TargetView,
        report: &CrashReport,
    ) {
        let latest = (known.incarnation, report.sequence);
        if self
            .last_crashes
            .get(target)
            .is_some_and(|seen| *seen >= latest)
        {
            return;
        }
        self.last_crashes.insert(target.clone(), latest);
        self.record(Crash {
            id: CrashId {
                target: target.clone(),
                incarnation: known.incarnation,
                sequence: report.sequence,
            },
            zone: known.target.zone.clone(),
            at: now,
            suspects: report.suspects.iter().copied().collect(),
        });
    }

    /// Removes the crashes whose retention time is over, and those of mass failures.
    pub fn expire(&mut self, now: Time) {
        self.settle(now);
        let silence = self.limits.mass_window * MAX_SILENT_WINDOWS;
        for targets in self.responses.values_mut() {
            targets.retain(|_, responses| now.since(responses.last) <= silence);
        }
        self.responses.retain(|_, targets| !targets.is_empty());
        let retention = self.limits.retention;
        while let Some((_, oldest)) = self.crashes.first_key_value() {
            if now.since(oldest.at) <= retention {
                return;
            }
            self.remove_oldest();
        }
    }

    /// Clears the suspects of crashes that belong to a mass failure, once all crashes near them are
    /// known, and later removes them. Otherwise they would displace the crashes that requests
    /// cause.
    fn settle(&mut self, now: Time) {
        let window = self.limits.mass_window;
        while let Some(number) = self.unsettled.front().copied() {
            if self.is_younger(now, number, window * 2) {
                break;
            }
            self.unsettled.pop_front();
            self.clear_mass_suspects(number);
        }
        // The crashes near one of these are settled by then.
        while let Some(number) = self.mass_failures.front().copied() {
            if self.is_younger(now, number, window * 5) {
                break;
            }
            self.mass_failures.pop_front();
            self.remove(number);
        }
    }

    fn is_younger(&self, now: Time, number: u64, age: Duration) -> bool {
        let crash = self.crashes.get(&number);
        crash.is_some_and(|crash| now.since(crash.at) <= age)
    }

    fn clear_mass_suspects(&mut self, number: u64) {
        let Some(crash) = self.crashes.get(&number) else {
            return;
        };
        let suspects = crash.suspects.iter().copied();
        let innocent: BTreeSet<Fingerprint> = suspects
            .filter(|suspect| !self.counts(crash, *suspect))
            .collect();
        if let Some(crash) = self.crashes.get_mut(&number) {
            crash.suspects.retain(|suspect| !innocent.contains(suspect));
            self.settled.insert(number, crash.suspects.clone());
            if crash.suspects.is_empty() {
                self.mass_failures.push_back(number);
            }
        }
        for request in innocent {
            self.forget_crash(request, number);
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((number, _)) = self.crashes.first_key_value() {
            self.remove(*number);
        }
    }

    fn remove(&mut self, number: u64) {
        let Some(crash) = self.crashes.remove(&number) else {
            return;
        };
        self.numbers.remove(&crash.id);
        self.settled.remove(&number);
        self.isolated.remove(&crash.id);
        self.sudden_losses.remove(&crash.id);
        self.send_ages.remove(&crash.id);
        for suspect in crash.suspects {
            self.forget_crash(suspect, number);
        }
    }

    /// Removes a crash from those of a request.
    fn forget_crash(&mut self, request: Fingerprint, number: u64) {
        if let Some(numbers) = self.by_request.get_mut(&request) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.by_request.remove(&request);
                self.confirmed.remove(&request);
            }
        }
    }
}
