//! Buffered reading from a connection under a deadline.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 * 1024;
/// Unused buffer space above this is given back when a message is done.
const KEPT_BYTES: usize = 64 * 1024;

/// Bytes that have arrived and were not used yet.
#[derive(Debug, Default)]
pub(crate) struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    timeout: Option<Duration>,
}

impl ReadBuffer {
    pub(crate) fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(KEPT_BYTES);
        }
    }

    /// Reads once; `Ok(0)` is the end of the stream.
    pub(crate) fn fill(&mut self, stream: &TcpStream, wait: Duration) -> io::Result<usize> {
        if wait.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if self.timeout != Some(wait) {
            stream.set_read_timeout(Some(wait))?;
            self.timeout = Some(wait);
        }
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        let length = self.bytes.len();
        self.bytes.resize(length + READ_BYTES, 0);
        let result = loop {
            match (&mut &*stream).read(&mut self.bytes[length..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.bytes
            .truncate(length + result.as_ref().map_or(0, |n| *n));
        result
    }

    /// Reads once, until the deadline.
    pub(crate) fn fill_until(&mut self, stream: &TcpStream, until: Instant) -> io::Result<usize> {
        self.fill(stream, until.saturating_duration_since(Instant::now()))
    }
}

/// Whether a read or write gave up because its timeout passed.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
