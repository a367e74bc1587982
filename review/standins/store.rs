//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::base64;
use crate::json::from_base64;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// The revision, the key, and what was written, `None` for a removal.
    history: Vec<(i64, String, Option<Item>)>,
    revision: i64,
    /// The end of each lease and its length.
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
    /// How often the store has come back from an older copy.
    era: i64,
    /// History up to this revision is not available.
    compacted: i64,
    /// Whether the store answers with 503.
    is_away: bool,
}

/// What the store holds at one moment.
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: i64,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts a store with a server.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        store.state.lock().unwrap().revision = 1;
        let served = store.clone();
        let address = http::serve(Arc::new(move |request, socket, _| {
            served.handle(request, socket)
        }))?;
        Ok((store, address))
    }

    /// Writes a key as the operator or an engine does.
    ///
    /// While the store is away nothing is written.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        state.write(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.remove(key);
        self.changed.notify_all();
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Goes away: all calls are answered with 503.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from an older copy, in which no lease is known.
    pub fn come_back(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.compacted = copy.revision;
        state.history.clear();
        state.leases.clear();
        let leased = state.items.iter().filter(|(_, item)| item.lease != 0);
        let leased: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in leased {
            state.remove(&key);
        }
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, socket: &mut TcpStream) -> io::Result<bool> {
        let text = |name: &str| request.query(name).unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let path = request.path().to_owned();
        if self.state.lock().unwrap().is_away {
            return http::answer(socket, "503 Service Unavailable", &[], b"{}");
        }
        let (status, body) = match (request.method.as_str(), path.as_str()) {
            ("GET", "/kv-key") => self.state.lock().unwrap().key(&text("key")),
            ("GET", "/kv-range") => self.state.lock().unwrap().range(&text("pathPrefix")),
            ("GET", "/kv-watch") => self.watch(
                &text("pathPrefix"),
                text("after").parse().unwrap_or(0),
                Duration::from_millis(text("waitMs").parse().unwrap_or(0)),
            ),
            ("POST", "/kv-txn") => {
                let mut state = self.state.lock().unwrap();
                let answer = state.commit(&body);
                self.changed.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&body).and_then(|body| body.get("ttlMs")?.number());
                self.state.lock().unwrap().grant(ttl.unwrap_or(1000))
            }
            ("POST", path) => self.state.lock().unwrap().keep(lease_of(path)),
            ("DELETE", path) => {
                let mut state = self.state.lock().unwrap();
                let answer = state.end(lease_of(path));
                self.changed.notify_all();
                answer
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let era = self.state.lock().unwrap().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        http::answer(socket, status, &headers, body.as_bytes())
    }

    fn watch(&self, prefix: &str, after: i64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            state.expire();
            if state.is_away {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if state.era != era || after < state.compacted || after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let news = state.history.iter();
            let events: Vec<String> = news
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return (
                    "200 OK",
                    format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#),
                );
            }
            let left = left.min(Duration::from_millis(200));
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn lease_of(path: &str) -> i64 {
    let id = path.rsplit('/').next();
    id.and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> String {
    let (value, revision) = (base64(&item.value), item.revision);
    let (created, lease) = (item.created, item.lease);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn key(&mut self, key: &str) -> (&'static str, String) {
        self.expire();
        match self.items.get(key) {
            Some(item) => ("200 OK", item_json(key, item)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&mut self, prefix: &str) -> (&'static str, String) {
        self.expire();
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let (items, revision) = (items.join(","), self.revision);
        (
            "200 OK",
            format!(r#"{{"items":[{items}],"morePages":false,"storeRevision":{revision}}}"#),
        )
    }

    fn commit(&mut self, body: &str) -> (&'static str, String) {
        self.expire();
        let Some(change) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let rows = |name: &str| change.get(name).map(Json::list).unwrap_or_default();
        let expected: Vec<(String, i64)> = rows("expectedRev")
            .iter()
            .filter_map(|row| {
                Some((
                    row.get("key")?.text()?.to_owned(),
                    row.get("revision")?.number()?,
                ))
            })
            .collect();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if expected.iter().any(|(key, revision)| revision_of(key) != *revision) {
            let items: Vec<String> = expected
                .iter()
                .map(|(key, _)| match self.items.get(key) {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":0}}"#),
                })
                .collect();
            let items = items.join(",");
            return ("412 Precondition Failed", format!(r#"{{"items":[{items}]}}"#));
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        let known = |lease: i64| lease == 0 || self.leases.contains_key(&lease);
        if !rows("writes").iter().all(|row| known(lease_of(row))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in rows("writes") {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            let value = from_base64(value).unwrap_or_default();
            self.write(key, value, lease_of(row));
        }
        for key in rows("remove") {
            self.remove(key.text().unwrap_or_default());
        }
        let revision = self.revision;
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&mut self, ttl_ms: i64) -> (&'static str, String) {
        self.last_lease += 1;
        let ttl = Duration::from_millis(ttl_ms.max(1000) as u64);
        let lease = self.last_lease;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        let ttl = ttl.as_millis();
        ("200 OK", format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
    }

    fn keep(&mut self, lease: i64) -> (&'static str, String) {
        self.expire();
        match self.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn end(&mut self, lease: i64) -> (&'static str, String) {
        if self.leases.remove(&lease).is_none() {
            return ("404 Not Found", "{}".to_owned());
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        ("200 OK", "{}".to_owned())
    }
}
