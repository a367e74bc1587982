//! A request that many clients repeat is in flight at all engines of its service when these lose power together.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::client::End;
use crate::client::Try;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::record::Record;
use crate::world::PLAIN_SERVICE;
use crate::world::SAFE_PATH;
use crate::world::World;

const CLIENTS: usize = 12;
const ENGINES: usize = 3;

/// How long the engines are down, and the processes of the system.
const ENGINES_DOWN: Duration = Duration::from_millis(1200);
const ENTRIES_DOWN: Duration = Duration::from_millis(800);

/// The time after the machines are back from which the rule counts.
const RECOVER: Duration = Duration::from_secs(12);

/// When each request was sent, and its status.
type Tries = Arc<Mutex<Vec<(Instant, u16)>>>;

fn spec(number: usize) -> EngineSpec {
    EngineSpec {
        id: format!("i-62b11cb{number}"),
        service: PLAIN_SERVICE.to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        reading: Duration::from_millis(60),
        pause: Duration::ZERO,
        events: 0,
        rest: 0,
    }
}

/// Returns how many requests were sent in a span of time, and how many of them were served.
fn count(tries: &Tries, from: Instant, to: Instant) -> (usize, usize) {
    let tries = tries.lock().expect("no thread panics");
    let sent: Vec<u16> = tries
        .iter()
        .filter(|(at, _)| *at >= from && *at < to)
        .map(|(_, status)| *status)
        .collect();
    (
        sent.len(),
        sent.iter().filter(|status| **status == 200).count(),
    )
}

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(record)?;
    world.configure(7, 64);
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
    sleep(Duration::from_millis(1500));
    let entries = [world.entries[0].callers, world.entries[1].callers];
    let stop = Arc::new(AtomicBool::new(false));
    let tries = Tries::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop, tries) = (Arc::clone(record), Arc::clone(&stop), Arc::clone(&tries));
            std::thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    let attempt = Try {
                        entry: entries[client % 2],
                        method: "GET",
                        path: SAFE_PATH,
                        id: &id,
                        deadline: Duration::from_secs(1),
                        headers: "",
                        body: "",
                        after: 0,
                    };
                    let at = Instant::now();
                    let answer = attempt.run(|_, _| {});
                    let status = match answer.end {
                        End::Whole => answer.status,
                        _ => 0,
                    };
                    let wait = answer.head.header("retry-after").unwrap_or("none");
                    record.line(format!("answer {id} status={status} retry-after={wait}"));
                    tries.lock().expect("no thread panics").push((at, status));
                    sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(8));
    if has_trouble {
        record.line("all engines of the service lose power");
        for engine in &engines {
            engine.crash();
        }
        sleep(ENGINES_DOWN);
        for (number, engine) in engines.iter_mut().enumerate() {
            *engine = Engine::start(spec(number + 1), Some(engine.address), record)?;
            engine.register(&world.store);
        }
    }
    sleep(Duration::from_secs(4));
    let (sent, served) = count(
        &tries,
        Instant::now() - Duration::from_secs(2),
        Instant::now(),
    );
    record.line(format!(
        "before the final fault, in two seconds: sent={sent} served={served}"
    ));
    let fault = Instant::now();
    record.line("the final fault: all processes of the system are killed");
    world.entries.iter_mut().for_each(|entry| entry.kill());
    sleep(ENTRIES_DOWN);
    for entry in &mut world.entries {
        entry.restart()?;
    }
    if !world.wait_ready() {
        return Err(io::Error::other("the entries did not become ready again"));
    }
    let back = Instant::now();
    sleep(RECOVER + Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| {
        let _ = client.join();
    });
    let (sent_before, served_before) = count(&tries, began, fault);
    let (sent_after, served_after) = count(&tries, back + RECOVER, Instant::now());
    record.line(format!(
        "before the final fault: sent={sent_before} served={served_before}; \
         later than recoverS after it: sent={sent_after} served={served_after}"
    ));
    if served_before * 4 < sent_before || sent_after < 20 {
        return Err(io::Error::other(
            "too few requests were served before, or sent after",
        ));
    }
    Ok(served_after * 4 >= sent_after)
}
