//! Stand-ins for clients.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Client;
use crate::world::Record;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns the id of a new client attempt.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1)
}

/// How a client attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer has come: its status, its delay before another try, and its body.
    Answered(u16, Option<Duration>, String),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came until the deadline.
    Expired,
    /// No connection was established.
    Unconnected,
}

/// A client that keeps its connection for many requests.
pub struct Caller {
    pub front: SocketAddr,
    pub key: String,
    connection: Option<Client>,
    /// Whether the connection has carried a request before.
    pub is_kept: bool,
}

impl Caller {
    pub fn new(front: SocketAddr, key: &str) -> Self {
        Self {
            front,
            key: key.to_owned(),
            connection: None,
            is_kept: false,
        }
    }

    /// Sends one client attempt, and waits for its answer.
    pub fn call(&mut self, record: &Record, method: &str, path: &str, deadline: Duration) -> (String, Outcome) {
        let id = new_id();
        self.is_kept = self.connection.is_some();
        if self.connection.is_none() {
            self.connection = Client::connect(self.front).ok();
        }
        let Some(client) = &mut self.connection else {
            return (id, Outcome::Unconnected);
        };
        record.line(&format!("send     {id} {method} {path} with {}", self.key));
        let result = exchange(client, &id, method, path, &self.key, deadline);
        let outcome = match result {
            Ok((status, after, body, closes)) => {
                if closes {
                    self.connection = None;
                }
                Outcome::Answered(status, after, body)
            }
            Err(error) => {
                self.connection = None;
                match error.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::Expired,
                    _ => Outcome::Closed,
                }
            }
        };
        record.line(&format!("outcome  {id} {outcome:?}"));
        (id, outcome)
    }
}

type Answer = (u16, Option<Duration>, String, bool);

fn exchange(
    client: &mut Client,
    id: &str,
    method: &str,
    path: &str,
    key: &str,
    deadline: Duration,
) -> io::Result<Answer> {
    client.set_timeout(deadline + Duration::from_millis(500))?;
    let (key, left) = (format!("Token {key}"), deadline.as_millis().to_string());
    let headers = [
        ("Host", "a.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", &left),
        ("Authorization", &key),
    ];
    client.send(method, path, &headers, b"a request")?;
    let head = client.read_head()?;
    let body = client.read_body(&head)?;
    let after = head.header("Retry-After").and_then(|after| after.parse().ok());
    let closes = head.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok((
        head.status,
        after.and_then(|after| Duration::try_from_secs_f64(after).ok()),
        String::from_utf8_lossy(&body).into_owned(),
        closes,
    ))
}

/// How one attempt at a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    Complete,
    /// Refused or failed with this status, and the delay before another try.
    Refused(u16, Option<Duration>),
    Closed,
    Expired,
    Unconnected,
}

/// A client's stream over all of its attempts.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// The attempt that brought the first event.
    pub first: Option<String>,
    /// The id of the last event.
    pub last: u64,
    /// The data of all events.
    pub pieces: Vec<String>,
}

impl Stream {
    /// Sends one attempt at the stream. `progress` is called after each event.
    pub fn attempt(
        &mut self,
        record: &Record,
        front: SocketAddr,
        key: &str,
        deadline: Instant,
        mut progress: impl FnMut(&Stream),
    ) -> (String, StreamEnd) {
        let id = new_id();
        let Ok(mut client) = Client::connect(front) else {
            record.line(&format!("refused  {id}: no connection"));
            return (id, StreamEnd::Unconnected);
        };
        record.sent_to(&id, front);
        let (resumes, last) = (self.first.clone().unwrap_or_default(), self.last);
        record.line(&format!("send     {id} stream after {last} resumes '{resumes}'"));
        let end = match self.read(&mut client, &id, key, deadline, &mut progress) {
            Ok(end) => end,
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => StreamEnd::Expired,
                _ => StreamEnd::Closed,
            },
        };
        record.line(&format!("outcome  {id} {end:?} after {} events", self.last));
        (id, end)
    }

    fn read(
        &mut self,
        client: &mut Client,
        id: &str,
        key: &str,
        deadline: Instant,
        progress: &mut impl FnMut(&Stream),
    ) -> io::Result<StreamEnd> {
        let left = deadline.saturating_duration_since(Instant::now());
        let (key, left_ms) = (format!("Token {key}"), left.as_millis().to_string());
        let (last, resumes) = (self.last.to_string(), self.first.clone().unwrap_or_default());
        let prefix = format!("5c1e07a2:200,{id}:800");
        let mut headers = vec![
            ("Host", "a.example"),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", &left_ms),
            ("Authorization", &key),
            ("X-Model", "m"),
            ("X-Token-Usage", "1000,1120"),
            ("X-Prefix-Hash", &prefix),
        ];
        if self.last > 0 {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", &resumes)]);
        }
        client.set_timeout(left)?;
        client.send("POST", "/stream/x", &headers, b"a prompt")?;
        let head = client.read_head()?;
        if head.status != 200 {
            client.read_body(&head)?;
            let after = head.header("Retry-After").and_then(|after| after.parse().ok());
            let after = after.and_then(|after| Duration::try_from_secs_f64(after).ok());
            return Ok(StreamEnd::Refused(head.status, after));
        }
        let mut text = String::new();
        while let Some(part) = client.read_part(&head, 0)? {
            text += &String::from_utf8_lossy(&part);
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                self.add(id, &event);
                progress(self);
            }
            client.set_timeout(deadline.saturating_duration_since(Instant::now()))?;
        }
        Ok(StreamEnd::Complete)
    }

    fn add(&mut self, id: &str, event: &str) {
        let number = event.lines().find_map(|line| line.strip_prefix("id:"));
        if let Some(number) = number.and_then(|number| number.trim().parse().ok()) {
            self.last = number;
            self.first.get_or_insert_with(|| id.to_owned());
            let data = event.lines().find_map(|line| line.strip_prefix("data:"));
            self.pieces.push(data.unwrap_or_default().trim().to_owned());
        }
    }
}
