//! Tests of [`PromptLocations`] and [`RunTimes`].

use std::time::Duration;

use cw_policy::forward::PromptLocationLimits;
use cw_policy::forward::PromptLocations;
use cw_policy::forward::RunTimes;
use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_wire::CachedPrompt;
use cw_wire::PromptHash;
use cw_wire::TargetHash;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::name;

fn read(prompt: &str, number: usize) -> CachedPrompt {
    CachedPrompt {
        prompt: PromptHash::of(prompt),
        target: TargetHash::of_incarnation(&engine(0, number), Incarnation(1)),
    }
}

#[test]
fn the_last_target_that_read_a_prompt_is_found() {
    let mut locations = PromptLocations::new(PromptLocationLimits::default());
    locations.record(at(0), read("p", 1));
    locations.record(at(10), read("p", 2));

    let found = locations.find(at(20), PromptHash::of("p"));

    assert_eq!(
        found,
        Some(TargetHash::of_incarnation(&engine(0, 2), Incarnation(1)))
    );
    assert_eq!(locations.find(at(20), PromptHash::of("q")), None);
}

#[test]
fn expired_prompts_are_dropped() {
    let mut locations = PromptLocations::new(PromptLocationLimits::default());
    locations.record(at(0), read("p", 1));
    locations.record(at(29_000), read("q", 1));

    locations.expire(at(31_000));

    assert_eq!(locations.find(at(31_000), PromptHash::of("p")), None);
    assert_eq!(locations.recorded_since(at(0)), vec![read("q", 1)]);
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut locations = PromptLocations::new(PromptLocationLimits {
        capacity: 10,
        ..PromptLocationLimits::default()
    });

    for number in 0..100 {
        locations.record(at(number), read(&format!("p{number}"), 1));
    }

    assert_eq!(locations.recorded_since(at(0)).len(), 10);
}

#[test]
fn only_newer_records_are_returned() {
    let mut locations = PromptLocations::new(PromptLocationLimits::default());
    locations.record(at(10), read("p", 1));
    locations.record(at(20), read("q", 2));

    assert_eq!(locations.recorded_since(at(10)), vec![read("q", 2)]);
}

#[test]
fn the_maximum_prompt_time_grows_with_mean_and_length() {
    let service: ServiceName = name("s");
    let mut times = RunTimes::default();
    assert_eq!(times.max_prompt_time(&service, 8000), None);

    for _ in 0..50 {
        times.record_prompt(&service, 8000, None, Duration::from_millis(1200));
    }

    let usual = times.max_prompt_time(&service, 8000).unwrap();
    let long = times.max_prompt_time(&service, 14_000).unwrap();
    assert!(usual > Duration::from_millis(2400), "{usual:?}");
    assert!(long > Duration::from_millis(4200), "{long:?}");
}
