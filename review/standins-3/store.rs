//! The platform's store: items with revisions, range reads, watches, conditional changes and leases.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::own_ip;
use crate::http::query;
use crate::json::Json;
use crate::json::base64;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// The key and the JSON of each change, by revision.
    history: Vec<(i64, String, String)>,
    leases: BTreeMap<i64, Lease>,
}

/// The store, with the calls that the operator and the servers make.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// The revision and the items of the last copy.
    copy: Mutex<(i64, BTreeMap<String, Item>)>,
    era: AtomicI64,
    is_away: AtomicBool,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(SocketAddr::from((own_ip(), 0)))?;
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
        };
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(state),
            changed: Condvar::new(),
            copy: Mutex::default(),
            era: AtomicI64::new(1),
            is_away: AtomicBool::new(false),
        });
        let server = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no thread panics with the state");
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.until <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(&mut state, id);
        }
        state
    }

    fn end_lease(&self, state: &mut State, id: i64) {
        state.leases.remove(&id);
        let keys = state.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            state.revision += 1;
        }
        for key in keys {
            state.remove(&key);
        }
        self.changed.notify_all();
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Takes the copy from which the store comes back.
    pub fn take_copy(&self) {
        let state = self.lock();
        let copy = (state.revision, state.items.clone());
        *self.copy.lock().expect("no thread panics with the copy") = copy;
    }

    /// Closes all connections from now on.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Comes back from the copy, with a new era. What was written since is gone, leases too.
    pub fn come_back(&self) {
        let mut state = self.lock();
        let (revision, items) = self
            .copy
            .lock()
            .expect("no thread panics with the copy")
            .clone();
        state.revision = revision;
        state.items = items;
        state.items.retain(|_, item| item.lease == 0);
        state.history.clear();
        state.leases.clear();
        self.era.fetch_add(1, Ordering::Relaxed);
        self.is_away.store(false, Ordering::Relaxed);
        self.changed.notify_all();
    }

    fn is_away(&self) -> bool {
        self.is_away.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            if self.is_away() {
                return;
            }
            let era = self.era.load(Ordering::Relaxed);
            let (status, json) = self.answer(head.word(0), head.word(1), &body);
            if self.is_away() || self.era.load(Ordering::Relaxed) != era {
                return;
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if connection
                .answer(status, &headers, json.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, body: &str) -> (&'static str, String) {
        let route = path.split('?').next().unwrap_or("");
        let (name, id) = match route.rsplit_once('/') {
            Some((name, id)) if !name.is_empty() => (name, id.parse().unwrap_or(0)),
            _ => (route, 0),
        };
        match (method, name) {
            ("GET", "/kv-key") => self.read_key(path),
            ("GET", "/kv-range") => self.read_range(path),
            ("GET", "/kv-watch") => self.watch(path),
            ("POST", "/kv-txn") => self.change(body),
            ("POST", "/kv-lease") => self.grant(body),
            ("POST", "/kv-keep") => self.keep(id),
            ("DELETE", "/kv-lease-end") => {
                let mut state = self.lock();
                let known = state.leases.contains_key(&id);
                self.end_lease(&mut state, id);
                match known {
                    true => ("200 OK", "{}".to_owned()),
                    false => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_key(&self, path: &str) -> (&'static str, String) {
        let state = self.lock();
        let key = query(path, "key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let fields = item.fields(&key);
                let revision = state.revision;
                (
                    "200 OK",
                    format!("{{{fields},\"storeRevision\":{revision}}}"),
                )
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_range(&self, path: &str) -> (&'static str, String) {
        const PAGE: usize = 500;
        let state = self.lock();
        let prefix = query(path, "pathPrefix").unwrap_or_default();
        let after = query(path, "after").unwrap_or_default();
        let items = state.items.iter();
        let found = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found: Vec<String> = found
            .map(|(key, item)| format!("{{{}}}", item.fields(key)))
            .collect();
        let more = found.len() > PAGE;
        let page = found[..found.len().min(PAGE)].join(",");
        let revision = state.revision;
        let json =
            format!("{{\"items\":[{page}],\"morePages\":{more},\"storeRevision\":{revision}}}");
        ("200 OK", json)
    }

    fn watch(&self, path: &str) -> (&'static str, String) {
        let number = |name| query(path, name).and_then(|text| text.parse::<i64>().ok());
        let prefix = query(path, "pathPrefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).max(0) as u64);
        let until = Instant::now() + wait;
        let mut state = self.lock();
        if after > state.revision {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let history = state.history.iter();
            let events = history.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_away() {
                let (events, revision) = (events.join(","), state.revision.max(after));
                let json = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return ("200 OK", json);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the state").0;
        }
    }

    fn change(&self, body: &str) -> (&'static str, String) {
        let Some(json) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.lock();
        let list = |name| json.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut conflicts = Vec::new();
        let mut is_met = true;
        for row in list("expectedRev") {
            let key = row.get("key").and_then(Json::text).unwrap_or("").to_owned();
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0);
            let found = state.items.get(&key);
            is_met &= found.map_or(0, |item| item.revision) == expected;
            conflicts.push(match found {
                Some(item) => format!("{{{}}}", item.fields(&key)),
                None => format!("{{\"key\":\"{key}\",\"revision\":0}}"),
            });
        }
        if !is_met {
            let items = conflicts.join(",");
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{items}]}}"),
            );
        }
        let writes = list("writes");
        let lease_of = |write: &Json| write.get("lease").and_then(Json::number).unwrap_or(0);
        let is_lost = |write: &Json| {
            let lease = lease_of(write);
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if writes.iter().any(is_lost) {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for write in &writes {
            let key = write.get("key").and_then(Json::text).unwrap_or("");
            let value = write.get("value").and_then(Json::text).unwrap_or("");
            state.write(key, value.to_owned(), lease_of(write));
        }
        for key in list("remove") {
            state.remove(key.text().unwrap_or(""));
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &str) -> (&'static str, String) {
        let json = Json::parse(body);
        let ttl = json.as_ref().and_then(|json| json.get("ttlMs")?.number());
        let ttl = ttl.unwrap_or(1000).max(1000);
        let mut state = self.lock();
        let id = 1 + state.leases.keys().last().copied().unwrap_or(70_000);
        let ttl_time = Duration::from_millis(ttl as u64);
        let lease = Lease {
            ttl: ttl_time,
            until: Instant::now() + ttl_time,
        };
        state.leases.insert(id, lease);
        ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
    }

    fn keep(&self, id: i64) -> (&'static str, String) {
        let mut state = self.lock();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                ("200 OK", format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = format!("{{{}}}", item.fields(key));
        self.history.push((revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.history.push((revision, key.to_owned(), event));
        }
    }
}

impl Item {
    fn fields(&self, key: &str) -> String {
        format!(
            "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            self.value, self.revision, self.created, self.lease
        )
    }
}
