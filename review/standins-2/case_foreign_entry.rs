//! An engine reports `draining`, and another writer puts an entry without `born` in the place of its entry.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Arrivals;
use crate::engine::Engine;
use crate::plain_service::CONFIG;
use crate::plain_service::judge;
use crate::plain_service::plan;
use crate::plain_service::request;
use crate::world::Verdict;
use crate::world::World;

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    world.store.put("op/config", CONFIG);
    let arrivals = Arrivals::default();
    let engines = ["i-a", "i-b", "i-c", "i-d"]
        .map(|id| Engine::start(plan(id), &world.store, &world.recorder, &arrivals));
    world.start_entries(2);
    let start = Instant::now();
    let leaver = &engines[0];
    let mut has_left = false;
    let mut is_replaced = false;
    let mut has_ended = false;
    for number in 0..800 {
        let now = start.elapsed();
        if now >= Duration::from_millis(4000) && !has_left {
            has_left = true;
            leaver.drain();
            world.recorder.note("engine i-a reports draining");
        }
        if trouble && now >= Duration::from_millis(7000) && !is_replaced {
            is_replaced = true;
            let entry = leaver.entry("ready", false);
            world.store.put(&leaver.key(), &entry);
            world
                .recorder
                .note(&format!("another writer writes {}: {entry}", leaver.key()));
        }
        if !has_ended && now >= Duration::from_millis(7500) {
            has_ended = true;
            leaver.exit();
            world.store.remove(&leaver.key());
            world
                .recorder
                .note("engine i-a ends, and its entry is removed");
        }
        world.send(number % 2, request(number));
        thread::sleep(Duration::from_millis(12));
    }
    let outcomes = world.finish();
    judge(world, &outcomes, &arrivals, leaver.id())
}
