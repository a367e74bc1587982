//! An engine that never reports `draining` leaves, and the store comes back from a copy that still lists it.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Arrivals;
use crate::engine::Engine;
use crate::engine::HEARTBEAT;
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
    let mut copy = None;
    let mut left_at = None;
    let mut is_down = false;
    let mut is_back = false;
    let mut has_lapsed = false;
    let mut has_ended = false;
    for number in 0..800 {
        let now = start.elapsed();
        if now >= Duration::from_millis(3000) && copy.is_none() {
            copy = Some(world.store.copy());
            world.recorder.note("the copy of the store is made");
        }
        if now >= Duration::from_millis(4000) && left_at.is_none() {
            leaver.leave();
            left_at = Some(Instant::now());
            world
                .recorder
                .note("engine i-a leaves: its entry is removed");
        }
        if trouble && now >= Duration::from_millis(6700) && !is_down {
            is_down = true;
            world.store.go_down();
            world.recorder.note("the store is away");
        }
        if let (true, Some(from)) = (
            is_down && !is_back && now >= Duration::from_millis(7000),
            &copy,
        ) {
            is_back = true;
            world.store.come_back_from(from.clone());
            world
                .recorder
                .note("the store is back from the copy, which lists i-a");
            engines.iter().for_each(|engine| engine.beat());
        }
        // What engines had written, the removal of this entry too, is written again.
        if is_back && !has_lapsed && now >= Duration::from_millis(7000) + HEARTBEAT {
            has_lapsed = true;
            world.store.remove(&leaver.key());
            world.recorder.note("the entry of i-a is removed again");
        }
        if !has_ended && now >= Duration::from_millis(7500) {
            has_ended = true;
            leaver.exit();
            world.recorder.note("engine i-a ends");
        }
        world.send(number % 2, request(number));
        thread::sleep(Duration::from_millis(12));
    }
    let outcomes = world.finish();
    judge(world, &outcomes, &arrivals, leaver.id())
}
