//! The liveness and the latest reports of all targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Config;
use cw_types::HostId;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::LoadUpdate;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;
use cw_wire::TargetHash;

use super::MembershipLimits;
use super::ago;
use super::member::LivenessContext;
use super::member::Member;
use crate::Liveness;
use crate::TargetView;

/// The largest number of remembered targets that have no record.
const MAX_UNREGISTERED: usize = 1024;

/// The status of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// The list has not been read.
    Unknown,
    /// The list has the host.
    Live,
    /// The list has the host, marked as leaving.
    Leaving,
    /// The list does not have the host.
    Absent,
}

/// The outcome of merging a report or a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was newer and has been applied.
    Applied,
    /// It was old or repeated, belonged to an earlier incarnation, or exceeded the limit on targets
    /// without a record.
    Stale,
    /// It updates the load of a target of which this process has no report. The caller should ask a
    /// peer for all reports.
    MissingReport,
}

/// The targets known to an entry, from reports, batches and the host list.
///
/// Every time is one of this process's monotonic clock, and other processes send ages, so a jump of
/// a wall clock has no effect.
#[derive(Clone, Debug)]
pub struct Members {
    host: HostId,
    limits: MembershipLimits,
    members: BTreeMap<TargetId, Member>,
    ids_by_hash: BTreeMap<TargetHash, TargetId>,
    drained: BTreeSet<TargetId>,
    records: BTreeMap<TargetId, Target>,
    hosts: Option<BTreeMap<HostId, HostStatus>>,
    entry_count: usize,
    last_tick: Time,
    running_since: Time,
}

impl Members {
    /// Returns the state of an entry on `host` that has received no report.
    pub fn new(host: HostId, limits: MembershipLimits, now: Time) -> Self {
        Self {
            host,
            limits,
            members: BTreeMap::new(),
            ids_by_hash: BTreeMap::new(),
            drained: BTreeSet::new(),
            records: BTreeMap::new(),
            hosts: None,
            entry_count: 1,
            last_tick: now,
            running_since: now,
        }
    }

    // ---- Events ----

    /// Records that the process is running. After a pause of the process itself, the silence of
    /// targets is measured from the end of the pause.
    pub fn on_tick(&mut self, now: Time) {
        if now.since(self.last_tick) > self.limits.pause_threshold {
            self.running_since = now;
        }
        self.last_tick = now;
    }

    /// Replaces the records of targets and drains. Forgets all targets without a record
    /// when there are too many of them.
    pub fn on_config(&mut self, config: &Config) {
        let drained = |id: &&TargetId| config.is_drained(id);
        self.drained = config.targets.keys().filter(drained).cloned().collect();
        self.records = config.targets.clone();
        let records = &self.records;
        let unregistered = self.members.keys().filter(|id| !records.contains_key(id));
        if unregistered.count() > MAX_UNREGISTERED {
            self.members.retain(|id, _| records.contains_key(id));
        }
    }

    /// Replaces the host list. `entries` is the number of live entries.
    pub fn on_hosts(&mut self, hosts: BTreeMap<HostId, HostStatus>, entries: usize) {
        self.hosts = Some(hosts);
        self.entry_count = entries;
    }

    /// Merges a report that was made `age` ago.
    pub fn on_report(&mut self, now: Time, age: Duration, report: Report) -> MergeOutcome {
        let made = ago(now, age);
        let id = report.target.clone();
        let was = self.liveness(now, &id);
        let is_refused = self.is_full() && !self.records.contains_key(&id);
        match self.members.get_mut(&id) {
            Some(member) if member.is_superseded_by(&report, was == Liveness::Gone) => {
                self.ids_by_hash.remove(&member.report.hash());
                self.ids_by_hash.insert(report.hash(), id);
                member.replace_report(report, made, was);
            }
            Some(_) => return MergeOutcome::Stale,
            None if is_refused => return MergeOutcome::Stale,
            None => {
                self.ids_by_hash.insert(report.hash(), id.clone());
                self.members.insert(id, Member::new(report, made));
            }
        }
        MergeOutcome::Applied
    }

