//! Reports spread among many entries: the machines of membership without sockets.

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

use super::message::MessageCost;

/// How much time is played.
const PLAYED: Duration = Duration::from_secs(64);

/// How much of it passes before the count begins.
const WARM: Duration = Duration::from_secs(16);

/// The regions, over which entries and targets are spread in turn.
const REGIONS: usize = 2;

/// The seed of the random loads.
const SEED: u64 = 6;

/// What an entry pays, on average over all entries.
#[derive(Debug, Serialize)]
pub(super) struct SpreadCost {
    entries: usize,
    targets: usize,
    /// How often agents report.
    report_ms: u128,
    /// How often batches are sent.
    period_ms: u128,
    /// Whole bytes a second in and out, HTTP included.
    bytes_per_second: f64,
    /// Of these, reports from agents.
    report_bytes_per_second: f64,
    /// The most that any entry pays, in and out.
    worst_bytes_per_second: f64,
    /// Messages a second in and out.
    messages_per_second: f64,
    /// Processor time of the decisions and the codec, as a share of a core.
    decision_share: f64,
    /// Processor time with that of HTTP, as a share of a core.
    total_share: f64,
    /// Processor time of making the view four times a second, as a share of a core.
    view_share: f64,
    /// The age of a load as an entry sees it, at the end.
    age_p50_ms: u128,
    age_max_ms: u128,
}

/// How often an entry makes its view.
const VIEWS_PER_SECOND: f64 = 4.0;

/// How many views are made for the measurement.
const VIEWS: u32 = 50;

struct Entry {
    members: Members,
    relay: Relay,
    grid: RelayGroups,
    bytes: u64,
}

struct World {
    entries: Vec<Entry>,
    reports: Vec<Report>,
    relays: Vec<Vec<usize>>,
    firsts: Vec<BTreeSet<TargetId>>,
    index: BTreeMap<HostId, usize>,
    rng: StdRng,
    messages: u64,
    report_bytes: u64,
    overhead: u64,
    busy: Duration,
}

/// Plays reports and batches.
pub(super) fn measure(
    (entries, targets): (usize, usize),
    report_period: Duration,
    message: &MessageCost,
) -> SpreadCost {
    let mut world = World::new(entries, targets, message.overhead_bytes);
    let period = Relay::period(entries);
    let mut now = Time(1_000_000_000);
    let (start, mut next_round) = (now, now);
    while now.since(start) < WARM + PLAYED {
        if now.since(start) == WARM {
            world.reset();
        }
        world.report(now);
        if now >= next_round {
            next_round = now + period;
            world.round(now);
        }
        now = now + report_period;
    }
    SpreadCost {
        report_ms: report_period.as_millis(),
        ..world.cost(now, targets, period, message)
    }
}

impl World {
    fn new(entries: usize, targets: usize, overhead: u64) -> Self {
        let peers: Vec<_> = (0..entries).map(peer).collect();
        let limits = MembershipLimits::default;
        let start = Time(1_000_000_000);
        let entry = |peer: &EntryPeer| Entry {
            members: Members::new(peer.host.clone(), limits(), start),
            relay: Relay::new(peer.host.clone(), limits().silent_after),
            grid: RelayGroups::new(&peer.host, &peers),
            bytes: 0,
        };
        let reports: Vec<_> = (0..targets).map(report).collect();
        Self {
            entries: peers.iter().map(entry).collect(),
            firsts: firsts(&peers, &reports),
            relays: (0..targets).map(|n| relays(&peers, &reports, n)).collect(),
            reports,
            index: peers
                .iter()
                .enumerate()
                .map(|(n, p)| (p.host.clone(), n))
                .collect(),
            rng: StdRng::seed_from_u64(SEED),
            messages: 0,
            report_bytes: 0,
            overhead,
            busy: Duration::ZERO,
        }
    }

    fn reset(&mut self) {
        (self.messages, self.report_bytes, self.busy) = (0, 0, Duration::ZERO);
        for entry in &mut self.entries {
            entry.bytes = 0;
        }
    }

    fn report(&mut self, now: Time) {
        for n in 0..self.reports.len() {
            let rng = &mut self.rng;
            let report = &mut self.reports[n];
            report.sequence += 1;
            wander(&mut report.load, rng);
            let report = report.clone();
            let bytes = cw_wire::encode(&report).expect("a message").len() as u64;
            for relay in self.relays[n].clone() {
                let begin = Instant::now();
                let entry = &mut self.entries[relay];
                entry.relay.on_report(now, report.clone());
                entry.members.on_report(now, Duration::ZERO, report.clone());
                self.busy += begin.elapsed();
                entry.bytes += bytes + self.overhead;
                self.report_bytes += bytes + self.overhead;
                self.messages += 1;
            }
        }
    }

