//! An engine that keeps copies is emptied, and one of those whose runs it backs up answers calls with bytes without end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::Caller;
use crate::client::Outcome;
use crate::client::Stream;
use crate::platform::MAX_LOST;
use crate::platform::Platform;
use crate::world::put_config;

const MODEL_ENGINES: usize = 8;
const STREAMS: usize = 64;
const CALLERS: usize = 8;

pub fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    put_config(record, &case.store, 3, &[("huka270", &["key-a"])]);
    let plain = case.plain_engines(4, Duration::from_millis(100));
    plain.map_err(|error| error.to_string())?;
    let engines = case.model_engines(MODEL_ENGINES, &["1.0"], Duration::from_millis(100));
    let engines = engines.map_err(|error| error.to_string())?;
    let entries = case.entries(2)?;
    let fronts: Vec<_> = entries.addresses.iter().map(|addresses| addresses.front).collect();
    let mut threads = Vec::new();
    let streams_done = Arc::new(Mutex::new(0));
    for number in 0..STREAMS {
        let (record, front) = (record.clone(), fronts[number % fronts.len()]);
        let done = Arc::clone(&streams_done);
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(40 * number as u64));
            let deadline = Instant::now() + Duration::from_secs(25);
            let mut stream = Stream::default();
            stream.attempt(&record, front, "key-a", deadline, |_| {});
            *done.lock().unwrap() += usize::from(stream.last == 140);
        }));
    }
    // Clients of the plain service, each with a connection that it keeps.
    let is_over = Arc::<AtomicBool>::default();
    let lost: Arc<Mutex<BTreeMap<usize, Vec<String>>>> = Arc::default();
    let answered = Arc::new(Mutex::new(0));
    for number in 0..CALLERS * fronts.len() {
        let (record, entry) = (record.clone(), number % fronts.len());
        let (front, is_over) = (fronts[entry], Arc::clone(&is_over));
        let (lost, answered) = (Arc::clone(&lost), Arc::clone(&answered));
        threads.push(thread::spawn(move || {
            let mut caller = Caller::new(front, "key-a");
            while !is_over.load(Ordering::SeqCst) {
                let (id, outcome) = caller.call(&record, "POST", "/once/x", Duration::from_millis(1000));
                match outcome {
                    Outcome::Answered(..) => *answered.lock().unwrap() += 1,
                    Outcome::Closed if caller.is_kept && !record.runs_of(&id).is_empty() => {
                        lost.lock().unwrap().entry(entry).or_default().push(id);
                    }
                    _ => thread::sleep(Duration::from_millis(300)),
                }
            }
        }));
    }
    thread::sleep(Duration::from_millis(4500));
    let Some((source, keeper)) = most_backed_up(case, &engines) else {
        return Err("no run has a backup".to_owned());
    };
    record.line(&format!("chosen   {} is emptied, which keeps copies for {}", engines[keeper].plan.id, engines[source].plan.id));
    engines[source].trouble.endless_moves.store(case.has_trouble, Ordering::SeqCst);
    engines[keeper].drain(record);
    let mut platform = Platform::new(record, &entries);
    platform.watch(Duration::from_secs(12))?;
    engines[keeper].leave(record);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let lost = lost.lock().unwrap();
    let counts: Vec<usize> = lost.values().map(Vec::len).collect();
    let summary = format!(
        "{platform}; {} requests and {} whole streams were answered",
        answered.lock().unwrap(),
        streams_done.lock().unwrap(),
    );
    Ok(match counts.iter().any(|count| *count > MAX_LOST) {
        true => Verdict::Broken(format!(
            "LOST: requests from kept connections that sound engines ran and that got no answer, at each entry: \
             {counts:?}; {summary}"
        )),
        false => Verdict::Held(format!("{counts:?} requests lost; {summary}")),
    })
}

/// Returns the pair of engines of which the second keeps the most copies of runs of the first.
fn most_backed_up(case: &Case, engines: &[crate::engine::Engine]) -> Option<(usize, usize)> {
    let mut pairs: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for (id, backup) in case.record.backups() {
        let source = engines.iter().position(|engine| engine.plan.id == id)?;
        let keeper = engines.iter().position(|engine| engine.address.to_string() == backup);
        if let Some(keeper) = keeper {
            *pairs.entry((source, keeper)).or_default() += 1;
        }
    }
    pairs.into_iter().max_by_key(|(_, count)| *count).map(|(pair, _)| pair)
}
