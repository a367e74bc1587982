//! The cost of disseminating target reports to many entries, simulated without sockets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cw_policy::EntryPeer;
use cw_policy::membership;
use cw_policy::membership::Members;
use cw_policy::membership::MembershipLimits;
use cw_policy::membership::Relay;
use cw_policy::membership::RelayGroups;
use cw_policy::membership::primary_relay;
use cw_types::Config;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Revision;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::TargetState;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use super::message_cost::MessageCost;

/// The simulated time over which costs are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(64);

/// The simulated time before costs are counted.
const WARM_UP: Duration = Duration::from_secs(16);

/// The number of regions, to which entries and targets are assigned round-robin.
const REGION_COUNT: usize = 2;

/// The seed of the random loads.
const SEED: u64 = 6;

/// The cost for one entry, on average over all entries.
#[derive(Debug, Serialize)]
pub(super) struct DisseminationCost {
    entries: usize,
    targets: usize,
    /// The interval between an agent's reports.
    report_ms: u128,
    /// The interval between batches.
    period_ms: u128,
    /// Bytes per second sent and received, including HTTP.
    bytes_per_second: f64,
    /// The part of them that is reports from agents.
    report_bytes_per_second: f64,
    /// Bytes per second sent and received by the entry with the most traffic.
    worst_bytes_per_second: f64,
    /// Messages per second sent and received.
    messages_per_second: f64,
    /// Processor time of the state machines and the codec, as a share of a core.
    decision_share: f64,
    /// Processor time of all parts, including HTTP and the view, as a share of a core.
    total_share: f64,
    /// Processor time to build the view four times a second, as a share of a core.
    view_share: f64,
    /// The median age of the loads that an entry knows at the end of the run.
    age_p50_ms: u128,
    age_max_ms: u128,
}

/// How often an entry builds its view.
const VIEWS_PER_SECOND: f64 = 4.0;

/// The number of views that are built to measure the time of one.
const VIEW_COUNT: u32 = 50;

/// The state machines of one entry, and its traffic.
struct Entry {
    members: Members,
    relay: Relay,
    groups: RelayGroups,
    /// Bytes sent and received.
    bytes: u64,
}

/// A simulation of agents and entries in which every message arrives at once.
struct Simulation {
    entries: Vec<Entry>,
    reports: Vec<Report>,
    /// For each target, the indices of the entries to which its agent reports.
    relays: Vec<Vec<usize>>,
    /// For each entry, the targets whose primary relay it is.
    primary_targets: Vec<BTreeSet<TargetId>>,
    entry_index: BTreeMap<HostId, usize>,
    rng: StdRng,
    messages: u64,
    report_bytes: u64,
    /// Bytes of HTTP per message.
    overhead: u64,
    /// The time that the state machines and the codec have taken.
    processing: Duration,
}

/// Simulates reports and batches, and returns what they cost.
pub(super) fn measure(
    (entries, targets): (usize, usize),
    report_period: Duration,
    message: &MessageCost,
) -> DisseminationCost {
    let mut simulation = Simulation::new(entries, targets, message.overhead_bytes);
    let period = Relay::period(entries);
    let mut now = Time(1_000_000_000);
    let (start, mut next_round) = (now, now);
    while now.since(start) < WARM_UP + COUNT_PERIOD {
        if now.since(start) == WARM_UP {
            simulation.reset_counts();
        }
        simulation.send_reports(now);
        if now >= next_round {
            next_round = now + period;
            simulation.send_batches(now);
        }
        now = now + report_period;
    }
    DisseminationCost {
        report_ms: report_period.as_millis(),
        ..simulation.cost(now, targets, period, message)
    }
}

