//! HTTP/1.1 messages with a length, as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the stream.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first_line,
        fields,
        body: Vec::new(),
    };
    let length = message.field("content-length").and_then(|l| l.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(timeout))?;
        let mut bytes = head.as_bytes().to_vec();
        if !body.is_empty() {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request on a connection of its own; 0 in place of the status if there is no answer.
pub fn request(to: SocketAddr, line: &str, body: &str, timeout: Duration) -> (u16, String) {
    let exchange = || -> io::Result<Message> {
        let mut connection = Connection::open(to, timeout)?;
        let head = format!(
            "{line} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n"
        );
        connection.exchange(&head, body.as_bytes(), timeout)
    };
    match exchange() {
        Ok(answer) => (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        ),
        Err(error) => (0, error.to_string()),
    }
}
