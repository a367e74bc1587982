//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json;
use crate::json::Json;
use crate::json::quote;

/// The number of items in a page.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: i64,
    item: Option<Item>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// What a copy of the store has.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: i64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<i64, Lease>,
}

struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    changes: Vec<Change>,
    /// No change up to this revision is known any more.
    history_from: i64,
    era: u64,
    is_down: bool,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address of the store"),
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                leases: BTreeMap::new(),
                next_lease: 7000,
                changes: Vec::new(),
                history_from: 100,
                era: 1,
                is_down: false,
            }),
            changed: Condvar::new(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(socket));
            }
        });
        let ticker = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticker.end_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state of the store")
    }

    // ---- What the operator, the engines and other writers do ----

    /// Writes an item. It is no change if the value is the same.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        if !state.is_down {
            let known = state.items.get(key);
            if known.is_none_or(|item| item.value != value.as_bytes()) {
                state.write(key, value.as_bytes().to_vec(), 0);
            }
        }
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if !state.is_down {
            state.delete(key);
        }
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
        }
    }

    /// Takes the store away: calls get no answer, and waiting ones are cut.
    pub fn go_down(&self) {
        self.lock().is_down = true;
        self.changed.notify_all();
    }

    /// Brings the store back from a copy, in a new era.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.lock();
        state.revision = copy.revision;
        state.history_from = copy.revision;
        state.items = copy.items;
        state.leases = copy.leases;
        state.changes.clear();
        state.era += 1;
        state.is_down = false;
        drop(state);
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        let now = Instant::now();
        let ended: BTreeSet<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        if ended.is_empty() {
            return;
        }
        for id in ended {
            state.end_lease(id);
        }
        drop(state);
        self.changed.notify_all();
    }

    // ---- Calls ----

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = Reader::new(socket);
        while let Ok(Some(mut call)) = reader.head() {
            let head = call.clone();
            match reader.body(&head, |part| call.body.extend_from_slice(part)) {
                Ok(true) => {}
                _ => return,
            }
            let Some((status, body, era)) = self.call(&call) else {
                return;
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era.to_string()),
            ];
            if http::answer(reader.socket(), status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call, `None` if the store is away.
    fn call(&self, call: &Message) -> Option<(u16, String, u64)> {
        if call.path() == "/kv-watch" {
            return self.watch(call);
        }
        let mut state = self.lock();
        if state.is_down {
            return None;
        }
        let path = call.path();
        let (status, body) = match (call.method(), path) {
            ("GET", "/kv-key") => state.read_key(&call.query("key")?),
            ("GET", "/kv-range") => state.read_range(
                &call.query("pathPrefix")?,
                &call.query("after").unwrap_or_default(),
            ),
            ("POST", "/kv-txn") => state.commit(&call.body),
            ("POST", "/kv-lease") => state.grant(&call.body),
            ("POST", _) if path.starts_with("/kv-keep/") => state.renew(path),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let id = lease_id(path);
                match state.leases.contains_key(&id) {
                    true => {
                        state.end_lease(id);
                        (200, "{}".to_owned())
                    }
                    false => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        };
        let era = state.era;
        drop(state);
        self.changed.notify_all();
        Some((status, body, era))
    }

    fn watch(&self, call: &Message) -> Option<(u16, String, u64)> {
        let prefix = call.query("pathPrefix")?;
        let after: i64 = call.query("after")?.parse().ok()?;
        let wait: u64 = call.query("waitMs")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down || state.era != era {
                return None;
            }
            if after < state.history_from || after > state.revision {
                return Some((410, "{}".to_owned(), state.era));
            }
            let changes = state.changes.iter();
            let events: Vec<String> = changes
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(Change::text)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, body, state.era));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("the state of the store")
                .0;
        }
    }
}

fn lease_id(path: &str) -> i64 {
    let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
    id.unwrap_or(0)
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            quote(&json::base64(&self.value)),
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl Change {
    fn text(&self) -> String {
        match &self.item {
            Some(item) => item.text(&self.key),
            None => format!(
                "{{\"key\":{},\"revision\":{},\"removed\":true}}",
                quote(&self.key),
                self.revision
            ),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map(|item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let Some(item) = self.items.get(key) else {
            return (404, format!("{{\"storeRevision\":{}}}", self.revision));
        };
        let mut body = item.text(key);
        body.pop();
        body.push_str(&format!(",\"storeRevision\":{}}}", self.revision));
        (200, body)
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let found = self.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = found
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| item.text(key))
            .collect();
        let more = found.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"morePages\":{more},\"storeRevision\":{}}}",
            page.join(","),
            self.revision
        );
        (200, body)
    }

    fn commit(&mut self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let list = |name: &str| call.get(name).map(Json::list).unwrap_or_default();
        let text = |entry: &Json, name: &str| {
            let value = entry.get(name).and_then(Json::text);
            value.unwrap_or_default().to_owned()
        };
        let current = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected: Vec<(String, i64)> = list("expectedRev")
            .iter()
            .map(|row| {
                let revision = row.get("revision").and_then(Json::number);
                (text(row, "key"), revision.unwrap_or(0))
            })
            .collect();
        if expected
            .iter()
            .any(|(key, revision)| current(self, key) != *revision)
        {
            let items: Vec<String> = expected
                .iter()
                .map(|(key, _)| match self.items.get(key) {
                    Some(item) => item.text(key),
                    None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |entry: &Json| entry.get("lease").and_then(Json::number).unwrap_or(0);
        let unknown = |entry: &&Json| lease(entry) != 0 && !self.leases.contains_key(&lease(entry));
        if list("writes").iter().any(|entry| unknown(&entry)) {
            return (404, "{}".to_owned());
        }
        for entry in list("writes") {
            let value = json::from_base64(&text(entry, "value")).unwrap_or_default();
            self.write(&text(entry, "key"), value, lease(entry));
        }
        for key in list("remove") {
            self.delete(key.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, body: &[u8]) -> (u16, String) {
        let ttl = json::parse(body).and_then(|call| call.get("ttlMs")?.number());
        let ttl = Duration::from_millis(ttl.unwrap_or(1000) as u64);
        self.next_lease += 1;
        let lease = Lease {
            ttl,
            until: Instant::now() + ttl,
        };
        self.leases.insert(self.next_lease, lease);
        let body = format!(
            "{{\"lease\":{},\"ttlMs\":{}}}",
            self.next_lease,
            ttl.as_millis()
        );
        (200, body)
    }

    fn renew(&mut self, path: &str) -> (u16, String) {
        match self.leases.get_mut(&lease_id(path)) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