impl Simulation {
    fn new(entries: usize, targets: usize, overhead: u64) -> Self {
        let peers: Vec<_> = (0..entries).map(peer).collect();
        let limits = MembershipLimits::default;
        let start = Time(1_000_000_000);
        let entry = |peer: &EntryPeer| Entry {
            members: Members::new(peer.host.clone(), limits(), start),
            relay: Relay::new(peer.host.clone(), limits().silent_after),
            groups: RelayGroups::new(&peer.host, &peers),
            bytes: 0,
        };
        let reports: Vec<_> = (0..targets).map(target_report).collect();
        Self {
            entries: peers.iter().map(entry).collect(),
            primary_targets: primary_targets(&peers, &reports),
            relays: (0..targets).map(|n| relays(&peers, &reports, n)).collect(),
            reports,
            entry_index: peers
                .iter()
                .enumerate()
                .map(|(n, p)| (p.host.clone(), n))
                .collect(),
            rng: StdRng::seed_from_u64(SEED),
            messages: 0,
            report_bytes: 0,
            overhead,
            processing: Duration::ZERO,
        }
    }

    fn reset_counts(&mut self) {
        (self.messages, self.report_bytes, self.processing) = (0, 0, Duration::ZERO);
        for entry in &mut self.entries {
            entry.bytes = 0;
        }
    }

    fn send_reports(&mut self, now: Time) {
        for n in 0..self.reports.len() {
            let rng = &mut self.rng;
            let report = &mut self.reports[n];
            report.sequence += 1;
            vary_load(&mut report.load, rng);
            let report = report.clone();
            let bytes = cw_wire::encode(&report).expect("a valid message").len() as u64;
            for relay in self.relays[n].clone() {
                let begin = Instant::now();
                let entry = &mut self.entries[relay];
                entry.relay.on_report(now, report.clone());
                entry.members.on_report(now, Duration::ZERO, report.clone());
                self.processing += begin.elapsed();
                entry.bytes += bytes + self.overhead;
                self.report_bytes += bytes + self.overhead;
                self.messages += 1;
            }
        }
    }

    fn send_batches(&mut self, now: Time) {
        for from in 0..self.entries.len() {
            let entry = &mut self.entries[from];
            let begin = Instant::now();
            entry.members.on_tick(now);
            let groups = entry.groups.clone();
            let primary_targets = &self.primary_targets[from];
            let is_primary = |target: &TargetId| primary_targets.contains(target);
            let revision = Revision(1);
            let batches = entry
                .relay
                .round(now, &entry.members, revision, &groups, &is_primary);
            self.processing += begin.elapsed();
            for (peers, batch) in [
                (&groups.group_peers, batches.group),
                (&groups.forward_peers, batches.forwarded),
            ] {
                let Some(batch) = batch else { continue };
                self.send_batch(now, from, peers, &batch);
            }
        }
    }

    fn send_batch(&mut self, now: Time, from: usize, peers: &[EntryPeer], batch: &ReportBatch) {
        let begin = Instant::now();
        let bytes = cw_wire::encode(batch).expect("a valid message");
        self.processing += begin.elapsed();
        let size = bytes.len() as u64 + self.overhead;
        for peer in peers {
            let entry = &mut self.entries[self.entry_index[&peer.host]];
            let begin = Instant::now();
            let received: ReportBatch = cw_wire::decode(&bytes).expect("a valid message");
            entry.relay.on_batch(now, &received);
            entry.members.on_batch(now, &received);
            self.processing += begin.elapsed();
            entry.bytes += size;
            self.entries[from].bytes += size;
            self.messages += 2;
        }
    }

    fn cost(
        &mut self,
        now: Time,
        targets: usize,
        period: Duration,
        http: &MessageCost,
    ) -> DisseminationCost {
        let entries = self.entries.len();
        let entry_seconds = COUNT_PERIOD.as_secs_f64() * entries as f64;
        let total: u64 = self.entries.iter().map(|entry| entry.bytes).sum();
        let worst = self.entries.iter().map(|entry| entry.bytes).max();
        let messages = self.messages as f64 / entry_seconds;
        let decision_share = self.processing.as_secs_f64() / entry_seconds;
        // `cpu_micros` covers both sides of a message, and `messages` counts each message at both.
        let http_share = messages * http.cpu_micros / 2.0 / 1e6;
        let view_share = self.view_time(now, targets).as_secs_f64() * VIEWS_PER_SECOND;
        let mut ages: Vec<_> = self.entries[0]
            .members
            .reports(now)
            .into_iter()
            .map(|(age, _)| age.as_millis())
            .collect();
        ages.sort_unstable();
        assert_eq!(ages.len(), targets, "an entry knows every target");
        DisseminationCost {
            entries,
            targets,
            report_ms: 0,
            period_ms: period.as_millis(),
            bytes_per_second: total as f64 / entry_seconds,
            report_bytes_per_second: self.report_bytes as f64 / entry_seconds,
            worst_bytes_per_second: worst.unwrap_or_default() as f64 / COUNT_PERIOD.as_secs_f64(),
            messages_per_second: messages,
            decision_share,
            view_share,
            total_share: decision_share + http_share + view_share,
            age_p50_ms: ages[ages.len() / 2],
            age_max_ms: ages[ages.len() - 1],
        }
    }
}

