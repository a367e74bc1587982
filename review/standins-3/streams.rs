//! Streams of clients that take up what was broken off.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::Answer;
use crate::client::End;
use crate::client::Try;
use crate::record::Record;
use crate::world::STREAM_PATH;

/// The time that a client waits for its stream in all.
pub const DEADLINE: Duration = Duration::from_secs(25);

/// What a client had of its stream over all tries.
#[derive(Debug)]
pub struct Stream {
    pub name: String,
    /// The software versions that its events came from.
    pub versions: BTreeSet<String>,
    pub last: u64,
    pub is_whole: bool,
    pub has_begun: bool,
    /// Whether the client took up its stream.
    pub is_taken_up: bool,
    /// Whether a taken up stream went on.
    pub went_on: bool,
    /// Whether an event is missing or came twice.
    pub is_disordered: bool,
}

/// A client's stream.
#[derive(Clone, Debug)]
pub struct StreamPlan {
    pub name: String,
    /// The entries of the tries, one after the other.
    pub entries: Vec<SocketAddr>,
    /// The pause before each retry.
    pub pause: Duration,
}

/// Starts a client. It takes up its stream at the next entry whenever it is broken off.
pub fn start(plan: StreamPlan, record: &Arc<Record>) -> JoinHandle<Stream> {
    let record = Arc::clone(record);
    std::thread::spawn(move || run(&plan, &record))
}

fn run(plan: &StreamPlan, record: &Record) -> Stream {
    let due = Instant::now() + DEADLINE;
    let mut stream = Stream {
        name: plan.name.clone(),
        versions: BTreeSet::new(),
        last: 0,
        is_whole: false,
        has_begun: false,
        is_taken_up: false,
        went_on: false,
        is_disordered: false,
    };
    let mut first_try = None;
    for (number, entry) in plan.entries.iter().enumerate() {
        let left = due.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("{}-{}", plan.name, number + 1);
        let resumes = match &first_try {
            Some(first) if stream.last > 0 => format!("Resumes: {first}\r\n"),
            _ => String::new(),
        };
        let usage = "X-Model: m\r\nX-Token-Usage: 1460,900\r\n";
        let prefix = format!(
            "X-Prefix-Hash: 5c1e07a2:200,{:08x}:1260\r\n",
            hash(&plan.name)
        );
        let attempt = Try {
            entry: *entry,
            method: "POST",
            path: STREAM_PATH,
            id: &id,
            deadline: left,
            headers: &format!("{usage}{prefix}{resumes}"),
            body: &format!("draft the settlement of {}", plan.name),
            after: stream.last,
        };
        record.line(format!("send {id} to {entry} after={}", stream.last));
        let mut last = stream.last;
        let mut is_disordered = false;
        let is_take_up = stream.last > 0;
        stream.is_taken_up |= is_take_up;
        let answer = attempt.run(|event, _| {
            is_disordered |= event != last + 1;
            last = event;
        });
        record.line(describe(&id, &answer));
        stream.is_disordered |= is_disordered;
        stream.last = last;
        stream.went_on |= is_take_up && answer.status == 200;
        if !answer.events.is_empty() && first_try.is_none() {
            first_try = Some(id.clone());
            stream.has_begun = true;
        }
        let versions = answer.events.iter();
        let versions = versions.filter_map(|(_, data)| data.split(' ').next());
        stream.versions.extend(versions.map(str::to_owned));
        if answer.end == End::Whole && answer.status == 200 {
            stream.is_whole = true;
            break;
        }
        // A client follows what a refusal says, up to a third of the time that it has left.
        let wait = answer.head.header("retry-after");
        let wait = wait
            .and_then(|wait| wait.parse().ok())
            .map_or(plan.pause, Duration::from_secs_f64);
        let left = due.saturating_duration_since(Instant::now());
        std::thread::sleep(wait.min(left / 3));
    }
    stream
}

fn hash(text: &str) -> u32 {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
    text.bytes().fold(2_166_136_261, step)
}

/// Describes an answer in one line: its status, its events by version, and how it ended.
fn describe(id: &str, answer: &Answer) -> String {
    let mut parts: Vec<(String, u64, u64)> = Vec::new();
    for (event, data) in &answer.events {
        let version = data.split(' ').next().unwrap_or("").to_owned();
        match parts.last_mut() {
            Some((known, _, last)) if *known == version => *last = *event,
            _ => parts.push((version, *event, *event)),
        }
    }
    let parts = parts.iter();
    let parts: Vec<String> = parts
        .map(|(version, first, last)| format!("{first}-{last} of {version}"))
        .collect();
    format!(
        "answer {id} status={} events=[{}] end={:?}",
        answer.status,
        parts.join(", "),
        answer.end
    )
}
