//! Two software versions serve side by side, all entries are killed at once, and clients take their streams up again.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::Stream;
use crate::client::StreamEnd;
use crate::world::put_config;

const STREAMS: usize = 20;
const NEW_STREAMS: usize = 12;

/// The time between two events of a stream, far below the longest pause of the route.
const STEP: Duration = Duration::from_millis(130);

/// How long a client waits for its stream.
const DEADLINE: Duration = Duration::from_secs(25);

/// The age of the streams when the entries are killed.
const AGE_AT_KILL: Duration = Duration::from_millis(14_500);

/// The delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// How long a process must have run to count as in touch (`stableWindowMs`).
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// The tries of one client, and the pause between two without another word.
const MAX_TRIES: usize = 10;
const PAUSE: Duration = Duration::from_millis(900);

/// The streams that have to be taken up for the rule to count.
const MIN_TAKEN_UP: usize = 12;

/// A stream that was taken up at a machine in touch, and whether it went on.
#[derive(Default)]
struct Seen {
    complete: usize,
    taken_up: usize,
    went_on: usize,
}

pub fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    put_config(record, &case.store, 3, &[("huka270", &["key-a"])]);
    let engines = case.model_engines(6, &["1.0", "2.0"], STEP);
    engines.map_err(|error| error.to_string())?;
    let entries = case.entries(2)?;
    let fronts: Vec<_> = entries.addresses.iter().map(|addresses| addresses.front).collect();
    let started = Arc::new(Mutex::new(Instant::now()));
    let seen = Arc::<Mutex<Seen>>::default();
    let begin = Instant::now();
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (record, fronts) = (record.clone(), fronts.clone());
        let (started, seen) = (Arc::clone(&started), Arc::clone(&seen));
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(20 * number as u64));
            let deadline = Instant::now() + DEADLINE;
            let mut stream = Stream::default();
            let mut in_touch = None;
            for try_number in 0..MAX_TRIES {
                let before = stream.last;
                let sent_at = Instant::now();
                let front = fronts[(number + try_number) % fronts.len()];
                let (_, end) = stream.attempt(&record, front, "key-a", deadline, |_| {});
                let is_in_touch = sent_at.saturating_duration_since(*started.lock().unwrap()) >= STABLE_WINDOW;
                if before > 0 && is_in_touch && end != StreamEnd::Unconnected {
                    in_touch = Some(in_touch.unwrap_or(false) || stream.last > before);
                }
                let pause = match end {
                    StreamEnd::Complete => {
                        seen.lock().unwrap().complete += 1;
                        break;
                    }
                    StreamEnd::Expired => break,
                    StreamEnd::Refused(_, Some(after)) => after,
                    StreamEnd::Refused(_, None) | StreamEnd::Closed | StreamEnd::Unconnected => PAUSE,
                };
                if Instant::now() + pause >= deadline {
                    break;
                }
                thread::sleep(pause);
            }
            if let Some(went_on) = in_touch {
                let mut seen = seen.lock().unwrap();
                seen.taken_up += 1;
                seen.went_on += usize::from(went_on);
            }
        }));
    }
    let age = std::env::var("AGE_MS").ok().and_then(|age| age.parse().ok());
    let age = age.map_or(AGE_AT_KILL, Duration::from_millis);
    thread::sleep((begin + age).saturating_duration_since(Instant::now()));
    if case.has_trouble {
        for number in 0..fronts.len() {
            entries.signal(record, number, "KILL");
        }
        thread::sleep(RESTART_DELAY);
        for number in 0..fronts.len() {
            entries.spawn(record, number);
        }
        *started.lock().unwrap() = Instant::now();
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(200));
    // New streams at the same time, which show what the deployment serves.
    let begun = Arc::new(Mutex::new(0));
    for number in 0..NEW_STREAMS {
        let (record, front, begun) = (record.clone(), fronts[number % fronts.len()], Arc::clone(&begun));
        threads.push(thread::spawn(move || {
            let deadline = Instant::now() + DEADLINE;
            let mut stream = Stream::default();
            stream.attempt(&record, front, "key-a", deadline, |_| {});
            *begun.lock().unwrap() += usize::from(stream.last > 0);
        }));
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let (seen, begun) = (seen.lock().unwrap(), *begun.lock().unwrap());
    let Seen { complete, taken_up, went_on } = *seen;
    let summary = format!(
        "{complete} of {STREAMS} streams were complete; {taken_up} were taken up at machines in touch, of which {went_on} \
         went on; {begun} of {NEW_STREAMS} new streams began"
    );
    if begun * 2 < NEW_STREAMS {
        return Err(format!("too few new streams: {summary}"));
    }
    // The share that goes on is under half of the share of new streams that begin.
    let is_broken = taken_up >= MIN_TAKEN_UP && went_on * NEW_STREAMS * 2 < begun * taken_up;
    Ok(match is_broken {
        true => Verdict::Broken(format!("LOST: {summary}")),
        false => Verdict::Held(summary),
    })
}