impl Simulation {
    /// Returns the mean time to build the view of an entry.
    fn view_time(&mut self, now: Time, targets: usize) -> Duration {
        let config = Config {
            targets: (0..targets).map(target_record).collect(),
            ..Config::default()
        };
        let members = &mut self.entries[0].members;
        members.on_config(&config);
        let begin = Instant::now();
        for _ in 0..VIEW_COUNT {
            assert_eq!(members.view(now).len(), targets);
        }
        begin.elapsed() / VIEW_COUNT
    }
}

fn target_record(n: usize) -> (TargetId, Target) {
    let report = target_report(n);
    let target = Target {
        agent: "10.0.0.1:7000".parse().expect("an address"),
        host: report.host,
        zone: "zone-1".parse().expect("a valid name"),
        region: "region-1".parse().expect("a valid name"),
        kind: TargetKind::Engine,
        fenced: true,
        versions: report.versions,
    };
    (report.target, target)
}

/// Returns, for each entry, the targets whose primary relay it is.
fn primary_targets(peers: &[EntryPeer], reports: &[Report]) -> Vec<BTreeSet<TargetId>> {
    let mut by_entry = vec![BTreeSet::new(); peers.len()];
    for (n, report) in reports.iter().enumerate() {
        let region = &peers[n % REGION_COUNT].region;
        let primary = primary_relay(&report.target, region, peers).expect("there is an entry");
        let index = peers.iter().position(|peer| peer.host == *primary);
        by_entry[index.expect("the primary relay is one of the entries")]
            .insert(report.target.clone());
    }
    by_entry
}

/// Returns the indices of the entries to which the agent of a target reports.
fn relays(peers: &[EntryPeer], reports: &[Report], target: usize) -> Vec<usize> {
    let region = &peers[target % REGION_COUNT].region;
    let chosen = membership::relays(&reports[target].target, region, peers);
    let index = |relay: &EntryPeer| peers.iter().position(|peer| peer == relay);
    chosen.into_iter().filter_map(index).collect()
}

fn peer(n: usize) -> EntryPeer {
    EntryPeer {
        host: format!("entry-host-{n:04}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % 6).parse().expect("a valid name"),
        region: format!("region-{}", n % REGION_COUNT)
            .parse()
            .expect("a valid name"),
        peer_address: "10.0.0.1:7000".parse().expect("an address"),
    }
}

fn target_report(n: usize) -> Report {
    let target: TargetId = format!("target-{n:05}").parse().expect("a valid name");
    let model = "settlement".parse().expect("a valid name");
    let version = "2026-12-01".parse().expect("a valid name");
    Report {
        target,
        host: format!("engine-host-{n:05}").parse().expect("a valid name"),
        incarnation: Incarnation(1_800_000_000_000_000 + n as u64),
        sequence: 100_000,
        state: TargetState::Up,
        load: Load {
            running: 40,
            limit: 64,
            cached: TokenCount(700_000),
            capacity: TokenCount(1_000_000),
            step: Duration::from_millis(40),
            ..Load::default()
        },
        versions: [(model, [version].into())].into(),
        pinned: BTreeMap::new(),
        crashes: Vec::new(),
        revision: Revision(1),
    }
}

/// Changes a load as much as that of a busy engine changes in half a second.
fn vary_load(load: &mut Load, rng: &mut StdRng) {
    let step = rng.random_range(-3_i64..=3);
    let running = i64::from(load.running) + step;
    load.running = running.clamp(0, 64) as u32;
    load.waiting = rng.random_range(0..4);
    load.prefill = TokenCount(rng.random_range(0..8_000));
}
