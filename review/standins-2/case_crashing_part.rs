//! A part of a prompt crashes each engine that begins to answer it, and several such requests come at the same moment.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::engine::Arrival;
use crate::engine::Arrivals;
use crate::engine::Engine;
use crate::generation_service::CONFIG;
use crate::generation_service::engine_plan;
use crate::generation_service::stream;
use crate::world::Verdict;
use crate::world::World;

pub const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// How many requests with such a part may reach engines in the time that the rule counts.
const ALLOWED: usize = 3;

const POISON: &str = "bad0";

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let bursts = [
        Duration::from_millis(4000),
        Duration::from_millis(11000),
        Duration::from_millis(18000),
    ];
    play(
        world,
        trouble,
        &bursts,
        6,
        "a11:200",
        &format!("a11:200,{POISON}:100"),
    )
}

fn play(
    world: &mut World,
    trouble: bool,
    bursts: &[Duration],
    size: usize,
    sound: &str,
    poisoned: &str,
) -> Verdict {
    world.store.put("op/config", CONFIG);
    let arrivals = Arrivals::default();
    let engines: Vec<Arc<Engine>> = (1..=8)
        .map(|number| {
            let plan = engine_plan(number, Some(POISON));
            Engine::start(plan, &world.store, &world.recorder, &arrivals)
        })
        .collect();
    world.start_entries(2);
    let start = Instant::now();
    let end = *bursts.last().expect("a burst") + Duration::from_secs(5);
    let mut next = 0;
    let mut number = 0;
    while start.elapsed() < end {
        if trouble && next < bursts.len() && start.elapsed() >= bursts[next] {
            for place in 0..size {
                let request = stream("/gen/", format!("bad{next}{place}"), poisoned);
                world.send(place % 2, request);
            }
            next += 1;
        }
        // Every second pair of sound streams may run once only, so it is lost with its engine.
        let prefix = match number % 4 < 2 {
            true => "/gen/",
            false => "/once/",
        };
        world.send(number % 2, stream(prefix, format!("good{number}"), sound));
        number += 1;
        thread::sleep(Duration::from_millis(125));
    }
    let outcomes = world.finish();
    let mut crashes: Vec<Instant> = Vec::new();
    for engine in &engines {
        crashes.extend(engine.crashes.lock().expect("the crashes").iter());
    }
    crashes.sort();
    judge(world, &crashes, &arrivals.all(), &outcomes)
}

pub fn judge(
    world: &World,
    crashes: &[Instant],
    arrivals: &[Arrival],
    outcomes: &[(usize, Outcome)],
) -> Verdict {
    for at in crashes {
        world.recorder.note_at(*at, "a crash");
    }
    let sound: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.id.starts_with("good"))
        .collect();
    let Some(fifth) = crashes.get(4) else {
        world.recorder.note("there were fewer than five crashes");
        return Verdict::Held;
    };
    let from = *fifth + STABLE_WINDOW;
    let is_refused = |outcome: &Outcome| outcome.status() == 503;
    let unserved = || {
        let sound = sound.iter();
        sound.filter(|(_, outcome)| !outcome.is_served() && outcome.ended_at > from)
    };
    let refused = unserved()
        .filter(|(_, outcome)| is_refused(outcome))
        .count();
    let lost = unserved().count() - refused;
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.is_poison && arrival.at > from)
        .collect();
    for arrival in &late {
        let text = format!(
            "{} reaches {}, counted by the rule",
            arrival.id, arrival.engine
        );
        world.recorder.note_at(arrival.at, &text);
    }
    let text = format!(
        "{} requests with the part that crashes engines reached engines later than {} ms after the fifth crash, {} are allowed; {} crashes in all; of {} sound streams {lost} were accepted and lost after that moment, {refused} refused",
        late.len(),
        STABLE_WINDOW.as_millis(),
        ALLOWED,
        crashes.len(),
        sound.len()
    );
    world.recorder.note(&text);
    match late.len() > ALLOWED {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}
