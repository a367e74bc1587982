//! A randomized run of real processes (a soak): signals, restarts, faults of engines and of the store, and changes in series that
//! overlap, while callers use their connections until the process is gone. It is judged by what callers and engines see.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::connection::Answer;
use crate::connection::Connection;
use crate::deployment::register_engine;
use crate::fake_engine::EngineBehavior;
use crate::fake_engine::FakeEngine;
use crate::fake_engine::Run;
use crate::fake_engine::Runs;
use crate::fake_engine::events_after;
use crate::fake_store::FakeStore;
use crate::fake_store::StoreFault;
use crate::process::EntryProcess;
use crate::process::GRACE;
use crate::process::Signal;
use crate::process_requests::put_config;
use crate::process_requests::put_record;
use crate::process_requests::request;
use crate::process_requests::request_id;

/// The number of entries.
const ENTRIES: usize = 3;

/// The number of model engines, and of engines of the plain service.
const ENGINES: usize = 3;

/// The number of callers.
const CALLERS: usize = 24;

/// How long things go wrong in a run.
const PLAY_TIME: Duration = Duration::from_secs(14);

/// The objective and the timeout of all routes, in milliseconds.
const OBJECTIVE: u64 = 4500;
const TIMEOUT: u64 = 15_000;

/// The deadline of a request, in milliseconds.
const DEADLINE: u64 = 5000;

/// How long a caller waits for the next byte of an answer, longer than its deadline and the longest time that a process stands still.
const PATIENCE: Duration = Duration::from_secs(9);

/// How often the balancer asks an entry whether it is ready. It sends no new connection after two misses.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The time in which a request may cross the close of its connection, by the platform's rules.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// How long requests may still reach an engine that leaves, the default of the setting.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long an entry and the store must have been sound for that to hold, by the platform's rules.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The longest time for which a process stands still, or the store fails.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// The time between a signal and its log, in which a request may have been hit by it.
const SIGNAL_TIME: Duration = Duration::from_millis(100);

/// An entry, and what happened to it.
struct Entry {
    process: Mutex<EntryProcess>,
    address: std::net::SocketAddr,
    in_rotation: AtomicBool,
    signals: std::sync::Mutex<Vec<(Signal, Instant)>>,
}

impl Entry {
    fn record(&self, signal: Signal) {
        let mut signals = self.signals.lock().expect("a lock");
        signals.push((signal, Instant::now()));
    }

    /// Returns when the entry last got a signal before a moment.
    fn last(&self, signal: Signal, before: Instant) -> Option<Instant> {
        let signals = self.signals.lock().expect("a lock");
        let found = signals.iter().rev().filter(|(kind, _)| *kind == signal);
        found.map(|(_, at)| *at).find(|at| *at <= before)
    }
}

/// A request as its caller saw it.
#[derive(Debug)]
struct Seen {
    id: String,
    path: &'static str,
    entry: usize,
    sent_at: Instant,
    ended_at: Instant,
    answer: Answer,
}

/// An engine that has left, and when the store acknowledged it.
struct Departure {
    engine: String,
    acked: Instant,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Troubles {
    /// Signals that a planned change sends, processes that stand still, changes of the configuration, and faults of the store.
    Planned,
    /// These, and engines that crash, hang or fail, and processes that are killed.
    All,
    /// Engines that leave while processes run undisturbed, so that the time until their last request counts.
    Departures,
}

impl Troubles {
    fn of_seed(seed: u64) -> Self {
        match (seed % 5, seed % 2) {
            (0, _) => Self::Departures,
            (_, 0) => Self::Planned,
            _ => Self::All,
        }
    }
}

/// A deployment of real processes.
struct Soak {
    troubles: Troubles,
    store: FakeStore,
    entries: Vec<Entry>,
    engines: Vec<FakeEngine>,
    runs: Runs,
    /// When an engine failed.
    faults: std::sync::Mutex<Vec<Instant>>,
    /// When the store began to fail.
    store_faults: std::sync::Mutex<Vec<Instant>>,
    departures: std::sync::Mutex<Vec<Departure>>,
    /// Held while an engine leaves, so that others serve.
    leaving: Mutex<()>,
    seen: std::sync::Mutex<Vec<Seen>>,
    requests: AtomicUsize,
    is_over: AtomicBool,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let store = FakeStore::start().await;
        let runs = Runs::default();
        put_config(&store, 3, OBJECTIVE, TIMEOUT);
        let mut engines = Vec::new();
        for (service, kind) in [("llm", "m"), ("api", "p")] {
            for number in 0..ENGINES {
                let engine = FakeEngine::start(&format!("{kind}-{number}"), &runs).await;
                register_engine(&store, &engine, service, number, "ready");
                engines.push(engine);
            }
        }
        let mut entries = Vec::new();
        for _ in 0..ENTRIES {
            let process = EntryProcess::start(store.server.address);
            entries.push(Entry {
                address: process.callers(),
                process: Mutex::new(process),
                in_rotation: AtomicBool::new(true),
                signals: std::sync::Mutex::default(),
            });
        }
        for entry in &entries {
            entry.process.lock().await.wait_until_ready().await;
        }
        Self {
            troubles: Troubles::of_seed(seed),
            store,
            entries,
            engines,
            runs,
            faults: std::sync::Mutex::default(),
            store_faults: std::sync::Mutex::default(),
            departures: std::sync::Mutex::default(),
            leaving: Mutex::default(),
            seen: std::sync::Mutex::default(),
            requests: AtomicUsize::new(0),
            is_over: AtomicBool::new(false),
        }
    }

