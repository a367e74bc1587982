//! HTTP/1.1 over blocking sockets: a server with a thread a connection, and a client with kept connections.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that has been read.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// The path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(found, _)| *found == name)
            .map(|(_, value)| unescape(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter();
    found
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3);
        let code = code.and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line.last().is_some_and(|byte| *byte == b'\n' || *byte == b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body, `None` at the end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
        .map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        read_headers(reader)?;
        return Ok(None);
    }
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(Some(chunk))
}

/// Reads the next request, `None` when the peer has closed the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    if find(&request.headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            request.body.extend(chunk);
        }
    } else if let Some(length) = request.header("content-length") {
        request.body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// What a handler keeps for one connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// The id of an earlier request on the connection to which a second answer is due.
    pub second_answer: Option<String>,
}

/// Answers a request on its socket. The connection is closed after `false`.
pub type Handler = dyn Fn(&Request, &mut TcpStream, &mut Connection) -> io::Result<bool> + Send + Sync;

/// Starts a server on a free loopback port.
pub fn serve(handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(socket, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(mut socket: TcpStream, handler: &Handler) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut connection = Connection::default();
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut socket, &mut connection)? {
            break;
        }
    }
    Ok(())
}

/// Writes a whole answer.
pub fn answer(
    socket: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    socket.write_all(&bytes)?;
    Ok(true)
}

/// Returns whether the peer of a socket has closed it.
pub fn is_closed(socket: &TcpStream) -> bool {
    let _ = socket.set_nonblocking(true);
    let mut byte = [0];
    let found = socket.peek(&mut byte);
    let _ = socket.set_nonblocking(false);
    match found {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// The head of an answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl AnswerHead {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection.
pub struct Client {
    socket: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        let reader = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.socket
            .set_read_timeout(Some(timeout.max(Duration::from_millis(1))))
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        let body = if method == "GET" { b"" } else { body };
        if method != "GET" {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend(body);
        self.socket.write_all(&bytes)
    }

    pub fn read_head(&mut self) -> io::Result<AnswerHead> {
        let line = read_line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        Ok(AnswerHead {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            headers: read_headers(&mut self.reader)?,
        })
    }

    /// Reads the whole body.
    pub fn read_body(&mut self, head: &AnswerHead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part(head, body.len())? {
            body.extend(part);
        }
        Ok(body)
    }

    /// Reads the next part of a body of which `before` bytes have been read, `None` at its end.
    pub fn read_part(&mut self, head: &AnswerHead, before: usize) -> io::Result<Option<Vec<u8>>> {
        if head.header("transfer-encoding").is_some() {
            return read_chunk(&mut self.reader);
        }
        let length = head.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        if before >= length {
            return Ok(None);
        }
        let mut body = vec![0; length - before];
        self.reader.read_exact(&mut body)?;
        Ok(Some(body))
    }
}
