//! The cost of choosing a target, by the number of targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_policy::prefix::blocks;
use cw_policy::routing::Choice;
use cw_policy::routing::DispatchLog;
use cw_policy::routing::Policy;
use cw_policy::routing::RouteRequest;
use cw_policy::routing::TargetIndex;
use cw_types::Incarnation;
use cw_types::RouteTarget;
use cw_types::Target;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;
use cw_wire::Prompt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::TARGETS;
use super::line::Line;

/// The workspaces that ask.
const WORKSPACES: usize = 420;
/// Decisions between two reports, 250 ms apart, at 2300 a second.
const DECISIONS: usize = 575;
/// How often all decisions are made.
const REPEATS: usize = 40;
/// The moment of the first decision.
const NOW: Time = Time(1_000_000_000);

fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn target(number: usize, rng: &mut SmallRng) -> TargetView {
    let versions = BTreeSet::from([name("v1".to_owned())]);
    TargetView {
        target: Target {
            agent: "127.0.0.1:1".parse().expect("a valid address"),
            host: name(format!("host-{number:04}")),
            zone: name(format!("zone-{}", number % 6)),
            region: name(format!("region-{}", number % 2)),
            kind: TargetKind::Engine,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load {
            running: rng.random_range(8..16),
            limit: 16,
            ..Load::default()
        },
        reported_at: NOW,
        alive_since: Time(0),
        versions: BTreeMap::from([(name("model".to_owned()), versions)]),
        crashes: Vec::new(),
    }
}

fn request(workspace: usize) -> RouteRequest {
    let workspace = name(format!("workspace-{workspace:03}"));
    let model = name("model".to_owned());
    let version = name("v1".to_owned());
    let prompt = Prompt::Text(format!("The ledger of {workspace}. ").repeat(200));
    let blocks = blocks(&workspace, &model, &version, None, &prompt);
    let to = RouteTarget::Model {
        model,
        version,
        adapter: None,
    };
    let zone = name("zone-0".to_owned());
    let region = name("region-0".to_owned());
    RouteRequest::new(to, workspace, zone, region).with_prompt(blocks, TokenCount(1200))
}

/// Times in microseconds.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// The mean of a decision, with learning and recording.
    decision: f64,
    /// The mean of making an index from a view.
    index: f64,
}

/// Returns the times over all repeats, each with a new report of all targets.
fn measure(targets: usize, all_busy: bool) -> Times {
    let mut rng = SmallRng::seed_from_u64(1);
    let requests: Vec<_> = (0..WORKSPACES).map(request).collect();
    let mut view = View {
        targets: (0..targets)
            .map(|number| {
                (
                    name(format!("target-{number:04}")),
                    target(number, &mut rng),
                )
            })
            .collect(),
        ..View::default()
    };
    let mut dispatches = DispatchLog::default();
    let mut now = NOW;
    let (mut deciding, mut indexing) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..REPEATS {
        for (id, target) in &mut view.targets {
            target.reported_at = now;
            if all_busy {
                dispatches.record_refusal(now, id, Duration::from_secs(1));
            }
        }
        dispatches.observe(now, &view);
        let start = Instant::now();
        let index = TargetIndex::new(&view);
        indexing += start.elapsed();
        let start = Instant::now();
        for number in 0..DECISIONS {
            now = now + Duration::from_micros(435);
            let request = &requests[number % WORKSPACES];
            let choice = index.choose(now, Policy::Affinity, request, &dispatches, &mut rng);
            if let Choice::Target(id) = black_box(choice) {
                dispatches.record_dispatch(now, &id, request);
                dispatches.cache_index.learn(
                    &id,
                    &request.blocks,
                    TokenCount(600),
                    TokenCount(1200),
                );
            }
        }
        deciding += start.elapsed();
    }
    Times {
        decision: deciding.as_secs_f64() * 1e6 / (REPEATS * DECISIONS) as f64,
        index: indexing.as_secs_f64() * 1e6 / REPEATS as f64,
    }
}

/// Returns the lines of a decision and of an index, with free and with busy targets.
pub(super) fn lines() -> Vec<Line> {
    let mut lines = Vec::new();
    for (all_busy, name) in [(false, "targets free"), (true, "all targets busy")] {
        let times = TARGETS.map(|count| (count as f64, measure(count, all_busy)));
        let decision = times.map(|(count, times)| (count, times.decision)).to_vec();
        let index = times.map(|(count, times)| (count, times.index)).to_vec();
        let measure = format!("choice of a target, {name}");
        lines.push(Line::fit(&measure, "us", "target", decision));
        let measure = format!("index of a view, {name}");
        lines.push(Line::fit(&measure, "us", "target", index));
    }
    lines
}
