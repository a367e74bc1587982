//! Streams whose engine crashes while the other engines of its version want no requests for two seconds.

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

const SLOTS: u64 = 36;

/// The time between two new streams.
const PERIOD: Duration = Duration::from_millis(62);

/// The new streams before the next version comes, and all of them.
const FIRST_STREAMS: usize = 130;
const STREAMS: usize = 200;

/// The streams that run at the three engines of the first version until the next one comes.
const RUNNING: u64 = 96;

fn spec(number: usize, version: &str) -> EngineSpec {
    EngineSpec {
        id: format!("i-7f3a91c{number}"),
        service: STREAM_SERVICE.to_owned(),
        version: version.to_owned(),
        slots: SLOTS,
        reading: Duration::from_millis(100),
        pause: Duration::from_millis(100),
        events: 60,
        rest: 2,
    }
}

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(record)?;
    world.configure(7, SLOTS);
    let store = Arc::clone(&world.store);
    let start = |number, version: &str| -> io::Result<Arc<Engine>> {
        let engine = Engine::start(spec(number, version), None, record)?;
        engine.register(&store);
        Ok(engine)
    };
    let mut engines = vec![start(1, "v1")?, start(2, "v1")?, start(3, "v1")?];
    world.start_entry("edge-hall-odet-1")?;
    world.start_entry("edge-hall-odet-2")?;
    if !world.wait_ready() {
        return Err(io::Error::other("the entries did not become ready"));
    }
    sleep(Duration::from_millis(1500));
    let entries = [world.entries[0].callers, world.entries[1].callers];
    let start_stream = |number: usize| {
        let plan = StreamPlan {
            name: format!("s{number}"),
            entries: vec![entries[number % 2], entries[(number + 1) % 2]],
            pause: Duration::from_millis(100),
        };
        sleep(PERIOD);
        streams::start(plan, record)
    };
    let mut clients = Vec::new();
    // The engines run as many streams as they do in steady state, whatever the speed of the host.
    while clients.len() < FIRST_STREAMS {
        let running: u64 = engines.iter().map(|engine| engine.running()).sum();
        match running < RUNNING {
            true => clients.push(start_stream(clients.len())),
            false => sleep(PERIOD / 4),
        }
    }
    for number in 4..=6 {
        engines.push(start(number, "v2")?);
    }
    // New streams begin at the next version as soon as the entries know it.
    while engines[3..].iter().all(|engine| engine.running() == 0) {
        clients.push(start_stream(clients.len()));
    }
    let running: Vec<u64> = engines.iter().map(|engine| engine.running()).collect();
    record.line(format!("streams at the engines: {running:?}"));
    let crashed_at = clients.len();
    if has_trouble {
        engines[0].crash();
    }
    while clients.len() < STREAMS {
        clients.push(start_stream(clients.len()));
    }
    let streams: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let new = &streams[crashed_at..];
    let begun = new.iter().filter(|stream| stream.has_begun).count();
    let taken_up = streams.iter().filter(|stream| stream.is_taken_up).count();
    let went_on = streams.iter().filter(|stream| stream.went_on).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    record.line(format!(
        "new streams={} begun={begun}; taken up={taken_up} went on={went_on}; of all {} whole={whole}",
        new.len(),
        streams.len()
    ));
    if begun * 2 < new.len() {
        return Err(io::Error::other("too few new streams have begun"));
    }
    let share_begun = begun as f64 / new.len() as f64;
    let share_went_on = went_on as f64 / taken_up.max(1) as f64;
    Ok(taken_up < 12 || share_went_on >= share_begun / 2.0)
}
