//! A minimal HTTP/1.1 client, and the reading of requests on the side of an instance.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a message: its first line and its header fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of the first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Declared length of the body.
    pub fn content_length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A response whose body has arrived completely.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: Head,
}

impl Response {
    /// Whether the connection ends after it.
    pub fn closes(&self) -> bool {
        self.head
            .get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with the bytes that were read from it and not consumed yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection; fails after a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream))
    }

    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; `Ok(0)` is the end of the connection.
    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        let timeout = match until {
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(timeout)?;
        let mut bytes = [0; 64 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `Ok(None)` if the connection ends before its first byte.
    pub fn read_head(&mut self, until: Option<Instant>) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill(until)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly this number of bytes.
    pub fn read_exact(&mut self, count: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads at most this number of bytes; empty at the end of the connection.
    pub fn read_some(&mut self, most: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && self.fill(until)? == 0 {
            return Ok(Vec::new());
        }
        let count = self.buffer.len().min(most);
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a whole response. Fails if the connection ends before it is complete.
    pub fn read_response(&mut self, until: Option<Instant>) -> io::Result<Response> {
        let head = self.read_head(until)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head
            .first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let length = head.content_length().unwrap_or(0);
        self.read_exact(length, until)?;
        Ok(Response { status, head })
    }
}

/// Position of the first occurrence of a pattern.
pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Head { first_line, fields }
}

/// A client's request as the platform's clients send it.
pub fn client_request(
    method: &str,
    path: &str,
    host: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Milliseconds: {deadline_ms}\r\n"
    );
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request over a new connection and reads its response.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Response> {
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    connection.read_response(Some(Instant::now() + wait))
}

/// Sends a JSON body to a port of the platform and reads the response.
pub fn call_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> io::Result<Response> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    call(address, request.as_bytes(), wait)
}
