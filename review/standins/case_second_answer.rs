//! Engines send a second answer to a request late, where the next answer on the connection is expected.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::Caller;
use crate::client::Outcome;
use crate::world::put_config;

/// How long the clients send requests.
const TRAFFIC: Duration = Duration::from_secs(12);

/// When the engine begins to send second answers, and for how long it does.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// The clients at each entry, and the time between two requests of one.
const CLIENTS: usize = 8;
const PERIOD: Duration = Duration::from_millis(200);

/// Each of this many answers is followed by a second one: three in a hundred.
const SECOND_ANSWER_EACH: u64 = 34;

const DEADLINE: Duration = Duration::from_millis(1000);

pub fn play(case: &Case) -> Result<Verdict, String> {
    put_config(&case.record, &case.store, 3, &[("huka270", &["key-a"])]);
    let engines = case.plain_engines(3, Duration::from_millis(30));
    let engines = engines.map_err(|error| error.to_string())?;
    let entries = case.entries(2)?;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for number in 0..CLIENTS * entries.addresses.len() {
        let front = entries.addresses[number % entries.addresses.len()].front;
        let (record, sent) = (case.record.clone(), Arc::clone(&sent));
        threads.push(thread::spawn(move || {
            let mut caller = Caller::new(front, "key-a");
            let start = Instant::now();
            while start.elapsed() < TRAFFIC {
                let (id, outcome) = caller.call(&record, "POST", "/once/x", DEADLINE);
                sent.lock().unwrap().push((id, outcome));
                thread::sleep(PERIOD);
            }
        }));
    }
    // One of three engines, which is less than the largest share of the site.
    let each = if case.has_trouble { SECOND_ANSWER_EACH } else { 0 };
    thread::sleep(TROUBLE_AT);
    engines[0].trouble.second_answer_each.store(each, Ordering::SeqCst);
    case.record.line("trouble  begins at i-app0");
    thread::sleep(TROUBLE_TIME);
    engines[0].trouble.second_answer_each.store(0, Ordering::SeqCst);
    case.record.line("trouble  ends");
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let (mut twice, mut refused, mut answered) = (Vec::new(), Vec::new(), 0);
    for (id, outcome) in sent.iter() {
        let runs = case.record.runs_of(id);
        if runs.len() > 1 {
            twice.push(format!("{id} at {}", runs.join(" and ")));
        }
        match outcome {
            Outcome::Answered(200, _, body) => {
                answered += 1;
                if !body.ends_with(id.as_str()) {
                    return Ok(Verdict::Broken(format!("MIXED: {id} was answered '{body}'")));
                }
            }
            Outcome::Answered(408 | 421 | 429 | 503, ..) if !runs.is_empty() => refused.push(id.clone()),
            _ => {}
        }
    }
    let summary = format!("{} sent, {answered} answered with 200", sent.len());
    if answered * 2 < sent.len() {
        return Err(format!("too few answers: {summary}"));
    }
    Ok(match twice.is_empty() && refused.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(format!(
            "TWICE: {} requests that are not idempotent ran more than once: {}; REFUSED: {} were answered 429 or 503 \
             and ran: {}; {summary}",
            twice.len(),
            twice.join(", "),
            refused.len(),
            refused.join(", "),
        )),
    })
}
