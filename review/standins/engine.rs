//! Stand-ins for engines, plain ones and model engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Request;
use crate::json::Json;
use crate::store::Store;
use crate::world::Record;

const SEAL: (&str, &str) = ("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");

/// The time between two writes of an engine's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What an engine is.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub version: &'static str,
    pub is_model: bool,
    /// The time of a plain request, or between two events of a stream.
    pub step: Duration,
    /// The events of a whole stream.
    pub events: u64,
}

/// How an engine is in trouble.
#[derive(Debug, Default)]
pub struct Trouble {
    /// Every how many answers a second answer to the same request follows late, 0 for never.
    pub second_answer_each: AtomicU64,
    /// Whether answers to `/kv-move` are bytes without end.
    pub endless_moves: AtomicBool,
}

/// The copies of runs, by the address and the name under which a request may go on from them.
type Copies = Arc<Mutex<BTreeSet<String>>>;

/// An engine and its server. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub plan: Plan,
    pub address: SocketAddr,
    pub trouble: Arc<Trouble>,
    born: u64,
    is_draining: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
    store: Store,
}

struct Served {
    plan: Plan,
    record: Record,
    trouble: Arc<Trouble>,
    born: u64,
    is_draining: Arc<AtomicBool>,
    copies: Copies,
    /// The runs in progress and the events that each has made.
    running: Mutex<BTreeMap<String, u64>>,
    answers: AtomicU64,
    handles: AtomicU64,
    address: Mutex<Option<SocketAddr>>,
}

/// The copies of all engines of a deployment.
#[derive(Clone, Default)]
pub struct Memory(Copies);

impl Engine {
    /// Starts an engine, which registers itself in the store and renews its entry.
    pub fn start(record: &Record, store: &Store, memory: &Memory, plan: Plan) -> io::Result<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.map_or(1, |since| since.as_millis() as u64);
        let trouble = Arc::<Trouble>::default();
        let is_draining = Arc::<AtomicBool>::default();
        let served = Arc::new(Served {
            plan: plan.clone(),
            record: record.clone(),
            trouble: Arc::clone(&trouble),
            born,
            is_draining: Arc::clone(&is_draining),
            copies: Arc::clone(&memory.0),
            running: Mutex::default(),
            answers: AtomicU64::new(0),
            handles: AtomicU64::new(0),
            address: Mutex::default(),
        });
        let shared = Arc::clone(&served);
        let address = http::serve(Arc::new(move |request, socket, connection| {
            shared.handle(request, socket, connection)
        }))?;
        *served.address.lock().unwrap() = Some(address);
        let engine = Self {
            plan,
            address,
            trouble,
            born,
            is_draining,
            is_gone: Arc::default(),
            store: store.clone(),
        };
        engine.write(1);
        let beating = engine.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if beating.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                beating.write(sequence);
            }
        });
        Ok(engine)
    }

    fn write(&self, sequence: u64) {
        let Plan { id, service, zone, version, .. } = &self.plan;
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let (address, born) = (self.address, self.born);
        let slots = if self.plan.is_model { 12 } else { 6 };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Reports that the engine is leaving. It goes on serving, and its entry is removed later.
    pub fn drain(&self, record: &Record) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write(1_000_000);
        record.line(&format!("draining {}", self.plan.id));
    }

    /// Removes the entry of an engine that has left.
    pub fn leave(&self, record: &Record) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.plan.id));
        record.line(&format!("gone     {}", self.plan.id));
    }
}

