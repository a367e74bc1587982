//! What an entry passes on of the reports that it gets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::ModelName;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::VersionName;
use cw_wire::Demand;
use cw_wire::Load;
use cw_wire::LoadUpdate;
use cw_wire::Pins;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::SilentTarget;
use cw_wire::TargetHash;

use super::Grid;
use super::Members;
use super::Outbox;
use super::ago;
use super::demands::Demands;

/// How often each report is passed on whole, changed or not.
const WHOLE_PERIOD: Duration = Duration::from_secs(120);

/// How often a report is passed on whole because its pinned versions changed.
const PINNED_PERIOD: Duration = Duration::from_secs(5);

/// How long a relay that is not the first of a target leaves its loads to the first one.
const BACKUP_PERIOD: Duration = Duration::from_secs(10);

/// How long a silent target is spoken of before it is forgotten.
const SILENCE_MAX: Duration = Duration::from_secs(90);

/// The period of batches by the largest number of entries that it is for.
const PERIODS: [(usize, Duration); 4] = [
    (16, Duration::from_millis(500)),
    (64, Duration::from_millis(1000)),
    (160, Duration::from_millis(2000)),
    (usize::MAX, Duration::from_millis(4000)),
];

/// A change of a load below this share of the limit, as a divisor, can wait.
const LOAD_SHARE: u32 = 8;

/// A target that reports here.
#[derive(Clone, Debug)]
struct Direct {
    report: Report,
    heard: Time,
    /// When another relay was last heard to pass its loads on.
    elsewhere: Time,
    /// The report that was last passed on whole, and when.
    whole: Option<(Time, Report)>,
    /// The load that was last passed on, and when.
    load: (Time, Load),
}

/// The batches of one round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sendings {
    /// For each entry of the own group.
    pub near: Option<ReportBatch>,
    /// For the entries of other groups.
    pub far: Option<ReportBatch>,
}

/// When what a report says has to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// With the next round.
    Round,
    /// At once: the target takes work no more, or takes it again.
    Now,
}

/// What an entry passes on of the reports that it gets.
#[derive(Clone, Debug)]
pub struct Relay {
    host: HostId,
    fresh: Duration,
    direct: BTreeMap<TargetId, Direct>,
    near: Outbox,
    far: Outbox,
    demands: Demands,
    sequence: u64,
}

impl Relay {
    /// Returns the relay on `host`, which speaks of a silence after `fresh`.
    pub fn new(host: HostId, fresh: Duration) -> Self {
        Self {
            host,
            fresh,
            direct: BTreeMap::new(),
            near: Outbox::default(),
            far: Outbox::default(),
            demands: Demands::default(),
            sequence: 0,
        }
    }

    /// Returns how often batches are sent among so many entries.
    pub fn period(entries: usize) -> Duration {
        let fits = |(most, _): &&(usize, Duration)| entries <= *most;
        let found = PERIODS.iter().find(fits);
        found.map_or(PERIODS[0].1, |(_, period)| *period)
    }

    /// Takes a report that came from its agent.
    pub fn on_report(&mut self, now: Time, report: Report) -> Urgency {
        let direct = self
            .direct
            .entry(report.target.clone())
            .or_insert_with(|| Direct {
                report: report.clone(),
                heard: now,
                elsewhere: now,
                whole: None,
                load: (now, report.load),
            });
        let old = (direct.report.incarnation, direct.report.sequence);
        if (report.incarnation, report.sequence) < old {
            return Urgency::Round;
        }
        let changed = direct.report.state != report.state;
        direct.heard = now;
        direct.report = report;
        match changed || direct.whole.is_none() {
            true => Urgency::Now,
            false => Urgency::Round,
        }
    }

    /// Takes a batch of another entry, to be passed on if it is of the own group.
    pub fn on_batch(&mut self, now: Time, batch: &ReportBatch) {
        self.note_elsewhere(now, batch);
        if batch.forwarded {
            return;
        }
        self.far.put_batch(now, batch);
        for (age, demand) in &batch.demands {
            self.demands.on_near(ago(now, *age), demand.clone());
        }
    }

    /// Takes what this entry wants of quotas.
    pub fn on_demand(&mut self, now: Time, demand: Demand) {
        self.demands.on_own(now, demand);
    }

    /// Adds what this process says of itself.
    pub fn on_state(&mut self, now: Time, state: &ProcessState) {
        self.near.put_process(now, state.clone());
        self.far.put_process(now, state.clone());
    }

    /// Returns the batches of a round. `is_first` tells the targets whose first relay this is:
    /// it passes their loads on, the others only while they do not hear of them elsewhere.
    pub fn round(
        &mut self,
        now: Time,
        members: &Members,
        revision: Revision,
        grid: &Grid,
        is_first: &dyn Fn(&TargetId) -> bool,
    ) -> Sendings {
        let awake = members.awake();
        self.direct
            .retain(|_, direct| is_kept(now, awake, direct, members));
        let period = Self::period(grid.size());
        self.gather(now, awake, period * 3 / 2, is_first);
        self.sequence += 1;
        let mut near = self.near.take(now, &self.host, revision);
        let mut far = self.far.take(now, &self.host, revision);
        near.demands = self.demands.own(now);
        far.demands = self.demands.sum(now, self.sequence);
        let numbered = |batch: ReportBatch, forwarded: bool| ReportBatch {
            sequence: self.sequence,
            forwarded,
            ..batch
        };
        Sendings {
            near: (!grid.near.is_empty()).then(|| numbered(near, false)),
            far: (!grid.far.is_empty()).then(|| numbered(far, true)),
        }
    }