    fn round(&mut self, now: Time) {
        for from in 0..self.entries.len() {
            let entry = &mut self.entries[from];
            let begin = Instant::now();
            entry.members.on_tick(now);
            let grid = entry.grid.clone();
            let firsts = &self.firsts[from];
            let is_first = |target: &TargetId| firsts.contains(target);
            let revision = Revision(1);
            let sendings = entry
                .relay
                .round(now, &entry.members, revision, &grid, &is_first);
            self.busy += begin.elapsed();
            for (peers, batch) in [
                (&grid.group_peers, sendings.group),
                (&grid.forward_peers, sendings.forwarded),
            ] {
                let Some(batch) = batch else { continue };
                self.send(now, from, peers, &batch);
            }
        }
    }

    fn send(&mut self, now: Time, from: usize, peers: &[EntryPeer], batch: &ReportBatch) {
        let begin = Instant::now();
        let bytes = cw_wire::encode(batch).expect("a message");
        self.busy += begin.elapsed();
        let size = bytes.len() as u64 + self.overhead;
        for peer in peers {
            let entry = &mut self.entries[self.index[&peer.host]];
            let begin = Instant::now();
            let read: ReportBatch = cw_wire::decode(&bytes).expect("a message");
            entry.relay.on_batch(now, &read);
            entry.members.on_batch(now, &read);
            self.busy += begin.elapsed();
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
    ) -> SpreadCost {
        let entries = self.entries.len();
        let each = PLAYED.as_secs_f64() * entries as f64;
        let total: u64 = self.entries.iter().map(|entry| entry.bytes).sum();
        let worst = self.entries.iter().map(|entry| entry.bytes).max();
        let messages = self.messages as f64 / each;
        let decision = self.busy.as_secs_f64() / each;
        // The time of a message is that of both its sides, and each message is counted at both.
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
        SpreadCost {
            entries,
            targets,
            report_ms: 0,
            period_ms: period.as_millis(),
            bytes_per_second: total as f64 / each,
            report_bytes_per_second: self.report_bytes as f64 / each,
            worst_bytes_per_second: worst.unwrap_or_default() as f64 / PLAYED.as_secs_f64(),
            messages_per_second: messages,
            decision_share: decision,
            view_share,
            total_share: decision + http_share + view_share,
            age_p50_ms: ages[ages.len() / 2],
            age_max_ms: ages[ages.len() - 1],
        }
    }
}

impl World {
    /// Returns how long it takes to make the view of an entry.
    fn view_time(&mut self, now: Time, targets: usize) -> Duration {
        let config = Config {
            targets: (0..targets).map(record).collect(),
            ..Config::default()
        };
        let members = &mut self.entries[0].members;
        members.on_config(&config);
        let begin = Instant::now();
        for _ in 0..VIEWS {
            assert_eq!(members.view(now).len(), targets);
        }
        begin.elapsed() / VIEWS
    }
}

fn record(n: usize) -> (TargetId, Target) {
    let report = report(n);
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

/// Returns, for each entry, the targets whose first relay it is.
fn firsts(peers: &[EntryPeer], reports: &[Report]) -> Vec<BTreeSet<TargetId>> {
    let mut found = vec![BTreeSet::new(); peers.len()];
    for (n, report) in reports.iter().enumerate() {
        let region = &peers[n % REGIONS].region;
        let first = primary_relay(&report.target, region, peers).expect("an entry");
        let index = peers.iter().position(|peer| peer.host == *first);
        found[index.expect("one of them")].insert(report.target.clone());
    }
    found
}

/// Returns the entries that an agent reports to.
fn relays(peers: &[EntryPeer], reports: &[Report], target: usize) -> Vec<usize> {
    let region = &peers[target % REGIONS].region;
    let chosen = membership::relays(&reports[target].target, region, peers);
    let index = |relay: &EntryPeer| peers.iter().position(|peer| peer == relay);
    chosen.into_iter().filter_map(index).collect()
}

fn peer(n: usize) -> EntryPeer {
    EntryPeer {
        host: format!("entry-host-{n:04}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % 6).parse().expect("a valid name"),
        region: format!("region-{}", n % REGIONS)
            .parse()
            .expect("a valid name"),
        peer_address: "10.0.0.1:7000".parse().expect("an address"),
    }
}

fn report(n: usize) -> Report {
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

/// Moves a load as a busy engine's moves in half a second.
fn wander(load: &mut Load, rng: &mut StdRng) {
    let step = rng.random_range(-3_i64..=3);
    let running = i64::from(load.running) + step;
    load.running = running.clamp(0, 64) as u32;
    load.waiting = rng.random_range(0..4);
    load.prefill = TokenCount(rng.random_range(0..8_000));
}
