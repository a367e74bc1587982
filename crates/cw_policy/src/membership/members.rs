//! The judgement of all targets.

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
use super::member::Circumstances;
use super::member::Member;
use crate::Liveness;
use crate::TargetView;

/// The most targets that are remembered without a record.
const STRANGERS_MAX: usize = 1024;

/// What the host list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostMark {
    /// Nothing: the list has not been read.
    Unknown,
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
    /// The list does not have it.
    Absent,
}

/// What became of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was newer and is in force.
    Taken,
    /// It was old or repeated, or of an earlier life.
    Stale,
    /// It refers to a report that this process never got, so it should ask a peer for all.
    Missing,
}

/// The judgement of all targets, by reports, batches and the host list.
///
/// All moments are of this process's monotonic clock, and what comes from others is an age, so a
/// wall clock that jumps changes nothing.
#[derive(Clone, Debug)]
pub struct Members {
    host: HostId,
    limits: MembershipLimits,
    members: BTreeMap<TargetId, Member>,
    names: BTreeMap<TargetHash, TargetId>,
    drained: BTreeSet<TargetId>,
    records: BTreeMap<TargetId, Target>,
    hosts: Option<BTreeMap<HostId, HostMark>>,
    entries: usize,
    ticked: Time,
    awake: Time,
}

impl Members {
    /// Returns the state of an entry on `host` that has heard nothing.
    pub fn new(host: HostId, limits: MembershipLimits, now: Time) -> Self {
        Self {
            host,
            limits,
            members: BTreeMap::new(),
            names: BTreeMap::new(),
            drained: BTreeSet::new(),
            records: BTreeMap::new(),
            hosts: None,
            entries: 1,
            ticked: now,
            awake: now,
        }
    }

    // ------------------------------------------------------------------------
    // Events

    /// Notes that the process runs. After a pause of its own, the silence of others begins anew.
    pub fn on_tick(&mut self, now: Time) {
        if now.since(self.ticked) > self.limits.pause {
            self.awake = now;
        }
        self.ticked = now;
    }

    /// Takes the records of targets and drains.
    pub fn on_config(&mut self, config: &Config) {
        let drained = |id: &&TargetId| config.is_drained(id);
        self.drained = config.targets.keys().filter(drained).cloned().collect();
        self.records = config.targets.clone();
        let records = &self.records;
        let strangers = self.members.keys().filter(|id| !records.contains_key(id));
        if strangers.count() > STRANGERS_MAX {
            self.members.retain(|id, _| records.contains_key(id));
        }
    }

    /// Takes the host list. `entries` is the number of live entries.
    pub fn on_hosts(&mut self, hosts: BTreeMap<HostId, HostMark>, entries: usize) {
        self.hosts = Some(hosts);
        self.entries = entries;
    }

    /// Takes a report that was made `age` ago.
    pub fn on_report(&mut self, now: Time, age: Duration, report: Report) -> Outcome {
        let made = ago(now, age);
        let id = report.target.clone();
        let was = self.liveness(now, &id);
        let refused = self.is_full() && !self.records.contains_key(&id);
        match self.members.get_mut(&id) {
            Some(member) if member.is_older_than(&report, was == Liveness::Gone) => {
                member.renew(report, made, was);
            }
            Some(_) => return Outcome::Stale,
            None if refused => return Outcome::Stale,
            None => {
                self.names.insert(TargetHash::from(&id), id.clone());
                self.members.insert(id, Member::new(report, made));
            }
        }
        Outcome::Taken
    }

    /// Takes a batch of a relay.
    pub fn on_batch(&mut self, now: Time, batch: &ReportBatch) -> Outcome {
        let mut outcome = Outcome::Stale;
        for (age, report) in &batch.reports {
            if self.on_report(now, *age, report.clone()) == Outcome::Taken {
                outcome = Outcome::Taken;
            }
        }
        for update in &batch.loads {
            match self.on_load(now, update) {
                Outcome::Missing => outcome = Outcome::Missing,
                Outcome::Taken if outcome == Outcome::Stale => outcome = Outcome::Taken,
                Outcome::Taken | Outcome::Stale => {}
            }
        }
        for silence in &batch.silent {
            self.on_silence(now, &silence.relay, silence);
        }
        outcome
    }

    /// Takes what a relay, or this process itself, says of a silent target.
    pub fn on_silence(&mut self, now: Time, relay: &HostId, silence: &SilentTarget) {
        if let Some(member) = self.members.get_mut(&silence.target) {
            member.on_silence(now, relay, silence);
        }
    }

    fn on_load(&mut self, now: Time, update: &LoadUpdate) -> Outcome {
        let id = self.names.get(&update.target);
        let Some(member) = id.and_then(|id| self.members.get_mut(id)) else {
            return Outcome::Missing;
        };
        if update.sequence <= member.report.sequence {
            return Outcome::Stale;
        }
        member.update(update, ago(now, update.age()));
        Outcome::Taken
    }

    fn is_full(&self) -> bool {
        self.members.len() >= self.records.len() + STRANGERS_MAX
    }

    // ------------------------------------------------------------------------
    // Questions

    /// Judges one target.
    pub fn liveness(&self, now: Time, id: &TargetId) -> Liveness {
        let Some(member) = self.members.get(id) else {
            return Liveness::Down;
        };
        let at = Circumstances {
            now,
            awake: self.awake,
            drained: self.drained.contains(id),
            mark: self.mark(&member.report.host),
            entries: self.entries,
        };
        member.liveness(&at, &self.limits)
    }

    /// Returns this process's host.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns since when this process has run without a pause.
    pub fn awake(&self) -> Time {
        self.awake
    }

    /// Returns the targets that have a record, as traffic sees them.
    pub fn view(&self, now: Time) -> BTreeMap<TargetId, TargetView> {
        let one = |(id, target): (&TargetId, &Target)| (id.clone(), self.look(now, id, target));
        self.records.iter().map(one).collect()
    }

    /// Returns every report with its age, for a process that has none.
    pub fn reports(&self, now: Time) -> Vec<(Duration, Report)> {
        let aged = |member: &Member| (now.since(member.made), member.report.clone());
        self.members.values().map(aged).collect()
    }

    /// Returns the newest report of a target.
    pub fn report(&self, id: &TargetId) -> Option<&Report> {
        self.members.get(id).map(|member| &member.report)
    }

    fn look(&self, now: Time, id: &TargetId, target: &Target) -> TargetView {
        let liveness = self.liveness(now, id);
        let Some(member) = self.members.get(id) else {
            return unheard(target, self.drained.contains(id));
        };
        TargetView {
            target: target.clone(),
            liveness,
            incarnation: member.report.incarnation,
            load: member.report.load,
            reported_at: member.made,
            alive_since: member.returned,
            versions: member.report.versions.clone(),
            crashes: member.report.crashes.clone(),
        }
    }

    fn mark(&self, host: &HostId) -> HostMark {
        match &self.hosts {
            None => HostMark::Unknown,
            Some(hosts) => hosts.get(host).copied().unwrap_or(HostMark::Absent),
        }
    }
}

fn unheard(target: &Target, drained: bool) -> TargetView {
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
