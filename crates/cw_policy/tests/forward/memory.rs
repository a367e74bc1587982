//! Where prompts were read, and how long reading takes.

use std::time::Duration;

use cw_policy::forward::PromptPace;
use cw_policy::forward::Whereabouts;
use cw_policy::forward::WhereaboutsLimits;
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
        target: TargetHash::from(&engine(0, number)),
    }
}

#[test]
fn the_last_reader_is_found() {
    let mut memory = Whereabouts::new(WhereaboutsLimits::default());
    memory.note(at(0), read("p", 1));
    memory.note(at(10), read("p", 2));

    let found = memory.find(at(20), PromptHash::of("p"));

    assert_eq!(found, Some(TargetHash::from(&engine(0, 2))));
    assert_eq!(memory.find(at(20), PromptHash::of("q")), None);
}

#[test]
fn old_prompts_are_forgotten() {
    let mut memory = Whereabouts::new(WhereaboutsLimits::default());
    memory.note(at(0), read("p", 1));
    memory.note(at(29_000), read("q", 1));

    memory.forget(at(31_000));

    assert_eq!(memory.find(at(31_000), PromptHash::of("p")), None);
    assert_eq!(memory.noted_since(at(0)), vec![read("q", 1)]);
}

#[test]
fn the_memory_is_bounded() {
    let mut memory = Whereabouts::new(WhereaboutsLimits {
        capacity: 10,
        ..WhereaboutsLimits::default()
    });

    for number in 0..100 {
        memory.note(at(number), read(&format!("p{number}"), 1));
    }

    assert_eq!(memory.noted_since(at(0)).len(), 10);
}

#[test]
fn only_news_is_told() {
    let mut memory = Whereabouts::new(WhereaboutsLimits::default());
    memory.note(at(10), read("p", 1));
    memory.note(at(20), read("q", 2));

    assert_eq!(memory.noted_since(at(10)), vec![read("q", 2)]);
}

#[test]
fn patience_follows_the_pace_and_the_length() {
    let service: ServiceName = name("s");
    let mut pace = PromptPace::default();
    assert_eq!(pace.most(&service, 8000), None);

    for _ in 0..50 {
        pace.read(&service, 8000, None, Duration::from_millis(1200));
    }

    let usual = pace.most(&service, 8000).unwrap();
    let long = pace.most(&service, 14_000).unwrap();
    assert!(usual > Duration::from_millis(2400), "{usual:?}");
    assert!(long > Duration::from_millis(4200), "{long:?}");
}
