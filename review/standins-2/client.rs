//! A stand-in for the callers.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::Reader;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    pub deadline: Duration,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// The head of the answer, `None` without one.
    pub head: Option<Message>,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end.
    pub whole: bool,
    /// When the first part of the body came.
    pub first_at: Option<Instant>,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }

    pub fn is_served(&self) -> bool {
        self.status() == 200 && self.whole
    }

    pub fn describe(&self) -> String {
        let status = match &self.head {
            Some(head) => head.status().to_string(),
            None => "no answer".to_owned(),
        };
        let end = match self.whole {
            true => "whole",
            false => "broken off",
        };
        let retry = self
            .head
            .as_ref()
            .and_then(|head| head.header("Retry-After"));
        format!(
            "{status}, {end}, after {} ms{}",
            (self.ended_at - self.sent_at).as_millis(),
            retry.map_or(String::new(), |retry| format!(", Retry-After {retry}"))
        )
    }
}

/// Sends a request on a new connection, and reads the answer until the deadline.
pub fn call(entry: SocketAddr, request: &Request) -> Outcome {
    let sent_at = Instant::now();
    let mut outcome = Outcome {
        id: request.id.clone(),
        sent_at,
        ended_at: sent_at,
        head: None,
        body: Vec::new(),
        whole: false,
        first_at: None,
    };
    // An error shows in what the outcome lacks.
    let _ = exchange(entry, request, &mut outcome);
    outcome.ended_at = Instant::now();
    outcome
}

fn exchange(entry: SocketAddr, request: &Request, outcome: &mut Outcome) -> std::io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(request.deadline))?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis()
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Length: {}\r\n\r\n{}",
        request.body.len(),
        request.body
    ));
    socket.write_all(text.as_bytes())?;
    let mut reader = Reader::new(socket);
    let Some(head) = reader.head()? else {
        return Ok(());
    };
    outcome.head = Some(head.clone());
    let mut body = Vec::new();
    let mut first_at = None;
    let whole = reader.body(&head, |part| {
        first_at.get_or_insert_with(Instant::now);
        body.extend_from_slice(part);
    });
    outcome.body = body;
    outcome.first_at = first_at;
    outcome.whole = whole?;
    Ok(())
}
