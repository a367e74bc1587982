//! All machines lose power and the store comes back from a copy that is older than a second software version.

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

/// The streams before the copy, and those after the second version has come.
const EARLY_STREAMS: usize = 6;
const STREAMS: usize = 40;

/// How long the machines and the store are down.
const DOWN: Duration = Duration::from_millis(800);

fn spec(number: usize, version: &str) -> EngineSpec {
    EngineSpec {
        id: format!("i-7f3a91c{number}"),
        service: STREAM_SERVICE.to_owned(),
        version: version.to_owned(),
        slots: SLOTS,
        reading: Duration::from_millis(200),
        pause: Duration::from_millis(80),
        events: 140,
        rest: 0,
    }
}

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(record)?;
    world.configure(7, SLOTS);
    let mut engines = Vec::new();
    for number in 1..=3 {
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
    let start = |name: String, number: usize| {
        let tries = (0..6).map(|attempt| entries[(number + attempt) % 2]);
        let plan = StreamPlan {
            name,
            entries: tries.collect(),
            pause: Duration::from_millis(700),
        };
        streams::start(plan, record)
    };
    let mut clients: Vec<_> = (0..EARLY_STREAMS)
        .map(|number| start(format!("a{number}"), number))
        .collect();
    sleep(Duration::from_millis(3000));
    world.store.take_copy();
    record.line("the copy of the store is taken");
    for number in 4..=6 {
        let engine = Engine::start(spec(number, "v2"), None, record)?;
        engine.register(&world.store);
        engines.push(engine);
    }
    sleep(Duration::from_millis(500));
    for number in 0..STREAMS {
        clients.push(start(format!("b{number}"), number));
        sleep(Duration::from_millis(25));
    }
    sleep(Duration::from_millis(2000));
    let running: Vec<u64> = engines.iter().map(|engine| engine.running()).collect();
    record.line(format!("streams at the engines: {running:?}"));
    if has_trouble {
        record.line("all machines lose power, and the store is away");
        world.entries.iter_mut().for_each(|entry| entry.kill());
        engines.iter().for_each(|engine| engine.crash());
        world.store.go_away();
        sleep(DOWN);
        world.store.come_back();
        record.line("the store is back from the copy");
        world.configure(7, SLOTS);
        // The engines of the second version are lost for good.
        for (number, engine) in engines.iter_mut().take(3).enumerate() {
            *engine = Engine::start(spec(number + 1, "v1"), Some(engine.address), record)?;
            engine.register(&world.store);
        }
        for entry in &mut world.entries {
            entry.restart()?;
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
    record.line(format!(
        "streams={} begun={begun} whole={whole} of two versions={}: {}",
        streams.len(),
        mixed.len(),
        mixed.join(" ")
    ));
    if begun < STREAMS / 2 {
        return Err(io::Error::other("too few streams have begun"));
    }
    Ok(mixed.len() <= 2)
}
