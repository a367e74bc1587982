//! Streams that begin while the records of most engines come from another writer and lack the version.

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

/// The engines, and those whose records another writer replaces.
const ENGINES: usize = 6;
const REPLACED: usize = 5;

/// The streams that begin until the engines write their records again, a heartbeat later.
const STREAMS: usize = 60;
const PERIOD: Duration = Duration::from_millis(20);

/// The streams that begin afterwards.
const LATER_STREAMS: usize = 30;

fn spec(number: usize) -> EngineSpec {
    EngineSpec {
        id: format!("i-7f3a91c{number}"),
        service: STREAM_SERVICE.to_owned(),
        version: "v1".to_owned(),
        slots: SLOTS,
        reading: Duration::from_millis(100),
        pause: Duration::from_millis(100),
        events: 140,
        rest: 0,
    }
}

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(record)?;
    world.configure(7, SLOTS);
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let engine = Engine::start(spec(number), None, record)?;
        engine.register(&world.store);
        engines.push(engine);
    }
    world.start_entry("edge-hall-odet-1")?;
    world.start_entry("edge-hall-odet-2")?;
    if !world.wait_ready() {
        return Err(io::Error::other("the entries did not become ready"));
    }
    sleep(Duration::from_millis(3000));
    if has_trouble {
        for engine in &engines[..REPLACED] {
            engine.register_without_version(&world.store);
        }
        sleep(Duration::from_millis(250));
    }
    let entries = [world.entries[0].callers, world.entries[1].callers];
    let start = |name: String, number: usize| {
        let plan = StreamPlan {
            name,
            entries: vec![entries[number % 2], entries[(number + 1) % 2]],
            pause: Duration::from_millis(500),
        };
        streams::start(plan, record)
    };
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        clients.push(start(format!("a{number}"), number));
        sleep(PERIOD);
    }
    for engine in &engines {
        engine.register(&world.store);
    }
    sleep(Duration::from_millis(3000));
    record.line("killed edge-hall-odet-1");
    world.entries[0].kill();
    for number in 0..LATER_STREAMS {
        // The platform sends no new connections to the entry that is down.
        clients.push(start(format!("b{number}"), 1));
        sleep(PERIOD);
    }
    let streams: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let new = &streams[STREAMS..];
    let begun = new.iter().filter(|stream| stream.has_begun).count();
    let taken_up = streams.iter().filter(|stream| stream.is_taken_up).count();
    let went_on = streams.iter().filter(|stream| stream.went_on).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    record.line(format!(
        "new streams={} begun={begun}; taken up={taken_up} went on={went_on}; of all {} whole={whole}",
        new.len(),
        streams.len()
    ));
    if begun * 2 < new.len() || taken_up < 12 {
        return Err(io::Error::other(
            "too few streams have begun or were taken up",
        ));
    }
    let share_begun = begun as f64 / new.len() as f64;
    let share_went_on = went_on as f64 / taken_up as f64;
    Ok(share_went_on >= share_begun / 2.0)
}