    /// Keeps the logs of the processes of a run with findings, with the departures that were judged.
    async fn keep_logs(&self, seed: u64) {
        let Ok(directory) = std::env::var("CW_SOAK_LOGS") else {
            return;
        };
        for (number, entry) in self.entries.iter().enumerate() {
            let file = Path::new(&directory).join(format!("seed-{seed}-entry-{number}.log"));
            entry.process.lock().await.keep_log(&file);
        }
        for left in self.departures.lock().expect("a lock").iter() {
            println!("{} left {:?} ago", left.engine, left.acked.elapsed());
        }
    }

    /// Plays a run, and returns what was found.
    async fn play(self: Arc<Self>, seed: u64) -> Vec<String> {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let rng = SmallRng::seed_from_u64(seed * 1000 + number as u64);
            callers.push(tokio::spawn(Arc::clone(&self).call(rng)));
        }
        let mut tasks = Vec::new();
        for number in 0..ENTRIES {
            tasks.push(tokio::spawn(Arc::clone(&self).balance(number)));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let ends_at = Instant::now() + PLAY_TIME;
        let mut version = 3;
        while Instant::now() < ends_at {
            version += 1;
            let trouble = Arc::clone(&self).trouble(rng.random(), version);
            tasks.push(tokio::spawn(trouble));
            let pause = rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.is_over.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await.expect("a caller ends");
        }
        for task in tasks {
            task.await.expect("a task ends");
        }
        self.findings().await
    }

    // ---- Callers ----

    /// Opens connections and uses them until the process is gone.
    async fn call(self: Arc<Self>, mut rng: SmallRng) {
        while !self.is_over.load(Ordering::Relaxed) {
            let rotation: Vec<usize> = (0..ENTRIES)
                .filter(|number| self.entries[*number].in_rotation.load(Ordering::Relaxed))
                .collect();
            let entry = match rotation.len() {
                0 => rng.random_range(0..ENTRIES),
                count => rotation[rng.random_range(0..count)],
            };
            let connect = Connection::open(self.entries[entry].address);
            let connected = tokio::time::timeout(Duration::from_secs(1), connect).await;
            let Ok(Ok(mut connection)) = connected else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            while connection.is_usable() && !self.is_over.load(Ordering::Relaxed) {
                self.send(&mut rng, entry, &mut connection).await;
                let longest = [1, 50, 3000][rng.random_range(0..3)];
                let pause = Duration::from_millis(rng.random_range(0..longest));
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn send(&self, rng: &mut SmallRng, entry: usize, connection: &mut Connection) {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let path = ["/s/x", "/once/x", "/again/x"][rng.random_range(0..3)];
        let body = "x".repeat([10, 900, 30_000][rng.random_range(0..3)]);
        let text = request(path, &id, "key-a", DEADLINE, &body);
        let split = match rng.random_bool(0.3) {
            true => rng.random_range(1..text.len()),
            false => text.len(),
        };
        let mut written = connection.write(&text[..split]).await;
        if split < text.len() {
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..100))).await;
            written = written.and(connection.write(&text[split..]).await);
        }
        let answer = match written {
            Ok(()) => connection.read_answer(PATIENCE).await,
            Err(error) => {
                // What came before is read all the same.
                match connection.read_answer(PATIENCE).await {
                    Answer::Cut { .. } => Answer::Cut {
                        received: format!("failed to write: {error}"),
                    },
                    answer => answer,
                }
            }
        };
        self.seen.lock().expect("a lock").push(Seen {
            id,
            path,
            entry,
            sent_at: connection.sent_at,
            ended_at: Instant::now(),
            answer,
        });
    }

