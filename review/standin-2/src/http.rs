//! The little HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.fields.iter().find(named).map(|(_, v)| v.as_str())
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub message: Message,
}

/// Reads one message with a length or in chunks; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = line.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            message
                .fields
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message.field("transfer-encoding").is_some();
    if is_chunked {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.field("content-length").and_then(|v| v.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a message with a length.
pub fn write_message(
    stream: &mut impl Write,
    first_line: &str,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first_line}\r\n");
    for (name, value) in fields {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request over a new connection and reads its response.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Reply> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut all = fields.to_vec();
    if !fields
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        all.insert(0, ("Host", to.to_string()));
    }
    write_message(
        &mut stream,
        &format!("{method} {path} HTTP/1.1"),
        &all,
        body,
    )?;
    read_reply(&mut BufReader::new(stream))
}

/// Reads one final response.
pub fn read_reply(reader: &mut impl BufRead) -> io::Result<Reply> {
    loop {
        let message = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status: u16 = message
            .first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        if status >= 200 {
            return Ok(Reply { status, message });
        }
    }
}
