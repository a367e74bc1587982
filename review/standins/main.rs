//! The stand-ins of the review's scripts: `standins CASE RECORD` plays one case, with the disruption unless `TROUBLE` is 0.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_drill;
mod case_endless_moves;
mod case_revoked_keys;
mod case_second_answer;
mod case_take_up;
mod client;
mod engine;
mod http;
mod json;
mod platform;
mod store;
mod world;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use engine::Engine;
use engine::Memory;
use engine::Plan;
use store::Store;
use world::Entries;
use world::Record;

/// The time after which a case ends everything, whatever it has found.
const MAX_TIME: Duration = Duration::from_secs(110);

/// What a case has found.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// What all cases have.
pub struct Case {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    pub memory: Memory,
    pub has_trouble: bool,
}

impl Case {
    /// Starts plain engines.
    pub fn plain_engines(&self, count: usize, work: Duration) -> io::Result<Vec<Engine>> {
        let start = |number: usize| {
            let plan = Plan {
                id: format!("i-app{number}"),
                service: "app",
                zone: format!("z{}", number % 3),
                version: "1.0",
                is_model: false,
                step: work,
                events: 0,
            };
            Engine::start(&self.record, &self.store, &self.memory, plan)
        };
        (0..count).map(start).collect()
    }

    /// Starts model engines, one of each version in turn.
    pub fn model_engines(&self, count: usize, versions: &[&'static str], step: Duration) -> io::Result<Vec<Engine>> {
        self.more_model_engines(0, count, versions, step)
    }

    /// Starts model engines with the numbers from `first`.
    pub fn more_model_engines(
        &self,
        first: usize,
        count: usize,
        versions: &[&'static str],
        step: Duration,
    ) -> io::Result<Vec<Engine>> {
        let start = |number: usize| {
            let plan = Plan {
                id: format!("i-llm{number}"),
                service: "llm",
                zone: format!("z{}", number % 3),
                version: versions[number % versions.len()],
                is_model: true,
                step,
                events: 140,
            };
            Engine::start(&self.record, &self.store, &self.memory, plan)
        };
        (first..first + count).map(start).collect()
    }

    /// Starts entries, and waits until they are ready and have found each other.
    pub fn entries(&self, count: usize) -> Result<Entries, String> {
        let entries = Entries::start(&self.record, self.store_address, count);
        *STARTED.lock().unwrap() = Some(entries.clone());
        if !entries.wait_ready() {
            entries.record_logs(&self.record);
            return Err("the entries did not become ready".to_owned());
        }
        thread::sleep(Duration::from_secs(4));
        Ok(entries)
    }
}

/// The entries that have to be ended.
static STARTED: std::sync::Mutex<Option<Entries>> = std::sync::Mutex::new(None);

fn end_all() {
    if let Some(entries) = STARTED.lock().unwrap().take() {
        entries.end();
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(PathBuf::from(file));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case     {name}, with trouble: {has_trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        watched.line("the case took too long");
        watched.write();
        end_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = match Store::start() {
        Ok((store, store_address)) => {
            let case = Case {
                record: record.clone(),
                store,
                store_address,
                memory: Memory::default(),
                has_trouble,
            };
            let played = match name.as_str() {
                "second-answer" => case_second_answer::play(&case),
                "revoked-keys" => case_revoked_keys::play(&case),
                "endless-moves" => case_endless_moves::play(&case),
                "drill" => case_drill::play(&case),
                "take-up" => case_take_up::play(&case),
                _ => Err(format!("no case {name}")),
            };
            played.unwrap_or_else(Verdict::NotRun)
        }
        Err(error) => Verdict::NotRun(error.to_string()),
    };
    end_all();
    let (text, code) = match verdict {
        Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
        Verdict::Held(text) => (format!("held: {text}"), 0),
        Verdict::NotRun(text) => (format!("not run: {text}"), 2),
    };
    record.line(&text);
    record.write();
    println!("{text}");
    ExitCode::from(code)
}
