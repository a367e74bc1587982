//! HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The head of a message: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// Returns the status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Returns a loopback address that no other process uses, so that a port which was free stays free.
pub fn own_ip() -> [u8; 4] {
    let pid = std::process::id();
    let part = |number: u32| 1 + (number % 250) as u8;
    [127, part(pid / 250), part(pid), 1]
}

/// A part of a body.
#[derive(Debug)]
pub enum Part {
    Data(Vec<u8>),
    /// The regular end of the body.
    End,
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    fn find(&self, pattern: &[u8]) -> Option<usize> {
        let mut windows = self.buffer.windows(pattern.len());
        windows.position(|window| window == pattern)
    }

    /// Reads a head, `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.find(b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(broken()),
                };
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        let headers = headers.collect();
        Ok(Some(Head { first, headers }))
    }

    /// Reads the whole body of a message with a length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk()? {
                    Part::Data(data) => body.extend(data),
                    Part::End => return Ok(body),
                }
            }
        }
        let length = head.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| broken())?;
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(broken());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk.
    pub fn read_chunk(&mut self) -> io::Result<Part> {
        let line = loop {
            if let Some(end) = self.find(b"\r\n") {
                break end;
            }
            if !self.fill()? {
                return Err(broken());
            }
        };
        let size: Vec<u8> = self.buffer.drain(..line + 2).collect();
        let size = String::from_utf8_lossy(&size);
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken())?;
        while self.buffer.len() < size + 2 {
            if !self.fill()? {
                return Err(broken());
            }
        }
        let data: Vec<u8> = self.buffer.drain(..size).collect();
        self.buffer.drain(..2);
        Ok(match size {
            0 => Part::End,
            _ => Part::Data(data),
        })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut out =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the message is not complete")
}

/// Returns a parameter of the query in a path, decoded.
pub fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8(out).ok()
}
