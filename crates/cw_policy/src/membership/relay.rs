//! The relaying of reports from agents to other entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::ModelName;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::VersionName;
use cw_wire::Load;
use cw_wire::LoadUpdate;
use cw_wire::Pins;
use cw_wire::ProcessState;
use cw_wire::QuotaDemand;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;

use super::Members;
use super::Outbox;
use super::RelayGroups;
use super::ago;
use super::demands::Demands;

/// How often a full report is sent even when it has not changed.
const FULL_REPORT_PERIOD: Duration = Duration::from_secs(120);

/// The shortest time between full reports that only a change of the pinned versions causes.
const PIN_CHANGE_PERIOD: Duration = Duration::from_secs(5);

/// How long the other relays of a target must have sent none of its reports and loads before a
/// relay that is not its primary one sends its loads.
const BACKUP_DELAY: Duration = Duration::from_secs(10);

/// How long the silence of a target is reported before the target is forgotten.
const MAX_SILENCE: Duration = Duration::from_secs(90);

/// The largest number of entries of each size class, and the period of batches in that class.
const BATCH_PERIODS: [(usize, Duration); 4] = [
    (16, Duration::from_millis(500)),
    (64, Duration::from_millis(1000)),
    (160, Duration::from_millis(2000)),
    (usize::MAX, Duration::from_millis(4000)),
];

/// The divisor of a target's limit that gives the smallest change of load to be sent at once.
const LOAD_CHANGE_DIVISOR: u32 = 8;

/// A target whose agent reports to this relay.
#[derive(Clone, Debug)]
struct DirectTarget {
    report: Report,
    last_heard: Time,
    /// When another relay last sent a report or load of the target.
    peer_relayed_at: Time,
    /// The last full report sent, and when it was sent.
    sent_report: Option<(Time, Report)>,
    /// The last load sent, and when it was sent.
    sent_load: (Time, Load),
}

/// The batches of one round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayBatches {
    /// For each other entry of this relay's group.
    pub group: Option<ReportBatch>,
    /// For each chosen entry of the other groups.
    pub forwarded: Option<ReportBatch>,
}

/// How soon a report has to be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// With the next round.
    NextRound,
    /// Without waiting for the next round: the target is new, or its state changed, so it may stop or
    /// start to accept work.
    Immediate,
}

/// Forwards the reports that an entry receives from agents.
#[derive(Clone, Debug)]
pub struct Relay {
    host: HostId,
    silent_after: Duration,
    direct: BTreeMap<TargetId, DirectTarget>,
    group_outbox: Outbox,
    forward_outbox: Outbox,
    demands: Demands,
    sequence: u64,
}

impl Relay {
    /// Returns the relay on `host`, which reports a target as silent after `silent_after`.
    pub fn new(host: HostId, silent_after: Duration) -> Self {
        Self {
            host,
            silent_after,
            direct: BTreeMap::new(),
            group_outbox: Outbox::default(),
            forward_outbox: Outbox::default(),
            demands: Demands::default(),
            sequence: 0,
        }
    }

    /// Returns the period of batches among this number of entries.
    pub fn period(entries: usize) -> Duration {
        let fits = |(most, _): &&(usize, Duration)| entries <= *most;
        let found = BATCH_PERIODS.iter().find(fits);
        found.map_or(BATCH_PERIODS[0].1, |(_, period)| *period)
    }

    /// Records a report that the target's agent sent to this relay; an older one is ignored.
    pub fn on_report(&mut self, now: Time, report: Report) -> Urgency {
        let direct = self
            .direct
            .entry(report.target.clone())
            .or_insert_with(|| DirectTarget {
                report: report.clone(),
                last_heard: now,
                peer_relayed_at: now,
                sent_report: None,
                sent_load: (now, report.load),
            });
        let old = (direct.report.incarnation, direct.report.sequence);
        if (report.incarnation, report.sequence) < old {
            return Urgency::NextRound;
        }
        let changed = direct.report.state != report.state;
        direct.last_heard = now;
        direct.report = report;
        match changed || direct.sent_report.is_none() {
            true => Urgency::Immediate,
            false => Urgency::NextRound,
        }
    }

    /// Records a batch of another entry, and forwards it if it comes from this relay's group.
    pub fn on_batch(&mut self, now: Time, batch: &ReportBatch) {
        self.record_peer_relays(now, batch);
        if batch.forwarded {
            return;
        }
        self.forward_outbox.put_batch(now, batch);
        for (age, demand) in &batch.demands {
            self.demands.set_peer(ago(now, *age), demand.clone());
        }
    }

    /// Replaces this entry's own quota demand.
    pub fn on_demand(&mut self, now: Time, demand: QuotaDemand) {
        self.demands.set_own(now, demand);
    }

    /// Adds the state of this process to the next batches.
    pub fn on_state(&mut self, now: Time, state: &ProcessState) {
        self.group_outbox.put_process(now, state.clone());
        self.forward_outbox.put_process(now, state.clone());
    }

    /// Returns the batches of a round.
    ///
    /// `is_primary` returns whether this is the primary relay of a target. The primary relay always
    /// sends the target's loads; the others do only while no other relay sends them.
    pub fn round(
        &mut self,
        now: Time,
        members: &Members,
        revision: Revision,
        groups: &RelayGroups,
        is_primary: &dyn Fn(&TargetId) -> bool,
    ) -> RelayBatches {
        let running_since = members.running_since();
        self.direct
            .retain(|_, direct| is_retained(now, running_since, direct, members));
        let period = Self::period(groups.size());
        self.fill_outboxes(now, running_since, period * 3 / 2, is_primary);
        self.sequence += 1;
        let mut group = self.group_outbox.take(now, &self.host, revision);
        let mut forwarded = self.forward_outbox.take(now, &self.host, revision);
        group.demands = self.demands.own(now);
        forwarded.demands = self.demands.group_total(now, self.sequence);
        let numbered = |batch: ReportBatch, forwarded: bool| ReportBatch {
            sequence: self.sequence,
            forwarded,
            ..batch
        };
        RelayBatches {
            group: (!groups.group_peers.is_empty()).then(|| numbered(group, false)),
            forwarded: (!groups.forward_peers.is_empty()).then(|| numbered(forwarded, true)),
        }
    }

