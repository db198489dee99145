//! Writing the send queue to the socket.

use super::{Connection, State, state::Batch};
use crate::{builder::spawn, inner::Inner};
use socket2::SockRef;
use std::{
    io::{self, Write},
    sync::{Arc, MutexGuard},
    time::{Duration, Instant},
};

/// Pause before writing to a full socket again.
const WRITE_PAUSE: Duration = Duration::from_millis(2);

#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

impl Connection {
    /// Writes batches until the queue is empty, unless another thread already does so.
    pub(super) fn write_queued<'a>(
        self: &'a Arc<Self>,
        inner: &Arc<Inner>,
        mut state: MutexGuard<'a, State>,
    ) {
        if state.is_writing {
            return;
        }
        state.is_writing = true;
        while let Some(batch) = state.next_batch(inner) {
            drop(state);
            let written = self.write_nonblocking(&batch.bytes);
            match written {
                Ok(count) if count == batch.bytes.len() => {
                    state = self.state();
                    state.keep_buffers(batch);
                }
                Ok(count) => return self.write_in_background(inner, batch, count),
                Err(_) => return self.write_failed(&batch, 0),
            }
        }
    }

    /// Writes once without blocking; 0 if the socket buffer is full.
    fn write_nonblocking(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match SockRef::from(&self.stream).send_with_flags(bytes, MSG_DONTWAIT) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
                other => return other,
            }
        }
    }

    /// Writes the rest of a batch in a thread of its own, because a full socket must not block the
    /// sending thread. That may be the reader thread, and two processes whose readers block on
    /// writes to each other would never read again.
    fn write_in_background(self: &Arc<Self>, inner: &Arc<Inner>, batch: Batch, written: usize) {
        let connection = Arc::clone(self);
        let inner = Arc::clone(inner);
        let body = move || connection.write_blocking(&inner, batch, written);
        if spawn("mesh-write", body).is_err() {
            // The batch is lost, so the stream can't continue. Its requests count as sent, since
            // part of them may have arrived.
            self.shut_down();
        }
    }

    /// Writes the rest of a batch and then all further ones, waiting while the socket is full.
    fn write_blocking(&self, inner: &Inner, mut batch: Batch, mut written: usize) {
        let mut deadline = write_deadline(inner);
        loop {
            while written < batch.bytes.len() {
                match (&self.stream).write(&batch.bytes[written..]) {
                    Ok(count) if count > 0 => {
                        written += count;
                        deadline = write_deadline(inner);
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error)
                        if error.kind() == io::ErrorKind::WouldBlock
                            && Instant::now() < deadline =>
                    {
                        std::thread::sleep(WRITE_PAUSE);
                    }
                    Ok(_) | Err(_) => return self.write_failed(&batch, written),
                }
            }
            let mut state = self.state();
            state.keep_buffers(batch);
            match state.next_batch(inner) {
                None => return,
                Some(next) => batch = next,
            }
            written = 0;
        }
    }

    /// Closes the connection. Requests that start behind the last written byte count as not sent,
    /// since they certainly did not leave this host.
    fn write_failed(&self, batch: &Batch, written: usize) {
        let mut state = self.state();
        for request in batch.requests.iter().filter(|r| r.start >= written) {
            if let Some(pending) = state.pending.get_mut(&request.id) {
                pending.is_sent = false;
            }
        }
        state.is_closed = true;
        drop(state);
        self.shut_down();
    }
}

/// Sets the time after which the operating system ends a connection whose peer acknowledges nothing.
#[cfg(target_os = "linux")]
pub(super) fn set_user_timeout(stream: &std::net::TcpStream, timeout_ms: u64) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(Duration::from_millis(timeout_ms)))
}

/// Time at which a write without progress closes the connection.
fn write_deadline(inner: &Inner) -> Instant {
    Instant::now() + Duration::from_millis(inner.limits.write_timeout_ms)
}