    /// Takes an entry out of the rotation after two misses.
    async fn balance(self: Arc<Self>, number: usize) {
        let entry = &self.entries[number];
        let mut misses = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            let health = (entry.address.ip(), crate::process::HEALTH_PORT).into();
            let is_ready = crate::process::is_ready(health);
            let is_ready = tokio::time::timeout(CHECK_PERIOD, is_ready).await;
            misses = match is_ready {
                Ok(true) => 0,
                _ => misses + 1,
            };
            entry.in_rotation.store(misses < 2, Ordering::Relaxed);
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    // ---- Troubles ----

    async fn trouble(self: Arc<Self>, seed: u64, version: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry = &self.entries[rng.random_range(0..ENTRIES)];
        let pause = rng.random_range(Duration::from_millis(100)..MAX_PAUSE);
        let kind = match self.troubles {
            Troubles::Planned => rng.random_range(0..9),
            Troubles::All => rng.random_range(0..14),
            Troubles::Departures => [2, 5, 7, 8, 12][rng.random_range(0..5)],
        };
        match kind {
            0 | 1 => self.stop_and_start(entry, &mut rng).await,
            2 => {
                let process = entry.process.lock().await;
                entry.record(Signal::Hangup);
                process.signal(Signal::Hangup);
            }
            3 | 4 => hold_still(entry, pause).await,
            5 => put_config(&self.store, version, OBJECTIVE, TIMEOUT),
            6 => {
                let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Lost];
                self.record_store_fault();
                self.store.set_fault(faults[rng.random_range(0..3)]);
                tokio::time::sleep(pause).await;
                self.store.set_fault(StoreFault::None);
            }
            7 | 8 => self.leave(&mut rng).await,
            9 => kill_and_start(entry).await,
            kind => self.fail_engine(kind, pause, &mut rng).await,
        }
    }

    /// Lets an engine leave, which goes on serving for longer than it has to, and start again under another id.
    async fn leave(&self, rng: &mut SmallRng) {
        let Ok(_leaving) = self.leaving.try_lock() else {
            return;
        };
        let number = rng.random_range(0..2 * ENGINES);
        let engine = &self.engines[number];
        let service = if number < ENGINES { "llm" } else { "api" };
        let id = engine.current_id();
        // Some engines never say that they are leaving.
        let state = rng.random_bool(0.5).then_some("draining");
        put_record(&self.store, engine, service, state);
        let departure = Departure {
            engine: id.clone(),
            acked: Instant::now(),
        };
        self.departures.lock().expect("a lock").push(departure);
        tokio::time::sleep(DRAIN_TIME + MAX_PAUSE).await;
        put_record(&self.store, engine, service, None);
        engine.set_current_id(&format!("{id}x"));
        put_record(&self.store, engine, service, Some("ready"));
    }

    /// Lets an engine crash, or fail in another way, for some time.
    async fn fail_engine(&self, kind: usize, pause: Duration, rng: &mut SmallRng) {
        let behaviors = [
            EngineBehavior::DisconnectAfter(3),
            EngineBehavior::HangAfter(2),
            EngineBehavior::RunAndClose,
            EngineBehavior::Shed,
            EngineBehavior::Fail,
            EngineBehavior::TruncateBody,
        ];
        let engine = &self.engines[rng.random_range(0..2 * ENGINES)];
        self.record_fault();
        if kind < 12 {
            engine.server.stop();
            tokio::time::sleep(pause).await;
            if engine.server.is_stopped() {
                engine.server.restart();
            }
        } else {
            engine.set_behavior(behaviors[rng.random_range(0..behaviors.len())]);
            tokio::time::sleep(pause).await;
            engine.set_behavior(EngineBehavior::Respond);
        }
        self.record_fault();
    }