    /// Merges a batch of a relay.
    ///
    /// Returns [`MergeOutcome::MissingReport`] if any load lacks its report, otherwise
    /// [`MergeOutcome::Applied`] if any report or load was newer.
    pub fn on_batch(&mut self, now: Time, batch: &ReportBatch) -> MergeOutcome {
        let mut outcome = MergeOutcome::Stale;
        for (age, report) in &batch.reports {
            if self.on_report(now, *age, report.clone()) == MergeOutcome::Applied {
                outcome = MergeOutcome::Applied;
            }
        }
        for update in &batch.loads {
            match self.on_load(now, update) {
                MergeOutcome::MissingReport => outcome = MergeOutcome::MissingReport,
                MergeOutcome::Applied if outcome == MergeOutcome::Stale => {
                    outcome = MergeOutcome::Applied
                }
                MergeOutcome::Applied | MergeOutcome::Stale => {}
            }
        }
        for silence in &batch.silent {
            self.on_silence(now, &silence.relay, silence);
        }
        outcome
    }

    /// Records a statement, of a relay or of this process itself, that a target is silent.
    pub fn on_silence(&mut self, now: Time, relay: &HostId, silence: &SilentTarget) {
        if let Some(member) = self.members.get_mut(&silence.target) {
            member.on_silence(now, relay, silence);
        }
    }

    /// Merges a load of the incarnation whose report is known. The full report is missing for any
    /// other one, also for an earlier one whose load arrives late.
    fn on_load(&mut self, now: Time, update: &LoadUpdate) -> MergeOutcome {
        let id = self.ids_by_hash.get(&update.target);
        let Some(member) = id.and_then(|id| self.members.get_mut(id)) else {
            return MergeOutcome::MissingReport;
        };
        if update.sequence <= member.report.sequence {
            return MergeOutcome::Stale;
        }
        member.apply_load(update, ago(now, update.age()));
        MergeOutcome::Applied
    }

    fn is_full(&self) -> bool {
        self.members.len() >= self.records.len() + MAX_UNREGISTERED
    }

    // ---- Queries ----

    /// Returns the liveness of a target; one without a report is [`Liveness::Down`].
    pub fn liveness(&self, now: Time, id: &TargetId) -> Liveness {
        let Some(member) = self.members.get(id) else {
            return Liveness::Down;
        };
        let at = LivenessContext {
            now,
            running_since: self.running_since,
            drained: self.drained.contains(id),
            host_status: self.host_status(&member.report.host),
            entry_count: self.entry_count,
        };
        member.liveness(&at, &self.limits)
    }

    /// Returns this process's host.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the start of the period in which this process has run without a pause.
    pub fn running_since(&self) -> Time {
        self.running_since
    }

    /// Returns the view of every target that has a record.
    pub fn view(&self, now: Time) -> BTreeMap<TargetId, TargetView> {
        let one =
            |(id, target): (&TargetId, &Target)| (id.clone(), self.target_view(now, id, target));
        self.records.iter().map(one).collect()
    }

    /// Returns the newest report of every target with its age, for a process that has none.
    pub fn reports(&self, now: Time) -> Vec<(Duration, Report)> {
        let aged = |member: &Member| (now.since(member.made_at), member.report.clone());
        self.members.values().map(aged).collect()
    }

    /// Returns the newest report of a target.
    pub fn report(&self, id: &TargetId) -> Option<&Report> {
        self.members.get(id).map(|member| &member.report)
    }

    fn target_view(&self, now: Time, id: &TargetId, target: &Target) -> TargetView {
        let liveness = self.liveness(now, id);
        let Some(member) = self.members.get(id) else {
            return unreported_view(target, self.drained.contains(id));
        };
        TargetView {
            target: target.clone(),
            liveness,
            incarnation: member.report.incarnation,
            load: member.report.load,
            reported_at: member.made_at,
            alive_since: member.alive_since,
            versions: member.report.versions.clone(),
            crashes: member.report.crashes.clone(),
        }
    }

    fn host_status(&self, host: &HostId) -> HostStatus {
        match &self.hosts {
            None => HostStatus::Unknown,
            Some(hosts) => hosts.get(host).copied().unwrap_or(HostStatus::Absent),
        }
    }
}

fn unreported_view(target: &Target, drained: bool) -> TargetView {
    TargetView {
        target: target.clone(),
        liveness: match drained {
            true => Liveness::Leaving,
            false => Liveness::Down,
        },
        incarnation: Default::default(),
        load: Default::default(),
        reported_at: Time::default(),
        alive_since: Time::default(),
        versions: BTreeMap::new(),
        crashes: Vec::new(),
    }
}
