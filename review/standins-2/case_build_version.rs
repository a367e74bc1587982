//! An engine crashes whose software version has a build tag. Its streams are taken up by their callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Request;
use crate::engine::Arrivals;
use crate::engine::Engine;
use crate::engine::Plan;
use crate::generation_service::CONFIG;
use crate::generation_service::engine_plan;
use crate::generation_service::event_ids;
use crate::generation_service::stream;
use crate::world::Verdict;
use crate::world::World;

/// The version of all engines.
const VERSION: &str = "1.4.2+cu121";

/// The number of engines, of which one crashes.
const ENGINES: usize = 8;

/// How long it is down.
const DOWN: Duration = Duration::from_millis(4500);

/// How often a caller takes a stream up, and the pause before it does.
const TRIES: u32 = 3;
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// The number of streams from which the rule counts.
const COUNTED: usize = 12;

/// What became of one stream.
struct Stream {
    id: String,
    /// Whether its first try brought an event.
    has_begun: bool,
    /// Whether its caller took it up again.
    is_taken_up: bool,
    /// Whether a later try brought an event.
    goes_on: bool,
    is_complete: bool,
}

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    world.store.put("op/config", CONFIG);
    let arrivals = Arrivals::default();
    let version = std::env::var("ENGINE_VERSION").unwrap_or_else(|_| VERSION.to_owned());
    let engines: Vec<_> = (1..=ENGINES)
        .map(|number| {
            let plan = Plan {
                version: version.clone(),
                slots: 64,
                events: 60,
                pause: Duration::from_millis(100),
                ..engine_plan(number, None)
            };
            Engine::start(plan, &world.store, &world.recorder, &arrivals)
        })
        .collect();
    world.start_entries(2);
    world
        .recorder
        .note(&format!("the version of all engines is {version}"));
    let start = Instant::now();
    let mut has_crashed = false;
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut callers: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..500 {
        if trouble && !has_crashed && start.elapsed() >= Duration::from_secs(12) {
            has_crashed = true;
            world.recorder.note("engine i-1 crashes");
            engines[0].crash(DOWN);
        }
        callers.push(follow(world, number, &streams));
        thread::sleep(Duration::from_millis(40));
    }
    for caller in callers {
        // A caller that has failed has no stream.
        let _ = caller.join();
    }
    judge(world, &streams.lock().expect("the streams"))
}

/// Calls for a stream, and takes it up at the other entry if it breaks off.
fn follow(world: &World, number: usize, streams: &Arc<Mutex<Vec<Stream>>>) -> JoinHandle<()> {
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let streams = Arc::clone(streams);
    let recorder = world.recorder.clone();
    thread::spawn(move || {
        let first = stream("/gen/", format!("s{number}"), "a11:200");
        let mut found = Stream {
            id: first.id.clone(),
            has_begun: false,
            is_taken_up: false,
            goes_on: false,
            is_complete: false,
        };
        let mut last = None;
        for attempt in 0..=TRIES {
            let request = match last {
                Some(last) => take_up(&first, attempt, last),
                None => first.clone(),
            };
            let entry = (number + attempt as usize) % entries.len();
            recorder.note(&format!("client sends {} after event {last:?}", request.id));
            let outcome = client::call(entries[entry], &request);
            let ids = event_ids(&outcome);
            recorder.note(&format!(
                "client got for {}: {}, {} events",
                request.id,
                outcome.describe(),
                ids.len()
            ));
            found.has_begun |= !ids.is_empty();
            found.goes_on |= attempt > 0 && !ids.is_empty();
            last = ids.last().copied().or(last);
            if outcome.is_served() {
                found.is_complete = true;
                break;
            }
            // A stream that has not begun is not taken up.
            if last.is_none() {
                break;
            }
            found.is_taken_up |= attempt < TRIES;
            thread::sleep(TRY_PAUSE);
        }
        streams.lock().expect("the streams").push(found);
    })
}

/// The request by which a caller takes up a stream.
fn take_up(first: &Request, attempt: u32, last: u64) -> Request {
    let mut request = first.clone();
    request.id = format!("{}-{attempt}", first.id);
    request.headers.push(("Resumes", first.id.clone()));
    request.headers.push(("Last-Event-Id", last.to_string()));
    request
}

/// Compares the share of the streams that go on with that of the new streams that begin.
fn judge(world: &World, streams: &[Stream]) -> Verdict {
    let taken_up: Vec<_> = streams.iter().filter(|found| found.is_taken_up).collect();
    let gone_on = taken_up.iter().filter(|found| found.goes_on).count();
    let begun = streams.iter().filter(|found| found.has_begun).count();
    let complete = streams.iter().filter(|found| found.is_complete).count();
    for found in taken_up.iter().filter(|found| !found.goes_on) {
        world
            .recorder
            .note(&format!("{} was taken up and did not go on", found.id));
    }
    let text = format!(
        "callers took up {} streams and {gone_on} of them went on, while {begun} of {} began; {complete} were completed",
        taken_up.len(),
        streams.len()
    );
    world.recorder.note(&text);
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_broken = taken_up.len() >= COUNTED
        && share(gone_on, taken_up.len()) < share(begun, streams.len()) / 2.0;
    match is_broken {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}
