//! Measures what the tracking of requests that crash targets costs, and prints the results as JSON.
//!
//! Run with `cargo bench -p cw_policy --bench crashes`. The memory is the growth of the process while
//! one tracker is filled.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cw_policy::forward::CrashTracker;
use cw_policy::forward::SendEnd;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Fingerprint;
use serde_json::json;

/// The number of request identities that have been in flight at a crash.
const IDENTITIES: u64 = 100_000;

/// The number of requests that one engine runs.
const REQUESTS_PER_ENGINE: u64 = 64;

/// The number of timed calls.
const CALLS: u32 = 100_000;

fn engine(number: u64) -> TargetId {
    let name = format!("engine-{number}");
    name.parse().expect("a valid name")
}

/// Returns a tracker after crashes of one engine a second, until [`IDENTITIES`] requests have been
/// in flight at one.
fn loaded_tracker() -> (CrashTracker, Time) {
    let mut tracker = CrashTracker::default();
    let mut now = Time::default();
    for crash in 0..IDENTITIES / REQUESTS_PER_ENGINE {
        now = now + Duration::from_secs(1);
        let target = engine(crash % 84);
        let incarnation = Incarnation(crash);
        for request in 0..REQUESTS_PER_ENGINE {
            let request = Fingerprint(crash * REQUESTS_PER_ENGINE + request);
            tracker.record_send(now, &target, incarnation, request);
        }
        let zone = format!("zone-{}", crash % 4);
        let zone = zone.parse().expect("a valid name");
        tracker.record_crash(now, &target, incarnation, &zone);
        tracker.expire(now);
    }
    (tracker, now)
}

/// Returns the mean nanoseconds of one call.
fn time(mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..CALLS {
        call(number);
    }
    start.elapsed().as_nanos() as f64 / f64::from(CALLS)
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a readable status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let number = number.and_then(|number| number.parse().ok());
    number.expect("the status has the resident memory")
}

fn main() {
    let before = resident_kib();
    let (mut tracker, now) = loaded_tracker();
    let kept = resident_kib() - before;

    let target = engine(0);
    let send = time(|number| {
        let request = Fingerprint(u64::from(number));
        let id = tracker.record_send(now, &target, Incarnation(u64::MAX), request);
        tracker.record_end(now, &target, id, SendEnd::Answered);
    });
    let unknown = time(|number| {
        let request = Fingerprint(u64::MAX - u64::from(number));
        black_box(tracker.is_refused(black_box(request)));
    });
    let suspected = time(|number| {
        let request = Fingerprint(IDENTITIES - 1 - u64::from(number) % 1000);
        black_box(tracker.is_refused(black_box(request)));
    });
    let completion = time(|number| {
        let request = Fingerprint(u64::MAX - u64::from(number));
        tracker.record_completion(now, black_box(request));
    });
    let mut news = tracker.news(now);
    news.crashes.truncate(1);
    let news_bytes = cw_wire::encode(&news).map_or(0, |bytes| bytes.len());
    let evidence = Instant::now();
    let crashes = tracker.evidence(now).crashes.len();
    let evidence = evidence.elapsed().as_micros();
    let result = json!({
        "identities": IDENTITIES,
        "resident_kib": kept,
        "send_and_end_ns": send,
        "is_refused_unknown_ns": unknown,
        "is_refused_suspected_ns": suspected,
        "completion_ns": completion,
        "evidence_us": evidence,
        "news_of_one_crash_bytes": news_bytes,
        "crashes_in_evidence": crashes,
    });
    println!("{result:#}");
}
