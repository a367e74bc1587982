//! The recent crashes and the requests that were in flight at them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;

use super::CrashSuspicion;
use super::SuspicionLimits;
use crate::View;

/// One crash of an engine whose agent kept running.
#[derive(Clone, Debug)]
struct Crash {
    number: u64,
    at: Time,
    target: TargetId,
    suspects: BTreeSet<Fingerprint>,
}

/// The incarnation of a target and the sequence number of its newest crash in the table.
type LastCrash = (Incarnation, u64);

/// The crashes within the retention time, and the requests that were in flight at them.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    limits: SuspicionLimits,
    crashes: VecDeque<Crash>,
    by_request: BTreeMap<Fingerprint, BTreeSet<u64>>,
    last_crashes: BTreeMap<TargetId, LastCrash>,
    next_number: u64,
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
        self.remove_expired(now);
        self.last_crashes
            .retain(|target, _| view.targets.contains_key(target));
        for (target, known) in &view.targets {
            for report in &known.crashes {
                self.insert(now, target, known.incarnation, report);
            }
        }
    }

    /// Records that a request has completed, so that no crash counts against it any more.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.confirmed.remove(&request);
        let Some(numbers) = self.by_request.remove(&request) else {
            return;
        };
        for crash in &mut self.crashes {
            if numbers.contains(&crash.number) {
                crash.suspects.remove(&request);
            }
        }
    }

    /// Returns the suspicion against a request; crashes in a mass failure do not count.
    pub fn assess(&self, request: Fingerprint) -> CrashSuspicion {
        let Some(numbers) = self.by_request.get(&request) else {
            return CrashSuspicion::Unsuspected;
        };
        let crashes = self.crashes.iter();
        let evidence: Vec<&Crash> = crashes
            .filter(|crash| numbers.contains(&crash.number) && !self.is_mass_failure(crash))
            .collect();
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
        match self.assess(request) {
            CrashSuspicion::Confirmed { crashes } => {
                self.confirmed.contains(&request) || crashes >= self.limits.refusing_crashes
            }
            CrashSuspicion::Unsuspected | CrashSuspicion::Suspected { .. } => false,
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

    fn insert(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        report: &CrashReport,
    ) {
        let latest = (incarnation, report.sequence);
        if self
            .last_crashes
            .get(target)
            .is_some_and(|seen| *seen >= latest)
        {
            return;
        }
        self.last_crashes.insert(target.clone(), latest);
        if report.suspects.len() > self.limits.max_suspects {
            return;
        }
        if self.crashes.len() >= self.limits.max_crashes {
            self.remove_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        let suspects: BTreeSet<Fingerprint> = report.suspects.iter().copied().collect();
        for suspect in &suspects {
            self.by_request.entry(*suspect).or_default().insert(number);
        }
        self.crashes.push_back(Crash {
            number,
            at: now,
            target: target.clone(),
            suspects,
        });
    }

    fn remove_expired(&mut self, now: Time) {
        let retention = self.limits.retention;
        while let Some(crash) = self.crashes.front() {
            if now.since(crash.at) <= retention {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for suspect in &crash.suspects {
            if let Some(numbers) = self.by_request.get_mut(suspect) {
                numbers.remove(&crash.number);
                if numbers.is_empty() {
                    self.by_request.remove(suspect);
                    self.confirmed.remove(suspect);
                }
            }
        }
    }

    /// Returns whether a crash is part of a mass failure, which no request causes.
    fn is_mass_failure(&self, crash: &Crash) -> bool {
        let window = self.limits.mass_window;
        let is_near = |other: &&Crash| {
            other.at.since(crash.at) <= window && crash.at.since(other.at) <= window
        };
        let crashes = self.crashes.iter().filter(is_near);
        let targets: BTreeSet<&TargetId> = crashes.map(|other| &other.target).collect();
        targets.len() >= self.limits.mass_targets
    }
}
