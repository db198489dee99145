//! Queue of log lines with its own writer thread, so that logging never blocks.

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::Builder,
    time::Duration,
};

/// Capacity of the queue; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Timeout for queuing a flush, and again for its completion, when a process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum QueueItem {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Sending end of the queue. Each flush queues one line, since `fern` flushes after each record.
pub(crate) struct LineQueue {
    items: Sender<QueueItem>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

/// Waits until all lines queued so far are written.
#[derive(Clone)]
pub(crate) struct Flusher(Sender<QueueItem>);

/// Creates a queue whose thread writes to `output`.
pub(crate) fn line_queue(output: impl Write + Send + 'static) -> io::Result<(LineQueue, Flusher)> {
    let (items, receiver) = bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    Builder::new()
        .name("log".to_owned())
        .spawn(move || run_log_thread(&receiver, output, &counter))?;
    let queue = LineQueue {
        items: items.clone(),
        line: Vec::new(),
        dropped,
    };
    Ok((queue, Flusher(items)))
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return Ok(());
        }
        if let Err(TrySendError::Full(_)) = self.items.try_send(QueueItem::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Flusher {
    /// Waits until the queued lines are written, at most for twice `FLUSH_TIMEOUT`.
    pub(crate) fn flush(&self) {
        let (done, completion) = bounded(1);
        if self
            .0
            .send_timeout(QueueItem::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // Lines that are not written in time are lost.
            let _ = completion.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn run_log_thread(items: &Receiver<QueueItem>, mut output: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = items.recv() {
        let mut lines = Vec::new();
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                QueueItem::Line(line) => lines.extend_from_slice(&line),
                QueueItem::Flush(done) => flushes.push(done),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            lines.extend_from_slice(
                format!("log: {dropped_lines} lines were dropped, output was too slow.\n")
                    .as_bytes(),
            );
        }
        // A closed standard output must not end the process.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        for done in flushes {
            // The receiver was dropped if the flush has timed out.
            let _ = done.send(());
        }
    }
}

#[cfg(test)]
#[path = "../tests/inside/lines.rs"]
mod tests;
