//! Engines that stream events, and services that answer whole.

use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;
use crate::http::own_ip;
use crate::record::Record;
use crate::store::Store;

/// What an engine is and how it answers.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub id: String,
    pub service: String,
    pub version: String,
    pub slots: u64,
    /// The time until the first event.
    pub reading: Duration,
    /// The time between two events.
    pub pause: Duration,
    /// The number of events of a stream.
    pub events: u64,
    /// The `Retry-After` in seconds with which it turns requests away while its slots are taken; 0 for none.
    pub rest: u64,
}

/// One incarnation of an engine.
#[derive(Debug)]
pub struct Engine {
    pub spec: EngineSpec,
    pub address: SocketAddr,
    pub born: u64,
    record: Arc<Record>,
    is_up: AtomicBool,
    running: AtomicU64,
    /// The limit that it names, in thousandths of a request a second; 0 for none.
    limit: AtomicU64,
    next_connection: AtomicU64,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
}

impl Engine {
    /// Starts an engine, on a free port if `address` is `None`.
    pub fn start(
        spec: EngineSpec,
        address: Option<SocketAddr>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let any = SocketAddr::from((own_ip(), 0));
        let listener = TcpListener::bind(address.unwrap_or(any))?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            address: listener.local_addr()?,
            born: born.map_or(0, |born| born.as_millis() as u64),
            record: Arc::clone(record),
            is_up: AtomicBool::new(true),
            running: AtomicU64::new(0),
            limit: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            connections: Mutex::default(),
            spec,
        });
        let server = Arc::clone(&engine);
        std::thread::spawn(move || server.accept(&listener));
        Ok(engine)
    }

    /// Writes the record of the engine to the store.
    pub fn register(&self, store: &Store) {
        let version = format!("\"version\":\"{}\",", self.spec.version);
        self.write_record(store, &version);
    }

    /// Writes the record of the engine as another writer that does not know versions.
    pub fn register_without_version(&self, store: &Store) {
        self.write_record(store, "");
    }

    fn write_record(&self, store: &Store, version: &str) {
        let EngineSpec {
            id, service, slots, ..
        } = &self.spec;
        let (address, born) = (self.address, self.born);
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-odet\",\
             {version}\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":1,\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &value);
        self.record.line(format!("record of {id}: {value}"));
    }

    /// Names a limit in all answers from now on.
    pub fn set_limit(&self, requests_a_second: f64) {
        let limit = (requests_a_second * 1000.0) as u64;
        self.limit.store(limit, Ordering::Relaxed);
        let id = &self.spec.id;
        self.record
            .line(format!("{id} names Server-Limit {requests_a_second}"));
    }

    /// Ends the process of the engine: its port closes and its connections break.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        let connections = std::mem::take(&mut *self.lock());
        for stream in connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!("crashed {}", self.spec.id));
    }

    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.connections
            .lock()
            .expect("no thread panics with the connections")
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while self.is_up() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let id = self.next_connection.fetch_add(1, Ordering::Relaxed);
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            if let Ok(stream) = stream.try_clone() {
                self.lock().insert(id, stream);
            }
            let engine = Arc::clone(&self);
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                engine.serve(&mut connection);
                engine.lock().remove(&id);
            });
        }
    }

    fn serve(&self, connection: &mut Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            if !self.is_up() || self.answer(connection, &head, body.len()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, head: &Head, body: usize) -> io::Result<()> {
        let common = self.common_headers();
        let (method, path) = (head.word(0), head.word(1));
        if method == "GET" && path == "/report" {
            let born = self.born;
            let running = self.running();
            let report = format!(
                "{{\"born\":{born},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"busy\":false,\"sequence\":1,\"waiting\":0,\
                 \"running\":{running},\"kvUsed\":0,\"kvTotal\":900000,\"handles\":0}}"
            );
            let headers = format!("{common}Content-Type: application/json\r\n");
            return connection.answer("200 OK", &headers, report.as_bytes());
        }
        let Some(id) = head.header("x-attempt-id") else {
            let headers = format!("{common}X-Not-Executed: 1\r\n");
            return connection.answer("400 Bad Request", &headers, b"");
        };
        let own = &self.spec.id;
        if head
            .header("x-expect-instance")
            .is_some_and(|other| other != own)
        {
            let headers =
                format!("X-Not-Executed: 1\r\nX-Instance-Id: {own}\r\nX-Attempt-Id: {id}\r\n");
            return connection.answer("421 Misdirected Request", &headers, b"");
        }
        if self.running() >= self.spec.slots {
            let rest = match self.spec.rest {
                0 => String::new(),
                rest => format!("Retry-After: {rest}\r\n"),
            };
            self.record
                .line(format!("turned away {id} at {own} {}", rest.trim()));
            let headers = format!("{common}X-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\n{rest}");
            return connection.answer("503 Service Unavailable", &headers, b"");
        }
        let after: u64 = head
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        self.record.line(format!(
            "run {id} {path} body={body} at {own} version={} after={after}",
            self.spec.version
        ));
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = match self.spec.events {
            0 => self.answer_whole(connection, id),
            _ => self.stream(connection, id, after),
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn common_headers(&self) -> String {
        let limit = self.limit.load(Ordering::Relaxed);
        let limit = match limit {
            0 => String::new(),
            limit => format!("Server-Limit: {}\r\n", limit as f64 / 1000.0),
        };
        let (running, slots) = (self.running(), self.spec.slots);
        format!("Keep-Alive: timeout=5\r\nX-Server-Load: {running},0,{slots}\r\n{limit}")
    }

    fn answer_whole(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        std::thread::sleep(self.spec.reading);
        let body = format!("answer to {id} of {}", self.spec.id);
        let headers = self.success_headers(id, body.len() as u64);
        connection.answer("200 OK", &headers, body.as_bytes())
    }

    fn success_headers(&self, id: &str, size: u64) -> String {
        let common = self.common_headers();
        let (own, born) = (&self.spec.id, self.born);
        format!("{common}X-Attempt-Id: {id}\r\nX-Server-Seal: {own}.{born}.{size}\r\n")
    }

    fn stream(&self, connection: &mut Connection, id: &str, after: u64) -> io::Result<()> {
        let due = Instant::now() + self.spec.reading;
        self.sleep_until(connection, due)?;
        let headers = self.success_headers(id, 0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        let mut due = Instant::now();
        for event in after + 1..=self.spec.events {
            let text = format!("id: {event}\ndata: {} {event}\n\n", self.spec.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            connection.write(chunk.as_bytes())?;
            due += self.spec.pause;
            self.sleep_until(connection, due)?;
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Sleeps, unless the caller leaves or the engine ends.
    fn sleep_until(&self, connection: &Connection, due: Instant) -> io::Result<()> {
        loop {
            let gone = || io::Error::new(io::ErrorKind::ConnectionAborted, "the caller has left");
            if !self.is_up() || is_closed(&connection.stream) {
                return Err(gone());
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let found = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match found {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