    /// Ends a process as the platform does, and starts it again.
    async fn stop_and_start(&self, entry: &Entry, rng: &mut SmallRng) {
        let Ok(mut process) = entry.process.try_lock() else {
            return;
        };
        entry.record(Signal::Terminate);
        process.signal(Signal::Terminate);
        let killed_at = Instant::now() + GRACE;
        while !process.has_ended() && Instant::now() < killed_at {
            let pause = Duration::from_millis(rng.random_range(10..800));
            match rng.random_range(0..8) {
                // A second signal to end changes nothing.
                0 => process.signal(Signal::Terminate),
                1 => process.signal(Signal::Hangup),
                2 => {
                    entry.record(Signal::Stop);
                    process.signal(Signal::Stop);
                    tokio::time::sleep(pause).await;
                    process.signal(Signal::Continue);
                }
                _ => tokio::time::sleep(pause).await,
            }
        }
        if !process.has_ended() {
            entry.record(Signal::Kill);
            process.signal(Signal::Kill);
            process.wait_for_end().await;
        }
        process.restart();
        entry.record(Signal::Continue);
    }

    fn record_store_fault(&self) {
        let mut faults = self.store_faults.lock().expect("a lock");
        faults.push(Instant::now());
    }

    fn record_fault(&self) {
        self.faults.lock().expect("a lock").push(Instant::now());
    }

    // ---- Judgement ----

    /// Returns what breaks a promise.
    async fn findings(&self) -> Vec<String> {
        let runs = self.runs.lock().expect("a lock").clone();
        let mut by_id = BTreeMap::<&str, Vec<&Run>>::new();
        for run in &runs {
            by_id.entry(request_id(run)).or_default().push(run);
        }
        let seen = std::mem::take(&mut *self.seen.lock().expect("a lock"));
        let mut findings = Vec::new();
        for seen in &seen {
            let count = by_id.get(seen.id.as_str()).map_or(0, Vec::len);
            if let Some(text) = self.finding(seen, count) {
                let entry = &self.entries[seen.entry];
                let log = entry
                    .process
                    .lock()
                    .await
                    .log_of(&format!("\"{}\"", seen.id));
                findings.push(format!("{text}\n{}\n{log}", self.describe(seen)));
            }
        }
        for run in &runs {
            let found = seen.iter().find(|seen| seen.id == request_id(run));
            if let Some(text) = found.and_then(|seen| self.late_send(seen, run)) {
                findings.push(text);
            }
        }
        let served = seen.iter().filter(|seen| seen.answer.status() == Some(200));
        println!("{} of {} requests served", served.count(), seen.len());
        findings
    }

    /// Returns the promise that a request shows as broken.
    fn finding(&self, seen: &Seen, runs: usize) -> Option<String> {
        if seen.path == "/once/x" && runs > 1 {
            return Some(format!("ran {runs} times"));
        }
        match &seen.answer {
            Answer::Whole { status: 200, body } => {
                let expected = match seen.path {
                    "/s/x" => events_after(0),
                    _ => format!("response to {}", seen.id),
                };
                (*body != expected).then(|| format!("a wrong answer: {body}"))
            }
            Answer::Whole { status, .. } => match status {
                429 | 503 if seen.path == "/once/x" && runs > 0 => {
                    Some("refused as not run, and ran".to_owned())
                }
                429 | 500 | 502 | 503 | 504 => None,
                status => Some(format!("status {status}")),
            },
            Answer::Cut { received } => {
                (!self.is_excused(seen, received, runs)).then(|| format!("cut after {received:?}"))
            }
            Answer::Silent { received } => (!self.was_killed(seen)).then(|| {
                format!("no answer after its deadline, and no end; received {received:?}")
            }),
        }
    }

