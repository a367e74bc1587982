//! A stand-in for an engine or a plain service.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json::quote;
use crate::store::Store;
use crate::world::Recorder;

/// How often an engine writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The event of a spoiled stream, counted from its beginning at the engine, after which it is spoiled, and the bytes that follow
/// at once.
const SPOILED_EVENT: u64 = 5;
const SPOILED_BYTES: &str = "thread 'decode' panicked: index out of bounds\n\n";

/// What an engine does and how long it takes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    /// The number of requests that wait for a slot. Further ones are turned away.
    pub queue: usize,
    /// How long a request runs, or how long until the first event of a stream.
    pub work: Duration,
    /// The number of events of a stream, 0 for a plain answer.
    pub events: u64,
    /// The pause between two events.
    pub pause: Duration,
    /// The part of a prompt that crashes the engine, and how long it is down then.
    pub poison: Option<(String, Duration)>,
    /// The share of its streams that the engine spoils with bytes that are no event.
    pub spoiled: f64,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub engine: String,
    /// Whether the engine began to run it.
    pub ran: bool,
    /// Whether it has a part that crashes engines.
    pub is_poison: bool,
}

/// The requests that reached all engines.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    fn add(&self, arrival: Arrival) {
        self.0.lock().expect("the arrivals").push(arrival);
    }

    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().expect("the arrivals").clone()
    }
}

struct Running {
    address: SocketAddr,
    born: u64,
    sockets: BTreeMap<usize, TcpStream>,
    is_up: bool,
    /// Changes with each start, so that the threads of an earlier one end.
    start: usize,
}

pub struct Engine {
    pub plan: Plan,
    store: Arc<Store>,
    recorder: Recorder,
    arrivals: Arrivals,
    running: Mutex<Running>,
    busy: AtomicUsize,
    waiting: AtomicUsize,
    next_socket: AtomicUsize,
    sequence: AtomicUsize,
    /// Whether it spoils a share of its streams now.
    spoils: AtomicBool,
    /// The number of streams that have begun while it does.
    streams: AtomicUsize,
    /// Says in all its answers that it is leaving.
    leaves: AtomicBool,
    /// Writes that it is draining.
    drains: AtomicBool,
    /// Writes its entry.
    beats: AtomicBool,
    pub crashes: Mutex<Vec<Instant>>,
}

impl Engine {
    pub fn start(
        plan: Plan,
        store: &Arc<Store>,
        recorder: &Recorder,
        arrivals: &Arrivals,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind an engine");
        let engine = Arc::new(Self {
            plan,
            store: Arc::clone(store),
            recorder: recorder.clone(),
            arrivals: arrivals.clone(),
            running: Mutex::new(Running {
                address: listener.local_addr().expect("address of an engine"),
                born: unix_ms(),
                sockets: BTreeMap::new(),
                is_up: true,
                start: 0,
            }),
            busy: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            next_socket: AtomicUsize::new(0),
            sequence: AtomicUsize::new(1),
            spoils: AtomicBool::new(false),
            streams: AtomicUsize::new(0),
            leaves: AtomicBool::new(false),
            drains: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            crashes: Mutex::new(Vec::new()),
        });
        engine.listen(listener, 0);
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    pub fn id(&self) -> &str {
        &self.plan.id
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.plan.id)
    }

    pub fn is_up(&self) -> bool {
        self.running.lock().expect("the engine").is_up
    }

    // ---- The entry in the store ----

