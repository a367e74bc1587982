//! A caller's connection, which shows exactly what came and how it ended.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How an answer ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The whole answer has come.
    Whole { status: u16, body: String },
    /// The connection has ended before it, after these bytes.
    Cut { received: String },
    /// Nothing more has come for the patience of the caller.
    Silent { received: String },
}

impl Answer {
    pub(crate) fn status(&self) -> Option<u16> {
        match self {
            Answer::Whole { status, .. } => Some(*status),
            Answer::Cut { .. } | Answer::Silent { .. } => None,
        }
    }
}

/// A connection of a caller.
pub(crate) struct Connection {
    socket: TcpStream,
    /// When the last byte of a request was written.
    pub(crate) sent_at: Instant,
    /// Whether the last answer allows another request.
    is_open: bool,
}

impl Connection {
    /// # Errors
    ///
    /// Fails if nothing listens at the address.
    pub(crate) async fn open(entry: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(entry).await?;
        socket.set_nodelay(true)?;
        Ok(Self {
            socket,
            sent_at: Instant::now(),
            is_open: true,
        })
    }

    /// Returns whether another request may be sent: the last answer allows it, and the entry has not closed the connection.
    pub(crate) fn is_usable(&self) -> bool {
        let end = self.socket.try_read(&mut [0]);
        let is_waiting = end.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        self.is_open && is_waiting
    }

    /// Writes a part of a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub(crate) async fn write(&mut self, part: &str) -> std::io::Result<()> {
        self.socket.write_all(part.as_bytes()).await?;
        self.sent_at = Instant::now();
        Ok(())
    }

    /// Reads one answer.
    pub(crate) async fn read_answer(&mut self, patience: Duration) -> Answer {
        let mut received = Vec::new();
        let mut buffer = vec![0; 16 << 10];
        loop {
            let text = String::from_utf8_lossy(&received).into_owned();
            if let Some((status, body)) = whole_answer(&text) {
                self.is_open = !text.to_lowercase().contains("connection: close");
                return Answer::Whole { status, body };
            }
            let read = self.socket.read(&mut buffer);
            match tokio::time::timeout(patience, read).await {
                Ok(Ok(length)) if length > 0 => received.extend_from_slice(&buffer[..length]),
                Ok(_) => {
                    self.is_open = false;
                    return Answer::Cut { received: text };
                }
                Err(_) => {
                    self.is_open = false;
                    return Answer::Silent { received: text };
                }
            }
        }
    }
}

/// Returns the status and the body of an answer that has come as a whole.
fn whole_answer(text: &str) -> Option<(u16, String)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_lowercase();
    let length = head.lines().find_map(|line| {
        let length = line.strip_prefix("content-length:")?;
        length.trim().parse::<usize>().ok()
    });
    if head.contains("transfer-encoding: chunked") {
        return Some((status, whole_chunks(body)?));
    }
    let length = length?;
    (body.len() >= length).then(|| (status, body[..length].to_owned()))
}

/// Returns the content of a chunked body that has come as a whole.
fn whole_chunks(body: &str) -> Option<String> {
    let (mut rest, mut content) = (body, String::new());
    loop {
        let (length, after) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length.trim(), 16).ok()?;
        if length == 0 {
            return after.starts_with("\r\n").then_some(content);
        }
        content.push_str(after.get(..length)?);
        rest = after.get(length + 2..)?;
    }
}
