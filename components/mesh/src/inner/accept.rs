//! Accepting connections of peers.

use super::Inner;
use crate::{
    builder::spawn,
    connection::Connection,
    handshake::{self, HandshakeError},
    stats::increment,
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Pause of the accept loop after an error, such as running out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Raises a counter for as long as the guard lives.
struct CountGuard {
    inner: Arc<Inner>,
    counter: fn(&Inner) -> &AtomicUsize,
}

impl CountGuard {
    fn new(inner: &Arc<Inner>, counter: fn(&Inner) -> &AtomicUsize) -> Self {
        counter(inner).fetch_add(1, Ordering::AcqRel);
        CountGuard {
            inner: Arc::clone(inner),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.inner).fetch_sub(1, Ordering::AcqRel);
    }
}

impl Inner {
    pub(crate) fn run_acceptor(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.is_stopping() {
                return;
            }
            match accepted {
                Ok((stream, from)) => self.accept_connection(stream, from),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!("mesh: a connection can't be accepted: {error}");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn accept_connection(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let is_full = self.handshake_count.load(Ordering::Acquire) >= self.limits.max_handshakes
            || self.accepted_count.load(Ordering::Acquire) >= self.limits.max_connections;
        if is_full {
            increment(&self.counters.refused_limit);
            return;
        }
        let handshaking = CountGuard::new(self, |inner| &inner.handshake_count);
        let accepted = CountGuard::new(self, |inner| &inner.accepted_count);
        let inner = Arc::clone(self);
        let body = move || {
            let deadline =
                Instant::now() + Duration::from_millis(inner.limits.handshake_timeout_ms);
            let result = inner.accept_handshake(stream, deadline);
            drop(handshaking);
            match result {
                Ok(Some(connection)) => inner.reader.add(connection, Box::new(accepted)),
                Ok(None) => {}
                Err(failure) => inner.report_handshake_failure(&failure, from),
            }
        };
        if let Err(error) = spawn("mesh-link", body) {
            log::warn!("mesh: a connection thread can't be started: {error}");
        }
    }

    fn accept_handshake(
        &self,
        stream: TcpStream,
        deadline: Instant,
    ) -> Result<Option<Arc<Connection>>, HandshakeError> {
        stream.set_nodelay(true)?;
        let session = handshake::accept(&stream, &self.key, self.local, deadline)?;
        Ok(self.add_connection(None, stream, &session)?)
    }
}