impl Served {
    fn handle(
        &self,
        request: &Request,
        socket: &mut TcpStream,
        connection: &mut Connection,
    ) -> io::Result<bool> {
        let Plan { id, .. } = &self.plan;
        match (request.method.as_str(), request.path()) {
            ("GET", "/healthz") => {
                return http::answer(socket, "200 OK", &[("X-Instance-Id", id)], b"");
            }
            ("GET", "/report") => {
                let (born, running) = (self.born, self.running.lock().unwrap().len());
                let report = format!(
                    r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{running},"kvUsed":1000,"kvTotal":88000,"handles":0,"born":{born}}}"#
                );
                let json = [("Content-Type", "application/json")];
                return http::answer(socket, "200 OK", &json, report.as_bytes());
            }
            ("POST", "/kv-move") => return self.answer_move(request, socket),
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                return http::answer(socket, "200 OK", &[], b"{}");
            }
            _ => {}
        }
        let attempt = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
        if let Some(earlier) = connection.second_answer.take() {
            // The second answer to an earlier request comes where the answer to this one is expected.
            let headers = [("X-Attempt-Id", earlier.as_str()), ("X-Not-Executed", "1")];
            self.record.line(&format!(
                "second   answer to {earlier} from {id}, while {attempt} waits"
            ));
            http::answer(socket, "503 Service Unavailable", &headers, b"")?;
        }
        if request.header("X-Expect-Instance").is_some_and(|expected| expected != id) {
            let headers = [("X-Instance-Id", id.as_str()), ("X-Attempt-Id", &attempt)];
            return http::answer(socket, "421 Misdirected Request", &headers, b"");
        }
        match self.plan.is_model {
            true => self.stream(request, socket, &attempt),
            false => self.plain(request, socket, connection, &attempt),
        }
    }

    fn plain(
        &self,
        request: &Request,
        socket: &mut TcpStream,
        connection: &mut Connection,
        attempt: &str,
    ) -> io::Result<bool> {
        let id = &self.plan.id;
        self.record.run(attempt, id);
        let tenant = request.header("X-Tenant").unwrap_or("none");
        self.record.line(&format!("tenant   {attempt} is of {tenant} at {id}"));
        thread::sleep(self.plan.step);
        let headers = [
            ("X-Attempt-Id", attempt),
            SEAL,
            ("X-Server-Load", "1,0,6"),
            ("Keep-Alive", "timeout=5"),
        ];
        let body = format!("the answer of {id} to {attempt}");
        let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let each = self.trouble.second_answer_each.load(Ordering::SeqCst);
        if each > 0 && count.is_multiple_of(each) {
            connection.second_answer = Some(attempt.to_owned());
        }
        http::answer(socket, "200 OK", &headers, body.as_bytes())
    }

    fn stream(&self, request: &Request, socket: &mut TcpStream, attempt: &str) -> io::Result<bool> {
        let id = &self.plan.id;
        if let Some(from) = request.header("Kv-From") {
            // A copy can be used once, and without it the request is not run.
            if !self.copies.lock().unwrap().remove(from) {
                let headers = [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")];
                return http::answer(socket, "503 Service Unavailable", &headers, b"");
            }
        }
        let after = request.header("Last-Event-Id").and_then(|last| last.parse().ok());
        let after: u64 = after.unwrap_or(0);
        self.record.run(attempt, id);
        self.record.line(&format!(
            "stream   {attempt} at {id} ({}) after event {after}, backup {}",
            self.plan.version,
            request.header("X-Kv-Backup").unwrap_or("none"),
        ));
        self.running.lock().unwrap().insert(attempt.to_owned(), after);
        let backup = request.header("X-Kv-Backup").map(|to| format!("{to}/{attempt}"));
        if let Some(name) = &backup {
            self.copies.lock().unwrap().insert(name.clone());
            self.record.backup(id, request.header("X-Kv-Backup").unwrap_or_default());
        }
        let result = self.send_events(socket, attempt, after);
        self.running.lock().unwrap().remove(attempt);
        if let (Ok(true), Some(name)) = (&result, &backup) {
            self.copies.lock().unwrap().remove(name);
        }
        if !matches!(result, Ok(true)) {
            self.record.line(&format!("cut      {attempt} at {id}"));
        }
        result
    }

    fn send_events(&self, socket: &mut TcpStream, attempt: &str, after: u64) -> io::Result<bool> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        head += &format!("X-Attempt-Id: {attempt}\r\n{}: {}\r\n", SEAL.0, SEAL.1);
        head += "X-Weight-Versions: 1\r\nX-Server-Load: 1,0,12\r\nTransfer-Encoding: chunked\r\n";
        if self.is_draining.load(Ordering::SeqCst) {
            head += "Connection: close\r\n";
        }
        socket.write_all((head + "\r\n").as_bytes())?;
        let version = self.plan.version;
        let start = Instant::now();
        for (number, event) in (after + 1..=self.plan.events).enumerate() {
            let due = self.plan.step * (number as u32 + 1);
            thread::sleep(due.saturating_sub(start.elapsed()));
            if http::is_closed(socket) {
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: piece {event} of {version}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            socket.write_all(chunk.as_bytes())?;
            self.running.lock().unwrap().insert(attempt.to_owned(), event);
        }
        socket.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn answer_move(&self, request: &Request, socket: &mut TcpStream) -> io::Result<bool> {
        let id = &self.plan.id;
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let text = |name: &str| Some(body.as_ref()?.get(name)?.text()?.to_owned());
        let run = text("id").unwrap_or_default();
        let to = text("target").unwrap_or_default();
        self.record.line(&format!("move     of {run} from {id} to {to}"));
        if self.trouble.endless_moves.load(Ordering::SeqCst) {
            let entry = self.record.entry_of(&run);
            return self.send_without_end(socket, entry);
        }
        let Some(created) = self.running.lock().unwrap().get(&run).copied() else {
            return http::answer(socket, "404 Not Found", &[], b"{}");
        };
        let handle = format!("h{}", self.handles.fetch_add(1, Ordering::SeqCst) + 1);
        let address = self.address.lock().unwrap().map(|address| address.to_string());
        let name = format!("{}/{handle}", address.unwrap_or_default());
        self.copies.lock().unwrap().insert(name);
        let answer = format!(r#"{{"handle":"{handle}","created":{created}}}"#);
        http::answer(socket, "200 OK", &[], answer.as_bytes())
    }

    /// Sends bytes that are no answer until the caller closes. All that go to one entry fill its link of 1,000 Mbit/s.
    fn send_without_end(&self, socket: &mut TcpStream, entry: Option<SocketAddr>) -> io::Result<bool> {
        let id = &self.plan.id;
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")?;
        let block = [b'#'; 125_000];
        let start = Instant::now();
        let mut blocks = 0;
        let end = loop {
            {
                let mut links = LINKS.lock().unwrap();
                let next = links.entry(entry).or_insert(start);
                let at = (*next).max(Instant::now());
                *next = at + Duration::from_millis(1);
                drop(links);
                thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            if let Err(error) = socket.write_all(&block) {
                break error;
            }
            blocks += 1;
        };
        let (sent, time) = (blocks / 8, start.elapsed());
        self.record.line(&format!("endless  {id} sent {sent} MB in {time:?} until the caller closed"));
        Err(end)
    }
}

/// When the link of each entry next takes a block of 125,000 bytes, for which it needs a millisecond.
static LINKS: Mutex<BTreeMap<Option<SocketAddr>, Instant>> = Mutex::new(BTreeMap::new());
