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

use super::TARGET_COUNTS;
use super::linear_fit::LinearFit;

/// The number of workspaces that send requests.
const WORKSPACE_COUNT: usize = 420;
/// Decisions between two reports that are 250 ms apart, at 2300 decisions per second.
const DECISIONS_PER_INTERVAL: usize = 575;
/// The number of report intervals that are simulated.
const INTERVALS: usize = 40;
/// The time of the first decision.
const START: Time = Time(1_000_000_000);

fn parse<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn target_view(number: usize, rng: &mut SmallRng) -> TargetView {
    let versions = BTreeSet::from([parse("v1".to_owned())]);
    TargetView {
        target: Target {
            agent: "127.0.0.1:1".parse().expect("a valid address"),
            host: parse(format!("host-{number:04}")),
            zone: parse(format!("zone-{}", number % 6)),
            region: parse(format!("region-{}", number % 2)),
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
        reported_at: START,
        alive_since: Time(0),
        versions: BTreeMap::from([(parse("model".to_owned()), versions)]),
        crashes: Vec::new(),
    }
}

fn request(workspace: usize) -> RouteRequest {
    let workspace = parse(format!("workspace-{workspace:03}"));
    let model = parse("model".to_owned());
    let version = parse("v1".to_owned());
    let prompt = Prompt::Text(format!("The ledger of {workspace}. ").repeat(200));
    let blocks = blocks(&workspace, &model, &version, None, &prompt);
    let to = RouteTarget::Model {
        model,
        version,
        adapter: None,
    };
    let zone = parse("zone-0".to_owned());
    let region = parse("region-0".to_owned());
    RouteRequest::new(to, workspace, zone, region).with_prompt(blocks, TokenCount(1200))
}

/// Mean times in microseconds.
#[derive(Clone, Copy, Debug)]
struct MeanTimes {
    /// The time of one decision, including the updates of the dispatch log and the cache index.
    decision: f64,
    /// The time to build an index from a view.
    index: f64,
}

/// Returns the mean times over all intervals; each starts with a new report of every target.
fn measure(targets: usize, all_busy: bool) -> MeanTimes {
    let mut rng = SmallRng::seed_from_u64(1);
    let requests: Vec<_> = (0..WORKSPACE_COUNT).map(request).collect();
    let mut view = View {
        targets: (0..targets)
            .map(|number| {
                (
                    parse(format!("target-{number:04}")),
                    target_view(number, &mut rng),
                )
            })
            .collect(),
        ..View::default()
    };
    let mut dispatches = DispatchLog::default();
    let mut now = START;
    let (mut decision_time, mut index_time) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..INTERVALS {
        for (id, target) in &mut view.targets {
            target.reported_at = now;
            if all_busy {
                dispatches.record_refusal(now, id, Duration::from_secs(1));
            }
        }
        dispatches.observe(now, &view);
        let start = Instant::now();
        let index = TargetIndex::new(&view);
        index_time += start.elapsed();
        let start = Instant::now();
        for number in 0..DECISIONS_PER_INTERVAL {
            now = now + Duration::from_micros(435);
            let request = &requests[number % WORKSPACE_COUNT];
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
        decision_time += start.elapsed();
    }
    MeanTimes {
        decision: decision_time.as_secs_f64() * 1e6 / (INTERVALS * DECISIONS_PER_INTERVAL) as f64,
        index: index_time.as_secs_f64() * 1e6 / INTERVALS as f64,
    }
}

/// Returns linear fits of the time of a decision and of an index, with free and with busy targets.
pub(super) fn fits() -> Vec<LinearFit> {
    let mut fits = Vec::new();
    for (all_busy, name) in [(false, "targets free"), (true, "all targets busy")] {
        let times = TARGET_COUNTS.map(|count| (count as f64, measure(count, all_busy)));
        let decision = times.map(|(count, times)| (count, times.decision)).to_vec();
        let index = times.map(|(count, times)| (count, times.index)).to_vec();
        let measure = format!("choice of a target, {name}");
        fits.push(LinearFit::fit(&measure, "us", "target", decision));
        let measure = format!("index of a view, {name}");
        fits.push(LinearFit::fit(&measure, "us", "target", index));
    }
    fits
}