    /// Returns the targets of this relay that are silent. `running_since` is the start of the period
    /// in which this process has run without a pause, from which silence is measured at the earliest.
    pub fn silent(&self, now: Time, running_since: Time) -> Vec<SilentTarget> {
        let silent_for = |direct: &DirectTarget| now.since(direct.last_heard.max(running_since));
        self.direct
            .values()
            .filter(|direct| silent_for(direct) >= self.silent_after)
            .map(|direct| SilentTarget {
                relay: self.host.clone(),
                target: direct.report.target.clone(),
                incarnation: direct.report.incarnation,
                quiet: silent_for(direct),
            })
            .collect()
    }

    fn record_peer_relays(&mut self, now: Time, batch: &ReportBatch) {
        let reported = batch.reports.iter().map(|(_, report)| &report.target);
        for target in reported {
            if let Some(direct) = self.direct.get_mut(target) {
                direct.peer_relayed_at = now;
            }
        }
        if batch.loads.is_empty() {
            return;
        }
        let loads: BTreeSet<_> = batch.loads.iter().map(|update| update.target).collect();
        for direct in self.direct.values_mut() {
            if loads.contains(&direct.report.hash()) {
                direct.peer_relayed_at = now;
            }
        }
    }

    fn fill_outboxes(
        &mut self,
        now: Time,
        running_since: Time,
        load_period: Duration,
        is_primary: &dyn Fn(&TargetId) -> bool,
    ) {
        for silence in self.silent(now, running_since) {
            self.group_outbox.put_silence(silence.clone());
            self.forward_outbox.put_silence(silence);
        }
        for (target, direct) in &mut self.direct {
            if needs_full_report(now, direct) {
                direct.sent_report = Some((now, direct.report.clone()));
                direct.sent_load = (now, direct.report.load);
                self.group_outbox
                    .put_report(direct.last_heard, direct.report.clone());
                self.forward_outbox
                    .put_report(direct.last_heard, direct.report.clone());
            } else if needs_load_update(now, load_period, direct)
                && relays_load(now, direct, is_primary(target))
            {
                direct.sent_load = (now, direct.report.load);
                let update = load_update(now, direct);
                self.group_outbox.put_load(direct.last_heard, update);
                self.forward_outbox.put_load(direct.last_heard, update);
            }
        }
    }
}

/// Returns whether to keep a target: its silence is short enough, and no other relay has a newer
/// report of it.
///
/// An agent may move to other relays, and the one that it left must not report it as silent.
fn is_retained(now: Time, running_since: Time, direct: &DirectTarget, members: &Members) -> bool {
    let version = |report: &Report| (report.incarnation, report.sequence);
    let moved = |newest: &Report| version(newest) > version(&direct.report);
    let silent_for = now.since(direct.last_heard.max(running_since));
    let newest = members.report(&direct.report.target);
    silent_for < MAX_SILENCE && !newest.is_some_and(moved)
}

fn load_update(now: Time, direct: &DirectTarget) -> LoadUpdate {
    let report = &direct.report;
    let age = now.since(direct.last_heard);
    LoadUpdate::new(report.hash(), report.sequence, age, &report.load)
}

/// Returns whether a full report is due, because a field that load updates omit has changed or
/// because of its age.
fn needs_full_report(now: Time, direct: &DirectTarget) -> bool {
    let Some((sent_at, sent)) = &direct.sent_report else {
        return true;
    };
    let report = &direct.report;
    report.incarnation != sent.incarnation
        || report.state != sent.state
        || report.versions != sent.versions
        || report.crashes != sent.crashes
        || report.load.capacity != sent.load.capacity
        || (pinned_versions_differ(report, sent) && now.since(*sent_at) >= PIN_CHANGE_PERIOD)
        || now.since(*sent_at) >= FULL_REPORT_PERIOD
}

/// Returns whether the sets of versions with live attempts differ; the number of attempts does not
/// matter.
fn pinned_versions_differ(report: &Report, sent: &Report) -> bool {
    let keys = |pins: &Pins| -> Vec<_> {
        let each = |(model, versions): (&ModelName, &BTreeMap<VersionName, u32>)| {
            (model.clone(), versions.keys().cloned().collect::<Vec<_>>())
        };
        pins.iter().map(each).collect()
    };
    keys(&report.pinned) != keys(&sent.pinned)
}

/// Returns whether this relay is responsible for sending the load of a target.
fn relays_load(now: Time, direct: &DirectTarget, is_primary: bool) -> bool {
    is_primary || now.since(direct.peer_relayed_at) >= BACKUP_DELAY
}

/// Returns whether the load has changed enough, or was last sent long enough ago, to be sent again.
fn needs_load_update(now: Time, load_period: Duration, direct: &DirectTarget) -> bool {
    let (sent_at, old) = &direct.sent_load;
    let load = &direct.report.load;
    if direct.last_heard <= *sent_at {
        return false;
    }
    let step = load.limit.max(LOAD_CHANGE_DIVISOR) / LOAD_CHANGE_DIVISOR;
    load.running.abs_diff(old.running) >= step
        || load.waiting.abs_diff(old.waiting) >= step
        || load.limit.abs_diff(old.limit) >= step
        || now.since(*sent_at) >= load_period
}