    /// Returns how a request has reached an engine that had left, from an entry that was sound beside a sound store.
    fn late_send(&self, seen: &Seen, run: &Run) -> Option<String> {
        let at = Instant::from_std(run.at);
        let departures = self.departures.lock().expect("a lock");
        let left = departures.iter().find(|left| left.engine == run.engine)?;
        let late = at.checked_duration_since(left.acked + DRAIN_TIME)?;
        let description = self.describe(seen);
        let since = |from: Instant| from.checked_sub(STABLE_TIME + MAX_PAUSE);
        let store_faults = self.store_faults.lock().expect("a lock");
        let mut store_faults = store_faults.iter();
        let signals = self.entries[seen.entry].signals.lock().expect("a lock");
        let mut signals = signals.iter().filter(|(kind, _)| *kind != Signal::Hangup);
        let is_excused = store_faults
            .any(|fault| Some(*fault) >= since(left.acked) && *fault <= at)
            || signals.any(|(_, signal)| Some(*signal) >= since(at) && *signal <= at);
        (!is_excused).then(|| {
            let (id, engine) = (&seen.id, &run.engine);
            format!("{id} reached {engine} {late:?} after its time to drain; {description}")
        })
    }

    fn was_killed(&self, seen: &Seen) -> bool {
        let killed = self.entries[seen.entry].last(Signal::Kill, seen.ended_at + SIGNAL_TIME);
        killed.is_some_and(|at| at + SIGNAL_TIME >= seen.sent_at)
    }

    /// Returns whether a connection may have ended before the answer.
    fn is_excused(&self, seen: &Seen, received: &str, runs: usize) -> bool {
        if self.was_killed(seen) {
            return true;
        }
        // A stream that has begun ends at its deadline, and with its engine, if it cannot go on.
        let has_begun = received.contains("200 OK");
        if has_begun && seen.ended_at >= seen.sent_at + Duration::from_millis(DEADLINE) {
            return true;
        }
        let faults = self.faults.lock().expect("a lock");
        let meets_fault = |at: &Instant| *at >= seen.sent_at && *at <= seen.ended_at;
        if has_begun && faults.iter().any(meets_fault) {
            return true;
        }
        let ended = self.entries[seen.entry].last(Signal::Terminate, seen.ended_at);
        let Some(ended) = ended else {
            return false;
        };
        let is_crossing = runs == 0 && seen.ended_at <= seen.sent_at + CROSSING_TIME;
        is_crossing || (has_begun && seen.ended_at >= ended + GRACE.mul_f64(5.0 / 6.0))
    }

    fn describe(&self, seen: &Seen) -> String {
        let signals = self.entries[seen.entry].signals.lock().expect("a lock");
        let signals: Vec<String> = signals
            .iter()
            .filter(|(_, at)| *at <= seen.ended_at + SIGNAL_TIME)
            .rev()
            .take(5)
            .map(|(signal, at)| {
                let before = seen.ended_at.saturating_duration_since(*at);
                format!("{signal:?} {before:?} before its end")
            })
            .collect();
        let took = seen.ended_at.saturating_duration_since(seen.sent_at);
        format!(
            "{} {} at entry {}, {took:?} after its last byte; {signals:?}",
            seen.path, seen.id, seen.entry
        )
    }
}

/// Lets a process stand still for some time. Nobody else may signal it meanwhile, or it would stand still for as long.
async fn hold_still(entry: &Entry, pause: Duration) {
    let process = entry.process.lock().await;
    entry.record(Signal::Stop);
    process.signal(Signal::Stop);
    tokio::time::sleep(pause).await;
    process.signal(Signal::Continue);
    entry.record(Signal::Continue);
}

async fn kill_and_start(entry: &Entry) {
    let mut process = entry.process.lock().await;
    entry.record(Signal::Kill);
    process.signal(Signal::Kill);
    process.wait_for_end().await;
    process.restart();
    entry.record(Signal::Continue);
}

/// Guards against requests that real processes lose: by a signal, a restart, a process that stands still, or a fault beside.
///
/// `CW_SOAK_SEED` and `CW_SOAK_COUNT` choose other runs, and `CW_SOAK_PROGRAM` another program. The logs of the processes of a run
/// with findings are kept in the directory `CW_SOAK_LOGS`, if there is one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_accepted_request_gets_one_whole_answer_or_a_refusal() {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().expect("a number"))
    };
    let first = number("CW_SOAK_SEED", 5);
    let mut findings = Vec::new();
    for seed in first..first + number("CW_SOAK_COUNT", 4) {
        let soak = Arc::new(Soak::start(seed).await);
        let found = Arc::clone(&soak).play(seed).await;
        println!("seed {seed}, {:?}: {} findings", soak.troubles, found.len());
        if !found.is_empty() {
            soak.keep_logs(seed).await;
        }
        findings.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(findings.is_empty(), "{}", findings.join("\n\n"));
}
