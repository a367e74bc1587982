//! Tests of the preference among the targets that may be chosen.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::View;
use cw_policy::prefix::Block;
use cw_policy::routing::Choice;
use cw_policy::routing::DispatchLog;
use cw_policy::routing::Policy;
use cw_policy::routing::RouteRequest;
use cw_policy::routing::TargetIndex;
use cw_types::Recovery;
use cw_types::TargetId;
use cw_types::TokenCount;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::fixtures::id;
use crate::fixtures::now;
use crate::fixtures::request;
use crate::fixtures::view;

/// Returns a request whose prompt has no block in common with that of another number.
fn prompt(number: u64, tokens: u64) -> RouteRequest {
    let block = |end| Block {
        hash: number * 100 + u64::from(end),
        end,
    };
    request("w").with_prompt(vec![block(4000), block(8000)], TokenCount(tokens))
}

/// Chooses targets for `count` prompts, records the dispatches and counts them by target.
fn count_choices(view: &View, count: u64, tokens: u64) -> BTreeMap<TargetId, u32> {
    let index = TargetIndex::new(view);
    let mut dispatches = DispatchLog::default();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut counts = BTreeMap::new();
    for number in 0..count {
        let request = prompt(number, tokens);
        let choice = index.choose(now(), Policy::default(), &request, &dispatches, &mut rng);
        let Choice::Target(target) = choice else {
            panic!("{choice:?}");
        };
        dispatches.record_dispatch(now(), &target, &request);
        *counts.entry(target).or_default() += 1;
    }
    counts
}

#[test]
fn entries_that_share_nothing_prefer_the_same_target() {
    let index = TargetIndex::new(&view(40));
    let chosen = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        index.choose(
            now(),
            Policy::default(),
            &prompt(7, 4000),
            &DispatchLog::default(),
            &mut rng,
        )
    };
    for seed in 1..20 {
        assert_eq!(chosen(seed), chosen(0));
    }
}

#[test]
fn prompts_that_differ_only_at_their_end_prefer_the_same_target() {
    let index = TargetIndex::new(&view(40));
    let chosen = |question: u64| {
        let block = |hash, end| Block { hash, end };
        let blocks = vec![block(1, 1024), block(2, 2048), block(100 + question, 2400)];
        let request = request("w").with_prompt(blocks, TokenCount(600));
        let mut rng = SmallRng::seed_from_u64(question);
        let dispatches = DispatchLog::default();
        index.choose(now(), Policy::default(), &request, &dispatches, &mut rng)
    };

    let first = chosen(0);

    assert!((1..20).all(|question| chosen(question) == first));
}

#[test]
fn the_own_availability_zone_is_preferred_until_it_is_loaded() {
    let in_zone = |counts: &BTreeMap<TargetId, u32>| -> u32 {
        let zone = (0..30).step_by(3).map(id);
        zone.filter_map(|target| counts.get(&target)).sum()
    };
    let idle = view(30);
    let mut loaded = view(30);
    for number in (0..30).step_by(3) {
        loaded.targets.get_mut(&id(number)).unwrap().load.running = 16;
    }
    // Prompts without tokens have no prefill cost, so that only load and distance count.
    let first = count_choices(&idle, 1, 0);
    let under_load = count_choices(&loaded, 30, 0);

    assert_eq!(in_zone(&first), 1);
    assert_eq!(in_zone(&under_load), 0);
}

#[test]
fn a_target_that_returned_takes_up_its_share_slowly() {
    let mut view = view(10);
    for target in view.targets.values_mut() {
        target.load.running = 8;
    }
    let target = view.targets.get_mut(&id(4)).unwrap();
    target.load.running = 0;
    let age = Duration::from_secs(1);
    let later = now();
    target.alive_since.0 = later.0 - u64::try_from(age.as_micros()).unwrap();
    let counts = count_choices(&view, 100, 0);
    let to_returned = counts.get(&id(4)).copied().unwrap_or_default();

    // An equal share of the 100 prompts is 10; after a tenth of the ramp-up the target gets less.
    assert!((1..=5).contains(&to_returned), "{counts:?}");
}

#[rstest]
#[case(Recovery::Thrift, true)]
#[case(Recovery::Latency, false)]
fn a_resumed_attempt_goes_to_the_cache_or_to_the_target_that_starts_it_soonest(
    #[case] recovery: Recovery,
    #[case] to_cache: bool,
) {
    let mut view = view(12);
    view.targets.get_mut(&id(5)).unwrap().load.running = 2;
    let index = TargetIndex::new(&view);
    let request = prompt(3, 8000).resumed(recovery);
    let mut dispatches = DispatchLog::default();
    let tokens = TokenCount(8000);
    dispatches
        .cache_index
        .learn(&id(5), &request.blocks, tokens, tokens);
    let mut rng = SmallRng::seed_from_u64(6);
    let choice = index.choose(now(), Policy::default(), &request, &dispatches, &mut rng);

    assert_eq!(choice == Choice::Target(id(5)), to_cache, "{choice:?}");
}
