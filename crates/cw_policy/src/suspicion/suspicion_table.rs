//! The table of crashes and of the requests in flight at them.

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

/// One crash of an engine under its living agent.
#[derive(Clone, Debug)]
struct Crash {
    number: u64,
    at: Time,
    target: TargetId,
    suspects: BTreeSet<Fingerprint>,
}

/// The newest crash of a target that is in the table.
type Seen = (Incarnation, u64);

/// The crashes of the last minutes, and the requests in flight at them.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    limits: SuspicionLimits,
    crashes: VecDeque<Crash>,
    by_request: BTreeMap<Fingerprint, BTreeSet<u64>>,
    seen: BTreeMap<TargetId, Seen>,
    next: u64,
    convicted: BTreeSet<Fingerprint>,
    /// How many suspects this entry has in flight at each target.
    placed: BTreeMap<TargetId, u32>,
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

    /// Takes in the crashes that the targets of a view report.
    pub fn observe(&mut self, now: Time, view: &View) {
        self.forget(now);
        self.seen
            .retain(|target, _| view.targets.contains_key(target));
        for (target, known) in &view.targets {
            for report in &known.crashes {
                self.insert(now, target, known.incarnation, report);
            }
        }
    }

    /// A request has run to its end: it crashes nothing, whatever it was in flight at.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.convicted.remove(&request);
        let Some(numbers) = self.by_request.remove(&request) else {
            return;
        };
        for crash in &mut self.crashes {
            if numbers.contains(&crash.number) {
                crash.suspects.remove(&request);
            }
        }
    }

    /// Returns what is held against a request.
    pub fn assess(&self, request: Fingerprint) -> CrashSuspicion {
        let Some(numbers) = self.by_request.get(&request) else {
            return CrashSuspicion::Unsuspected;
        };
        let crashes = self.crashes.iter();
        let evidence: Vec<&Crash> = crashes
            .filter(|crash| numbers.contains(&crash.number) && !self.is_mass(crash))
            .collect();
        let Some((first, others)) = evidence.split_first() else {
            return CrashSuspicion::Unsuspected;
        };
        let always = |suspect: &&Fingerprint| others.iter().all(|c| c.suspects.contains(suspect));
        let alone = first.suspects.iter().filter(always).count() == 1;
        let crashes = evidence.len();
        match alone && crashes >= self.limits.crashes {
            true => CrashSuspicion::Confirmed { crashes },
            false => CrashSuspicion::Suspected { crashes },
        }
    }

    /// Returns whether a new call with this request is refused.
    pub fn is_refused(&self, request: Fingerprint) -> bool {
        match self.assess(request) {
            CrashSuspicion::Confirmed { crashes } => {
                self.convicted.contains(&request) || crashes >= self.limits.foreign
            }
            CrashSuspicion::Unsuspected | CrashSuspicion::Suspected { .. } => false,
        }
    }

    /// This entry has found a request guilty.
    pub fn confirm(&mut self, request: Fingerprint) {
        self.convicted.insert(request);
    }

    /// Returns how many crashes are remembered.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    // ---- Spreading ----

    /// A suspect is dispatched to a target.
    pub fn add_suspect(&mut self, target: &TargetId) {
        *self.placed.entry(target.clone()).or_default() += 1;
    }

    /// A suspect has left a target.
    pub fn remove_suspect(&mut self, target: &TargetId) {
        if let Some(count) = self.placed.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.placed.remove(target);
            }
        }
    }

    /// Returns the targets that have a suspect of this entry already.
    pub fn targets_with_suspects(&self) -> impl Iterator<Item = &TargetId> {
        self.placed.keys()
    }

    // ---- Memory ----

    fn insert(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        report: &CrashReport,
    ) {
        let this = (incarnation, report.sequence);
        if self.seen.get(target).is_some_and(|seen| *seen >= this) {
            return;
        }
        self.seen.insert(target.clone(), this);
        if report.suspects.len() > self.limits.suspects {
            return;
        }
        if self.crashes.len() >= self.limits.capacity {
            self.remove_oldest();
        }
        let number = self.next;
        self.next += 1;
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

    fn forget(&mut self, now: Time) {
        let memory = self.limits.memory;
        while let Some(crash) = self.crashes.front() {
            if now.since(crash.at) <= memory {
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
                    self.convicted.remove(suspect);
                }
            }
        }
    }

    /// Returns whether so many targets crashed at about the same time that no request did it.
    fn is_mass(&self, crash: &Crash) -> bool {
        let window = self.limits.window;
        let near = |other: &&Crash| {
            other.at.since(crash.at) <= window && crash.at.since(other.at) <= window
        };
        let crashes = self.crashes.iter().filter(near);
        let targets: BTreeSet<&TargetId> = crashes.map(|other| &other.target).collect();
        targets.len() >= self.limits.mass
    }
}
