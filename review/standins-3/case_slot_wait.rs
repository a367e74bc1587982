//! Streams that wait for a slot at an engine which starts again as another version meanwhile.

use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::record::Record;
use crate::streams;
use crate::streams::StreamPlan;
use crate::world::STREAM_SERVICE;
use crate::world::World;

const SLOTS: u64 = 64;

/// The streams that run when the first engine ends.
const STREAMS: usize = 160;

/// The streams that tell the entries of the limits.
const LATER_STREAMS: usize = 24;

/// The requests a second that each engine in need takes.
const LIMIT: f64 = 2.0;

/// How long an engine is down.
const DOWN: Duration = Duration::from_millis(1200);

fn spec(number: usize, version: &str) -> EngineSpec {
    EngineSpec {
        id: format!("i-7f3a91c{number}"),
        service: STREAM_SERVICE.to_owned(),
        version: version.to_owned(),
        slots: SLOTS,
        reading: Duration::from_millis(200),
        pause: Duration::from_millis(100),
        events: 140,
        rest: 0,
    }
}

/// Ends an engine, and starts it again under its id with the next version.
fn replace(world: &World, engine: &Engine, number: usize) -> io::Result<Arc<Engine>> {
    engine.crash();
    sleep(DOWN);
    let next = Engine::start(spec(number, "v2"), Some(engine.address), &world.record)?;
    next.register(&world.store);
    Ok(next)
}

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(record)?;
    world.configure(7, SLOTS);
    let mut engines = Vec::new();
    for number in 1..=4 {
        let engine = Engine::start(spec(number, "v1"), None, record)?;
        engine.register(&world.store);
        engines.push(engine);
    }
    world.start_entry("edge-hall-odet-1")?;
    world.start_entry("edge-hall-odet-2")?;
    if !world.wait_ready() {
        return Err(io::Error::other("the entries did not become ready"));
    }
    sleep(Duration::from_millis(1500));
    let entries = [world.entries[0].callers, world.entries[1].callers];
    let plan = |name: String, number: usize| StreamPlan {
        name,
        entries: vec![entries[number % 2], entries[(number + 1) % 2]],
        pause: Duration::from_millis(100),
    };
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        clients.push(streams::start(plan(format!("a{number}"), number), record));
        sleep(Duration::from_millis(8));
    }
    sleep(Duration::from_millis(700));
    let running: Vec<u64> = engines.iter().map(|engine| engine.running()).collect();
    record.line(format!("streams at the engines: {running:?}"));
    for engine in &engines {
        engine.set_limit(LIMIT);
    }
    for number in 0..LATER_STREAMS {
        clients.push(streams::start(plan(format!("b{number}"), number), record));
        sleep(Duration::from_millis(50));
    }
    if has_trouble {
        let second = Arc::clone(&engines[1]);
        let first = Arc::clone(&engines[0]);
        let kept = std::thread::scope(|scope| {
            let world = &world;
            let one = scope.spawn(move || replace(world, &first, 1));
            sleep(Duration::from_millis(1000));
            let two = scope.spawn(move || replace(world, &second, 2));
            [one, two].map(|thread| thread.join().expect("no thread panics"))
        });
        for engine in kept {
            engines.push(engine?);
        }
    }
    let streams: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let begun = streams.iter().filter(|stream| stream.has_begun).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let mixed: Vec<&str> = streams
        .iter()
        .filter(|stream| stream.versions.len() > 1)
        .map(|stream| stream.name.as_str())
        .collect();
    let disordered = streams.iter().filter(|stream| stream.is_disordered).count();
    record.line(format!(
        "streams={} begun={begun} whole={whole} disordered={disordered} of two versions={}: {}",
        streams.len(),
        mixed.len(),
        mixed.join(" ")
    ));
    if begun < STREAMS / 2 {
        return Err(io::Error::other("too few streams have begun"));
    }
    Ok(mixed.len() <= 2)
}
