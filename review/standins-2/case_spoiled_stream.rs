//! Some engines write bytes that are no event right behind an event of some of their streams.

use std::ops::Range;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Arrivals;
use crate::engine::Engine;
use crate::engine::Plan;
use crate::generation_service::CONFIG;
use crate::generation_service::engine_plan;
use crate::generation_service::event_ids;
use crate::generation_service::stream;
use crate::world::Verdict;
use crate::world::World;

/// The number of engines, the first half of which spoil some of their streams.
const ENGINES: usize = 4;

/// The share of their streams that they spoil, and when.
const SPOILED: f64 = 0.05;
const SPOILED_TIMES: [Range<Duration>; 2] = [
    Duration::from_secs(3)..Duration::from_secs(8),
    Duration::from_secs(12)..Duration::from_secs(17),
];

/// The number of streams, and the time between two of them.
const STREAMS: usize = 500;
const STREAM_PAUSE: Duration = Duration::from_millis(40);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    world.store.put("op/config", CONFIG);
    let arrivals = Arrivals::default();
    let engines: Vec<_> = (1..=ENGINES)
        .map(|number| {
            let plan = Plan {
                spoiled: SPOILED,
                ..engine_plan(number, None)
            };
            Engine::start(plan, &world.store, &world.recorder, &arrivals)
        })
        .collect();
    world.start_entries(2);
    let start = Instant::now();
    for number in 0..STREAMS {
        let now = start.elapsed();
        let spoils = trouble && SPOILED_TIMES.iter().any(|time| time.contains(&now));
        let faulty = engines.iter().take(ENGINES / 2);
        faulty.for_each(|engine| engine.set_spoils(spoils));
        let request = stream("/gen/", format!("s{number}"), "a11:200");
        world.send(number % 2, request);
        thread::sleep(STREAM_PAUSE);
    }
    let outcomes = world.finish();
    let events = engines[0].plan.events;
    let mut with_gaps = 0;
    for (_, outcome) in &outcomes {
        let ids = event_ids(outcome);
        let expected: Vec<u64> = (1..=ids.last().copied().unwrap_or(0)).collect();
        if ids != expected {
            with_gaps += 1;
            let missing: Vec<_> = expected.iter().filter(|id| !ids.contains(id)).collect();
            world.recorder.note_at(
                outcome.ended_at,
                &format!(
                    "{} lacks the events {missing:?}: {}",
                    outcome.id,
                    outcome.describe()
                ),
            );
        } else if outcome.is_served() && ids.len() as u64 != events {
            with_gaps += 1;
            let text = format!("{} ends as complete after event {}", outcome.id, ids.len());
            world.recorder.note_at(outcome.ended_at, &text);
        }
    }
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.is_served())
        .count();
    let text = format!(
        "{with_gaps} of {} streams lack events, {served} ended as complete",
        outcomes.len()
    );
    world.recorder.note(&text);
    match with_gaps > 0 {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}
