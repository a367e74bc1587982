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

/// The crashes within the retention time, and the requests that were in flight at them.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    pub(super) limits: SuspicionLimits,
    /// The crashes, numbered in the order of their arrival.
    pub(super) crashes: BTreeMap<u64, Crash>,
    pub(super) numbers: BTreeMap<CrashId, u64>,
    next_number: u64,
    pub(super) by_request: BTreeMap<Fingerprint, Vec<u64>>,
    /// The crashes for which it is not decided yet whether they belong to a mass failure.
    unsettled: VecDeque<u64>,
    /// The suspects against which a crash counts, since it is decided that it belongs to none.
    pub(super) settled: BTreeMap<u64, BTreeSet<Fingerprint>>,
    /// The crashes that belong to a mass failure and have no suspects any more.
    mass_failures: VecDeque<u64>,
    last_crashes: BTreeMap<TargetId, LastCrash>,
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
                vacant.insert(crash);
                true
            }
            Entry::Occupied(mut known) => {
                known.get_mut().suspects.extend(crash.suspects);
                is_new
            }
        }
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

    /// Records the HTTP status with which a service has answered a request. An error says nothing about whether the
    /// request crashes its targets: a service may give it before it begins the work.
    pub fn record_answer(&mut self, request: Fingerprint, status: u16) -> bool {
        (200..300).contains(&status) && self.record_completion(request)
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
