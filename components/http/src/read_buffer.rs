//! Buffered reading from a connection with a deadline.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Most bytes read from a connection at once.
pub(crate) const READ_BYTES: usize = 16 * 1024;
/// Buffer capacity that is kept once all bytes are consumed; the rest is freed.
const KEPT_CAPACITY_BYTES: usize = 64 * 1024;

/// Bytes that have arrived and are not consumed yet.
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
            self.bytes.shrink_to(KEPT_CAPACITY_BYTES);
        }
    }

    pub(crate) fn append(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    pub(crate) fn clear(&mut self) {
        self.consume(self.unread().len());
    }

    /// Frees the memory of an empty buffer if it is above `max_bytes`.
    pub(crate) fn shrink_if_empty(&mut self, max_bytes: usize) {
        if self.bytes.is_empty() {
            self.bytes.shrink_to(max_bytes);
        }
    }

    /// Reads once, waiting at most `timeout`; `Ok(0)` is the end of the stream.
    pub(crate) fn fill(&mut self, stream: &TcpStream, timeout: Duration) -> io::Result<usize> {
        if timeout.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if self.timeout != Some(timeout) {
            stream.set_read_timeout(Some(timeout))?;
            self.timeout = Some(timeout);
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

    /// Reads once, waiting until the deadline at most.
    pub(crate) fn fill_until(
        &mut self,
        stream: &TcpStream,
        deadline: Instant,
    ) -> io::Result<usize> {
        self.fill(stream, deadline.saturating_duration_since(Instant::now()))
    }
}

/// Whether a read or write failed because its timeout passed.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
