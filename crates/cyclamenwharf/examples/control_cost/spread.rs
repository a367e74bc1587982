//! Reports spread among many entries: the machines of membership without sockets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cw_policy::EntryPeer;
use cw_policy::membership::Grid;
use cw_policy::membership::Members;
use cw_policy::membership::MembershipLimits;
use cw_policy::membership::Relay;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Revision;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Batch;
use cw_wire::Load;
use cw_wire::Report;
use cw_wire::TargetState;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::MessageCost;

/// How much time is played.
const PLAYED: Duration = Duration::from_secs(60);

/// How much of it passes before the count begins.
const WARM: Duration = Duration::from_secs(8);

/// How often an agent reports.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// To how many entries an agent reports.
const RELAYS: usize = 3;

/// The regions, over which entries and targets are spread in turn.
const REGIONS: usize = 2;

/// The seed of the random loads.
const SEED: u64 = 6;

/// What an entry pays, on average over all entries.
#[derive(Debug, Serialize)]
pub(crate) struct SpreadCost {
    entries: usize,
    targets: usize,
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
    /// The age of a load as an entry sees it, at the end.
    age_p50_ms: u128,
    age_max_ms: u128,
}

struct Entry {
    members: Members,
    relay: Relay,
    grid: Grid,
    bytes: u64,
}

struct World {
    peers: Vec<EntryPeer>,
    entries: Vec<Entry>,
    reports: Vec<Report>,
    index: BTreeMap<HostId, usize>,
    rng: StdRng,
    messages: u64,
    report_bytes: u64,
    overhead: u64,
    busy: Duration,
}

/// Plays reports and batches.
pub(crate) fn measure(entries: usize, targets: usize, message: &MessageCost) -> SpreadCost {
    let mut world = World::new(entries, targets, message.overhead_bytes);
    let period = Relay::period(entries, targets);
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
        now = now + REPORT_PERIOD;
    }
    world.cost(now, targets, period, message)
}

impl World {
    fn new(entries: usize, targets: usize, overhead: u64) -> Self {
        let peers: Vec<_> = (0..entries).map(peer).collect();
        let limits = MembershipLimits::default;
        let start = Time(1_000_000_000);
        let entry = |peer: &EntryPeer| Entry {
            members: Members::new(peer.host.clone(), limits(), start),
            relay: Relay::new(peer.host.clone(), limits().fresh),
            grid: Grid::new(&peer.host, &peers),
            bytes: 0,
        };
        Self {
            entries: peers.iter().map(entry).collect(),
            reports: (0..targets).map(report).collect(),
            index: peers
                .iter()
                .enumerate()
                .map(|(n, p)| (p.host.clone(), n))
                .collect(),
            peers,
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
            for relay in self.relays(n) {
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

    fn relays(&self, target: usize) -> Vec<usize> {
        let id = self.reports[target].target.as_str();
        let near = |n: &usize| n % REGIONS == target % REGIONS;
        let mut ranked: Vec<_> = (0..self.peers.len()).filter(near).collect();
        ranked.sort_by_key(|n| xxh3_64(format!("{}/{id}", self.peers[*n].host).as_bytes()));
        ranked.truncate(RELAYS);
        ranked
    }

    fn round(&mut self, now: Time) {
        for from in 0..self.entries.len() {
            let entry = &mut self.entries[from];
            let begin = Instant::now();
            entry.members.on_tick(now);
            let grid = entry.grid.clone();
            let sendings = entry.relay.round(now, &entry.members, Revision(1), &grid);
            self.busy += begin.elapsed();
            for (peers, batch) in [(&grid.near, sendings.near), (&grid.far, sendings.far)] {
                let Some(batch) = batch else { continue };
                self.send(now, from, peers, &batch);
            }
        }
    }

    fn send(&mut self, now: Time, from: usize, peers: &[EntryPeer], batch: &Batch) {
        let begin = Instant::now();
        let bytes = cw_wire::encode(batch).expect("a message");
        self.busy += begin.elapsed();
        let size = bytes.len() as u64 + self.overhead;
        for peer in peers {
            let entry = &mut self.entries[self.index[&peer.host]];
            let begin = Instant::now();
            let read: Batch = cw_wire::decode(&bytes).expect("a message");
            entry.relay.on_batch(now, &read);
            entry.members.on_batch(now, &read);
            self.busy += begin.elapsed();
            entry.bytes += size;
            self.entries[from].bytes += size;
            self.messages += 2;
        }
    }

    fn cost(&self, now: Time, targets: usize, period: Duration, http: &MessageCost) -> SpreadCost {
        let entries = self.entries.len();
        let each = PLAYED.as_secs_f64() * entries as f64;
        let total: u64 = self.entries.iter().map(|entry| entry.bytes).sum();
        let worst = self.entries.iter().map(|entry| entry.bytes).max();
        let messages = self.messages as f64 / each;
        let decision = self.busy.as_secs_f64() / each;
        // The time of a message is that of both its sides, and each message is counted at both.
        let http_share = messages * http.cpu_micros / 2.0 / 1e6;
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
            period_ms: period.as_millis(),
            bytes_per_second: total as f64 / each,
            report_bytes_per_second: self.report_bytes as f64 / each,
            worst_bytes_per_second: worst.unwrap_or_default() as f64 / PLAYED.as_secs_f64(),
            messages_per_second: messages,
            decision_share: decision,
            total_share: decision + http_share,
            age_p50_ms: ages[ages.len() / 2],
            age_max_ms: ages[ages.len() - 1],
        }
    }
}

fn peer(n: usize) -> EntryPeer {
    EntryPeer {
        host: format!("entry-host-{n:04}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % 6).parse().expect("a valid name"),
        region: format!("region-{}", n % REGIONS)
            .parse()
            .expect("a valid name"),
        peers: "10.0.0.1:7000".parse().expect("an address"),
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
