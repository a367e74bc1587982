//! Tests that a caller gets each event once and in order, whatever targets write and wherever the bytes are split.

use bytes::Bytes;
use cw_policy::forward::EventStream;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

/// The number of events in a whole stream.
const EVENTS: u64 = 30;

/// The number of streams that each seed plays.
const STREAMS: usize = 200;

/// The number of targets after which a stream is given up as incomplete.
const MAX_TARGETS: usize = 40;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: part {id}\n\n")
}

/// How the stream of one target ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetEnd {
    /// Behind its last event.
    Whole,
    /// The connection breaks, or the entry leaves the target.
    Broken,
}

/// How often something happens at each event, between 0 and 1.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    repeats: f64,
    invalid: f64,
    breaks: f64,
    no_memory: f64,
}

/// Returns what a target writes from event `next` on, and how it ends.
fn target_bytes(rng: &mut SmallRng, next: u64, trouble: Trouble) -> (String, TargetEnd) {
    let overlap = match rng.random_bool(0.5) {
        true => 0,
        false => rng.random_range(0..next.min(4)),
    };
    let mut text = String::new();
    for id in next - overlap..=EVENTS {
        text.push_str(&event(id));
        if rng.random_bool(trouble.repeats) {
            text.push_str(&event(rng.random_range(1..=id)));
        }
        if rng.random_bool(0.1) {
            text.push_str(": still here\n\n");
        }
        if rng.random_bool(trouble.invalid) {
            // The target repeats events up to `next`, so the caller may have more than `id`.
            let newest = id.max(next - 1);
            let invalid = [
                "panic: out of range\n\n".to_owned(),
                "data: without an id\n\n".to_owned(),
                "id: x\ndata: y\n\n".to_owned(),
                event(newest + 2),
                event(newest + 9),
            ];
            text.push_str(&invalid[rng.random_range(0..invalid.len())]);
        }
        if rng.random_bool(trouble.breaks) {
            let half = &event(id + 1)[..rng.random_range(0..10)];
            return (text + half, TargetEnd::Broken);
        }
    }
    (text, TargetEnd::Whole)
}

/// Splits a text at random into reads.
fn reads(rng: &mut SmallRng, text: &str) -> Vec<Bytes> {
    let longest = [1, 7, 60, 4000][rng.random_range(0..4)];
    let mut rest = Bytes::copy_from_slice(text.as_bytes());
    let mut reads = Vec::new();
    while !rest.is_empty() {
        let length = rng.random_range(1..=longest).min(rest.len());
        reads.push(rest.split_to(length));
    }
    reads
}

/// Passes the reads of one target on, and returns how its stream ended.
fn pass_on(
    rng: &mut SmallRng,
    stream: &mut EventStream,
    reads: Vec<Bytes>,
    end: TargetEnd,
    trouble: Trouble,
    received: &mut String,
) -> TargetEnd {
    for read in reads {
        let batch = stream.push(&read);
        if !batch.is_empty() && rng.random_bool(trouble.no_memory) {
            return TargetEnd::Broken;
        }
        let fault = batch.fault();
        let passed = stream.pass_on(batch);
        received.push_str(std::str::from_utf8(&passed).expect("a text"));
        if fault.is_some() {
            return TargetEnd::Broken;
        }
    }
    match stream.ends_mid_event() {
        true => TargetEnd::Broken,
        false => end,
    }
}

/// Plays one stream over all its targets. Returns what the caller received, and whether the stream ended as complete.
fn play(rng: &mut SmallRng, trouble: Trouble) -> (String, bool) {
    let mut stream = EventStream::default();
    let mut received = String::new();
    for _ in 0..MAX_TARGETS {
        stream.restart();
        let next = stream.last().unwrap_or_default() + 1;
        let (text, end) = target_bytes(rng, next, trouble);
        let reads = reads(rng, &text);
        let end = pass_on(rng, &mut stream, reads, end, trouble, &mut received);
        if end == TargetEnd::Whole {
            return (received, true);
        }
    }
    (received, false)
}

/// Guards against a stream that counts events which its caller never got: it goes on behind them at the next target, and
/// ends as complete without them.
#[rstest]
fn a_caller_gets_each_event_once_and_in_order(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(0.0, 0.2)] repeats: f64,
    #[values(0.0, 0.1)] invalid: f64,
    #[values(0.0, 0.1)] no_memory: f64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let trouble = Trouble {
        repeats,
        invalid,
        breaks: 0.05,
        no_memory,
    };
    for _ in 0..STREAMS {
        let (received, is_complete) = play(&mut rng, trouble);

        let events = received.replace(": still here\n\n", "");
        let count = events.matches("\n\n").count() as u64;
        assert_eq!(events, (1..=count).map(event).collect::<String>());
        assert!(!is_complete || count == EVENTS, "complete after {count}");
    }
}
