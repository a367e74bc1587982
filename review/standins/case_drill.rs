//! The store comes back from a copy that is older than a service's second software version while all entries start anew, and
//! clients take their streams up again.

use std::collections::BTreeSet;
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

/// How long the service has one version only, longer than any stream lives.
const ONE_VERSION_TIME: Duration = Duration::from_secs(36);

/// The time between the copy and the drill.
const COPY_AGE: Duration = Duration::from_secs(4);

/// The time from the copy until the engines of the second version start.
const SCALE_OUT_DELAY: Duration = Duration::from_millis(500);

/// The time from their start until the streams begin.
const STREAM_DELAY: Duration = Duration::from_millis(1500);

/// How long the store is away, after which the platform also starts the entries again.
const AWAY_TIME: Duration = Duration::from_millis(500);

/// The engines of the first version, and those of the second by which the service is scaled out: a quarter more.
const FIRST_ENGINES: usize = 12;
const SECOND_ENGINES: usize = 3;

const STREAMS: usize = 80;

/// The time between two events of a stream.
const STEP: Duration = Duration::from_millis(60);

const DEADLINE: Duration = Duration::from_secs(25);
const MAX_TRIES: usize = 8;

/// The pause of a client before its next try without another word, which differs between clients.
const LEAST_PAUSE: Duration = Duration::from_millis(200);
const PAUSE_STEP: Duration = Duration::from_millis(12);

/// The streams that may hold events of two versions.
const MAX_MIXED: usize = 2;

pub fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    put_config(record, &case.store, 3, &[("huka270", &["key-a"])]);
    let first = case.more_model_engines(0, FIRST_ENGINES, &["1.0"], STEP);
    first.map_err(|error| error.to_string())?;
    let entries = case.entries(2)?;
    let fronts: Vec<_> = entries.addresses.iter().map(|addresses| addresses.front).collect();
    // Some streams at the first version, as at all times.
    let quiet = Instant::now();
    while quiet.elapsed() < ONE_VERSION_TIME {
        let (record, front) = (record.clone(), fronts[0]);
        thread::spawn(move || {
            Stream::default().attempt(&record, front, "key-a", Instant::now() + DEADLINE, |_| {});
        });
        thread::sleep(Duration::from_secs(2));
    }
    let copy = case.store.copy();
    let copied_at = Instant::now();
    record.line("copy     of the store");
    thread::sleep(SCALE_OUT_DELAY);
    let second = case.more_model_engines(FIRST_ENGINES, SECOND_ENGINES, &["2.0"], STEP);
    second.map_err(|error| error.to_string())?;
    record.line("scaled   out by engines of version 2.0");
    thread::sleep(STREAM_DELAY);
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (record, fronts, streams) = (record.clone(), fronts.clone(), Arc::clone(&streams));
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(10 * number as u64));
            let deadline = Instant::now() + DEADLINE;
            let own_pause = LEAST_PAUSE + PAUSE_STEP * number as u32;
            let mut stream = Stream::default();
            for try_number in 0..MAX_TRIES {
                let front = fronts[(number + try_number) % fronts.len()];
                let (_, end) = stream.attempt(&record, front, "key-a", deadline, |_| {});
                let pause = match end {
                    StreamEnd::Complete | StreamEnd::Expired => break,
                    StreamEnd::Refused(_, Some(after)) => after,
                    StreamEnd::Refused(_, None) | StreamEnd::Closed | StreamEnd::Unconnected => own_pause,
                };
                thread::sleep(pause);
            }
            streams.lock().unwrap().push(stream);
        }));
    }
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if case.has_trouble {
        case.store.go_away();
        record.line("drill    the store is away");
        for number in 0..fronts.len() {
            entries.signal(record, number, "KILL");
        }
        thread::sleep(AWAY_TIME);
        case.store.come_back(&copy);
        record.line("drill    the store is back from the copy");
        for number in 0..fronts.len() {
            entries.spawn(record, number);
        }
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let streams = streams.lock().unwrap();
    let versions = |stream: &Stream| -> BTreeSet<String> {
        let pieces = stream.pieces.iter();
        pieces.filter_map(|piece| piece.rsplit(' ').next().map(str::to_owned)).collect()
    };
    let mixed: Vec<&Stream> = streams.iter().filter(|stream| versions(stream).len() > 1).collect();
    for stream in &mixed {
        let at = stream.pieces.windows(2).position(|pair| {
            pair[0].rsplit(' ').next() != pair[1].rsplit(' ').next()
        });
        if let Some(at) = at {
            let (id, pair) = (stream.first.as_deref().unwrap_or_default(), &stream.pieces[at..at + 2]);
            record.line(&format!("mixed    stream {id}: {pair:?}"));
        }
    }
    let whole = streams.iter().filter(|stream| stream.last == 140).count();
    let summary = format!(
        "{} of {STREAMS} streams hold events of two software versions; {whole} have all events",
        mixed.len()
    );
    Ok(match mixed.len() > MAX_MIXED {
        true => Verdict::Broken(format!("ORDER: {summary}")),
        false => Verdict::Held(summary),
    })
}