    /// Returns the entry, with the field `born` unless it is left out.
    pub fn entry(&self, state: &str, with_born: bool) -> String {
        let running = self.running.lock().expect("the engine");
        let born = match with_born {
            true => format!(",\"born\":{}", running.born),
            false => String::new(),
        };
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":{},\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1{born}}}",
            quote(&self.plan.service),
            running.address,
            quote(&self.plan.zone),
            quote(&self.plan.version),
            self.plan.slots,
        )
    }

    /// Writes the entry, if the engine is up and still does that.
    pub fn beat(&self) {
        if !self.beats.load(Ordering::SeqCst) || !self.is_up() {
            return;
        }
        let state = match self.drains.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        self.store.put(&self.key(), &self.entry(state, true));
    }

    // ---- Planned work and failures ----

    /// Begins to leave, and writes that it is draining.
    pub fn drain(&self) {
        self.leaves.store(true, Ordering::SeqCst);
        self.drains.store(true, Ordering::SeqCst);
        self.beat();
    }

    /// Begins to leave without a word to the store but the removal of its entry.
    pub fn leave(&self) {
        self.leaves.store(true, Ordering::SeqCst);
        self.beats.store(false, Ordering::SeqCst);
        self.store.remove(&self.key());
    }

    /// Begins or ends to spoil a share of its streams.
    pub fn set_spoils(&self, spoils: bool) {
        self.spoils.store(spoils, Ordering::SeqCst);
    }

    /// Ends at once, with all connections.
    pub fn exit(&self) {
        let mut running = self.running.lock().expect("the engine");
        running.is_up = false;
        running.start += 1;
        for (_, socket) in std::mem::take(&mut running.sockets) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        let address = running.address;
        drop(running);
        // Wakes the thread that accepts connections, which closes the port.
        let _ = TcpStream::connect(address);
        self.busy.store(0, Ordering::SeqCst);
        self.waiting.store(0, Ordering::SeqCst);
    }

    /// Crashes, and starts again under its id and address.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if !self.is_up() {
            return;
        }
        self.crashes
            .lock()
            .expect("the crashes")
            .push(Instant::now());
        self.exit();
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            engine.restart();
        });
    }

    fn restart(self: &Arc<Self>) {
        let address = self.running.lock().expect("the engine").address;
        for _ in 0..200 {
            match TcpListener::bind(address) {
                Ok(listener) => {
                    let mut running = self.running.lock().expect("the engine");
                    running.born = unix_ms();
                    running.is_up = true;
                    let start = running.start;
                    drop(running);
                    self.listen(listener, start);
                    self.beat();
                    return;
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    // ---- Requests ----

    fn listen(self: &Arc<Self>, listener: TcpListener, start: usize) {
        let engine = Arc::clone(self);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let number = engine.next_socket.fetch_add(1, Ordering::SeqCst);
                let mut running = engine.running.lock().expect("the engine");
                if running.start != start {
                    return;
                }
                if let Ok(clone) = socket.try_clone() {
                    running.sockets.insert(number, clone);
                }
                drop(running);
                let serving = Arc::clone(&engine);
                thread::spawn(move || {
                    serving.serve(socket, start);
                    let mut running = serving.running.lock().expect("the engine");
                    running.sockets.remove(&number);
                });
            }
        });
    }

    fn is_current(&self, start: usize) -> bool {
        let running = self.running.lock().expect("the engine");
        running.is_up && running.start == start
    }

    fn serve(self: &Arc<Self>, socket: TcpStream, start: usize) {
        let _ = socket.set_nodelay(true);
        let mut reader = Reader::new(socket);
        while let Ok(Some(mut call)) = reader.head() {
            let head = call.clone();
            match reader.body(&head, |part| call.body.extend_from_slice(part)) {
                Ok(true) => {}
                _ => return,
            }
            let done = match call.path() {
                "/report" => self.report(reader.socket()),
                "/healthz" => self.health(reader.socket()),
                _ => self.run(reader.socket(), &call, start),
            };
            if done.is_err() || !self.is_current(start) {
                return;
            }
        }
    }

    fn report(&self, socket: &TcpStream) -> io::Result<()> {
        let born = self.running.lock().expect("the engine").born;
        let sequence = self.sequence.load(Ordering::SeqCst);
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":{sequence},\"waiting\":{},\"running\":{},\"kvUsed\":0,\"kvTotal\":88000,\"handles\":0,\"born\":{born}}}",
            self.waiting.load(Ordering::SeqCst),
            self.busy.load(Ordering::SeqCst),
        );
        let headers = self.headers(&[("Content-Type", "application/json".to_owned())]);
        http::answer(socket, 200, &headers, body.as_bytes())
    }

    fn health(&self, socket: &TcpStream) -> io::Result<()> {
        let status = match self.leaves.load(Ordering::SeqCst) {
            true => 503,
            false => 200,
        };
        http::answer(socket, status, &self.headers(&[]), b"")
    }

    fn headers(&self, more: &[(&'static str, String)]) -> Vec<(&'static str, String)> {
        let mut headers = more.to_vec();
        headers.push(("X-Instance-Id", self.plan.id.clone()));
        headers.push((
            "X-Server-Load",
            format!(
                "{},{},{}",
                self.busy.load(Ordering::SeqCst),
                self.waiting.load(Ordering::SeqCst),
                self.plan.slots
            ),
        ));
        headers.push(("Keep-Alive", "timeout=30".to_owned()));
        if self.leaves.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        headers
    }

    fn run(self: &Arc<Self>, socket: &TcpStream, call: &Message, start: usize) -> io::Result<()> {
        let id = call.header("X-Attempt-Id").unwrap_or("").to_owned();
        let mut headers = self.headers(&[("X-Attempt-Id", id.clone())]);
        if call
            .header("X-Expect-Instance")
            .is_some_and(|expected| expected != self.plan.id)
        {
            return http::answer(socket, 421, &headers, b"");
        }
        let is_poison = self.plan.poison.as_ref().is_some_and(|(part, _)| {
            let parts = call.header("X-Prefix-Hash").unwrap_or("");
            parts
                .split(',')
                .any(|entry| entry.split(':').next() == Some(part))
        });
        let is_full = self.busy.load(Ordering::SeqCst) >= self.plan.slots
            && self.waiting.load(Ordering::SeqCst) >= self.plan.queue;
        let ran = !is_full && call.header("Kv-From").is_none();
        self.arrivals.add(Arrival {
            at: Instant::now(),
            id: id.clone(),
            engine: self.plan.id.clone(),
            ran,
            is_poison,
        });
        self.recorder.note(&format!(
            "engine {} {} {id}{}",
            self.plan.id,
            if ran { "runs" } else { "rejects" },
            if is_poison {
                " (with the part that crashes engines)"
            } else {
                ""
            },
        ));
        if !ran {
            headers.push(("X-Not-Executed", "1".to_owned()));
            return http::answer(socket, 503, &headers, b"");
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let take = |busy: usize| (busy < self.plan.slots).then_some(busy + 1);
        while self
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_err()
        {
            if !self.is_current(start) {
                return Err(io::Error::other("the engine has ended"));
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.count_down(&self.waiting);
        let done = self.answer(socket, call, &id, is_poison, start);
        if self.is_current(start) {
            self.count_down(&self.busy);
        }
        done
    }

    fn count_down(&self, counter: &AtomicUsize) {
        let less = |count: usize| Some(count.saturating_sub(1));
        // The update always succeeds.
        let _ = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
    }

    fn answer(
        self: &Arc<Self>,
        socket: &TcpStream,
        call: &Message,
        id: &str,
        is_poison: bool,
        start: usize,
    ) -> io::Result<()> {
        thread::sleep(self.plan.work);
        if !self.is_current(start) {
            return Err(io::Error::other("the engine has ended"));
        }
        if let (true, Some((_, down))) = (is_poison, &self.plan.poison) {
            self.recorder
                .note(&format!("engine {} crashes under {id}", self.plan.id));
            self.crash(*down);
            return Err(io::Error::other("the engine has crashed"));
        }
        let mut headers = self.headers(&[("X-Attempt-Id", id.to_owned())]);
        headers.push(("X-Server-Seal", format!("seal.{}.{id}", self.plan.id)));
        if self.plan.events == 0 {
            let body = format!("answer to {id}");
            http::answer(socket, 200, &headers, body.as_bytes())?;
            self.recorder
                .note(&format!("engine {} has answered {id}", self.plan.id));
            return Ok(());
        }
        headers.push(("Content-Type", "text/event-stream".to_owned()));
        self.stream(socket, call, &headers, start)
    }

    /// Returns whether the engine spoils this stream, evenly over all of the time in which it spoils some.
    fn is_spoiled(&self) -> bool {
        if !self.spoils.load(Ordering::SeqCst) {
            return false;
        }
        let number = self.streams.fetch_add(1, Ordering::SeqCst) as f64;
        ((number + 1.0) * self.plan.spoiled).floor() > (number * self.plan.spoiled).floor()
    }

    fn stream(
        &self,
        mut socket: &TcpStream,
        call: &Message,
        headers: &[(&'static str, String)],
        start: usize,
    ) -> io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        socket.write_all(head.as_bytes())?;
        let after = call.header("Last-Event-Id").and_then(|id| id.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let spoiled_at = self.is_spoiled().then_some(after + SPOILED_EVENT);
        for number in after + 1..=self.plan.events {
            if !self.is_current(start) {
                return Err(io::Error::other("the engine has ended"));
            }
            let event = format!("id: {number}\ndata: part {number}\n\n");
            if spoiled_at == Some(number) {
                let id = call.header("X-Attempt-Id").unwrap_or("");
                self.recorder.note(&format!(
                    "engine {} sends event {number} of {id}, then bytes that are no event, and breaks off",
                    self.plan.id
                ));
                let spoiled = format!("{event}{SPOILED_BYTES}");
                let chunk = format!("{:x}\r\n{spoiled}\r\n", spoiled.len());
                socket.write_all(chunk.as_bytes())?;
                return Err(io::Error::other("the engine has broken off"));
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            socket.write_all(chunk.as_bytes())?;
            thread::sleep(self.plan.pause);
        }
        socket.write_all(b"0\r\n\r\n")
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
