//! Tests of the conditions under which a target may be chosen.

use std::time::Duration;

use crate::fixtures::engine;
use crate::fixtures::id;
use crate::fixtures::now;
use crate::fixtures::request;
use crate::fixtures::view;
use cw_policy::Liveness;
use cw_policy::routing::Choice;
use cw_policy::routing::DispatchLog;
use cw_policy::routing::Policy;
use cw_policy::routing::TargetIndex;
use cw_policy::routing::choose;
use cw_types::RouteTarget;
use cw_types::TargetKind;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const POLICIES: [Policy; 4] = [
    Policy::Affinity,
    Policy::RoundRobin,
    Policy::LeastReported,
    Policy::PowerOfTwo,
];

#[rstest]
#[case(Liveness::Down)]
#[case(Liveness::Leaving)]
#[case(Liveness::Gone)]
fn a_target_that_takes_no_work_is_never_chosen(#[case] liveness: Liveness) {
    let mut view = view(3);
    for number in [0, 2] {
        view.targets.get_mut(&id(number)).unwrap().liveness = liveness;
    }
    let index = TargetIndex::new(&view);
    for policy in POLICIES {
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let choice = index.choose(
                now(),
                policy,
                &request("w"),
                &DispatchLog::default(),
                &mut rng,
            );
            assert_eq!(choice, Choice::Target(id(1)), "{policy:?}, seed {seed}");
        }
    }
}

#[test]
fn a_suspect_target_is_chosen_only_when_no_other_is_left() {
    let mut view = view(2);
    view.targets.get_mut(&id(0)).unwrap().liveness = Liveness::Suspect;
    let mut rng = SmallRng::seed_from_u64(1);
    let dispatches = DispatchLog::default();

    let both = choose(now(), &view, &request("w"), &dispatches, &mut rng);
    let other = choose(
        now(),
        &view,
        &request("w").excluding(id(1)),
        &dispatches,
        &mut rng,
    );

    assert_eq!(both, Choice::Target(id(1)));
    assert_eq!(other, Choice::Target(id(0)));
}

#[test]
fn versions_adapters_and_services_are_hard_filters() {
    let mut view = view(4);
    let mut service = engine(9);
    service.versions.clear();
    service.target.kind = TargetKind::Service {
        service: "tiles".to_owned(),
    };
    view.targets.insert(id(9), service);
    let mut rng = SmallRng::seed_from_u64(2);
    let dispatches = DispatchLog::default();
    let to = |version: &str, adapter: Option<&str>| RouteTarget::Model {
        model: "m".parse().unwrap(),
        version: version.parse().unwrap(),
        adapter: adapter.map(|name| name.parse().unwrap()),
    };
    let mut ask = |to: RouteTarget| {
        let mut request = request("w");
        request.to = to;
        choose(now(), &view, &request, &dispatches, &mut rng)
    };

    assert_eq!(ask(to("v2", None)), Choice::NoTarget);
    assert_eq!(ask(to("v1", Some("glaze"))), Choice::NoTarget);
    let service = |name: &str| RouteTarget::Service {
        service: name.to_owned(),
    };
    assert_eq!(ask(service("tiles")), Choice::Target(id(9)));
    assert_eq!(ask(service("loans")), Choice::NoTarget);
}

#[test]
fn busy_targets_are_not_chosen_until_their_retry_time() {
    let view = view(2);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut dispatches = DispatchLog::default();
    let first = Duration::from_millis(200);
    for (number, retry) in [(0, first), (1, Duration::from_millis(500))] {
        dispatches.record_service_dispatch(now(), &id(number));
        dispatches.record_refusal(now(), &id(number), retry);
    }

    let at_once = choose(now(), &view, &request("w"), &dispatches, &mut rng);
    let later = choose(now() + first, &view, &request("w"), &dispatches, &mut rng);

    let until = now() + first;
    assert_eq!(at_once, Choice::Wait { until });
    assert_eq!(later, Choice::Target(id(0)));
}

#[test]
fn spare_capacity_is_the_free_slots_of_available_targets_and_at_least_one_while_any_is_available() {
    let mut view = view(3);
    for (number, running) in [(0, 10), (1, 16), (2, 20)] {
        view.targets.get_mut(&id(number)).unwrap().load.running = running;
    }
    let index = TargetIndex::new(&view);
    let mut dispatches = DispatchLog::default();
    let to = request("w").to;
    let unknown = RouteTarget::Service {
        service: "loans".to_owned(),
    };
    let retry = Duration::from_millis(200);
    let spare = |dispatches: &DispatchLog, at| index.spare_capacity(at, &to, dispatches).unwrap();
    let before = spare(&dispatches, now());
    dispatches.record_refusal(now(), &id(0), retry);
    let full = spare(&dispatches, now());
    dispatches.record_refusal(now(), &id(1), retry);
    dispatches.record_refusal(now(), &id(2), retry);
    let all_refused = spare(&dispatches, now());

    // The report of 6 free slots is 100 ms old and keeps nearly all of its weight.
    assert!((4..=6).contains(&before), "{before}");
    assert_eq!((full, all_refused), (1, 0));
    assert_eq!(index.spare_capacity(now(), &unknown, &dispatches), None);
}
