//! Guards against a process that blocks because nobody reads its log.

use super::{MAX_QUEUED_LINES, line_queue};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use std::{
    io::{self, Write},
    time::Duration,
};

/// Longest wait for a chunk that is due.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

/// Blocks each write until a message on `allowed`, then reports the written bytes on `written`.
struct BlockingWriter {
    allowed: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.allowed.recv().map_err(io::Error::other)?;
        self.written
            .send(bytes.to_vec())
            .map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn slow_reader_drops_lines() {
    let (allow, allowed) = unbounded();
    let (written, chunks) = unbounded();
    let (mut queue, _) = line_queue(BlockingWriter { allowed, written }).unwrap();
    let lines = 3 * MAX_QUEUED_LINES;
    for number in 0..lines {
        writeln!(queue, "line {number}").unwrap();
        queue.flush().unwrap();
    }
    let mut text = String::new();
    // One chunk if the log thread starts after the last line, else two.
    while !text.contains("lines were dropped") {
        allow.send(()).unwrap();
        text += &String::from_utf8(chunks.recv_timeout(CHUNK_TIMEOUT).unwrap()).unwrap();
    }
    assert!(text.starts_with("line 0\n"), "{text:.40}");
}

#[test]
fn flush_waits_for_lines() {
    let (written, chunks) = bounded(10);
    let (allow, allowed) = unbounded();
    allow.send(()).unwrap();
    let (mut queue, flusher) = line_queue(BlockingWriter { allowed, written }).unwrap();
    writeln!(queue, "last line").unwrap();
    queue.flush().unwrap();
    flusher.flush();
    assert_eq!(chunks.try_recv().unwrap(), b"last line\n");
}