    /// Returns the targets that report here and have fallen silent.
    pub fn silent(&self, now: Time, awake: Time) -> Vec<SilentTarget> {
        let quiet = |direct: &Direct| now.since(direct.heard.max(awake));
        self.direct
            .values()
            .filter(|direct| quiet(direct) >= self.fresh)
            .map(|direct| SilentTarget {
                relay: self.host.clone(),
                target: direct.report.target.clone(),
                incarnation: direct.report.incarnation,
                quiet: quiet(direct),
            })
            .collect()
    }

    fn note_elsewhere(&mut self, now: Time, batch: &ReportBatch) {
        let reported = batch.reports.iter().map(|(_, report)| &report.target);
        for target in reported {
            if let Some(direct) = self.direct.get_mut(target) {
                direct.elsewhere = now;
            }
        }
        if batch.loads.is_empty() {
            return;
        }
        let loads: BTreeSet<_> = batch.loads.iter().map(|update| update.target).collect();
        for (target, direct) in &mut self.direct {
            if loads.contains(&TargetHash::from(target)) {
                direct.elsewhere = now;
            }
        }
    }

    fn gather(
        &mut self,
        now: Time,
        awake: Time,
        load_period: Duration,
        is_first: &dyn Fn(&TargetId) -> bool,
    ) {
        for silence in self.silent(now, awake) {
            self.near.put_silence(silence.clone());
            self.far.put_silence(silence);
        }
        for (target, direct) in &mut self.direct {
            if needs_whole(now, direct) {
                direct.whole = Some((now, direct.report.clone()));
                direct.load = (now, direct.report.load);
                self.near.put_report(direct.heard, direct.report.clone());
                self.far.put_report(direct.heard, direct.report.clone());
            } else if needs_load(now, load_period, direct) && speaks(now, direct, is_first(target))
            {
                direct.load = (now, direct.report.load);
                let update = to_update(now, direct);
                self.near.put_load(direct.heard, update);
                self.far.put_load(direct.heard, update);
            }
        }
    }
}

/// Returns whether a target still reports here, or is silent everywhere as far as is known.
///
/// An agent may choose other relays, and this one must not be a witness against it then.
fn is_kept(now: Time, awake: Time, direct: &Direct, members: &Members) -> bool {
    let moved = |newest: &Report| newest.sequence > direct.report.sequence;
    let quiet = now.since(direct.heard.max(awake));
    let newest = members.report(&direct.report.target);
    quiet < SILENCE_MAX && !newest.is_some_and(moved)
}

fn to_update(now: Time, direct: &Direct) -> LoadUpdate {
    let report = &direct.report;
    let age = now.since(direct.heard);
    LoadUpdate::new(&report.target, report.sequence, age, &report.load)
}

/// Returns whether what a load update leaves out has changed.
fn needs_whole(now: Time, direct: &Direct) -> bool {
    let Some((sent, whole)) = &direct.whole else {
        return true;
    };
    let report = &direct.report;
    report.incarnation != whole.incarnation
        || report.state != whole.state
        || report.versions != whole.versions
        || report.crashes != whole.crashes
        || report.load.capacity != whole.load.capacity
        || (is_pinned_otherwise(report, whole) && now.since(*sent) >= PINNED_PERIOD)
        || now.since(*sent) >= WHOLE_PERIOD
}

/// Returns whether other versions have live attempts than before; how many does not matter.
fn is_pinned_otherwise(report: &Report, whole: &Report) -> bool {
    let keys = |pins: &Pins| -> Vec<_> {
        let each = |(model, versions): (&ModelName, &BTreeMap<VersionName, u32>)| {
            (model.clone(), versions.keys().cloned().collect::<Vec<_>>())
        };
        pins.iter().map(each).collect()
    };
    keys(&report.pinned) != keys(&whole.pinned)
}

/// Returns whether this relay is the one to pass a load on.
fn speaks(now: Time, direct: &Direct, is_first: bool) -> bool {
    is_first || now.since(direct.elsewhere) >= BACKUP_PERIOD
}

/// Returns whether the load has changed enough, or was last sent long enough ago.
fn needs_load(now: Time, load_period: Duration, direct: &Direct) -> bool {
    let (sent, old) = &direct.load;
    let load = &direct.report.load;
    if direct.heard <= *sent {
        return false;
    }
    let step = load.limit.max(LOAD_SHARE) / LOAD_SHARE;
    load.running.abs_diff(old.running) >= step
        || load.waiting.abs_diff(old.waiting) >= step
        || load.limit.abs_diff(old.limit) >= step
        || now.since(*sent) >= load_period
}
