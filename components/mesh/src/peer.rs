//! The connection that this process dials to one address.

use crate::{
    HEADER_BYTES, SendError,
    builder::spawn,
    connection::{Connection, Outgoing, Purpose},
    handshake,
    inner::Inner,
    stats::increment,
};
use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Timeout of the first connection attempt; it doubles with each further one. A host that is still
/// starting drops SYN packets, and the operating system repeats one only after a second, so a new
/// attempt is faster.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest timeout of one connection attempt; above the round-trip time between regions.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// State of the connection to a peer.
enum State {
    Idle,
    /// A thread opens the connection; messages wait until it is done.
    Connecting {
        waiting: Vec<Outgoing>,
        bytes: usize,
    },
    Connected(Arc<Connection>),
}

/// An address that this process sends to, with at most one connection.
pub(crate) struct Peer {
    address: SocketAddr,
    state: Mutex<State>,
}

impl Peer {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Peer {
            address,
            state: Mutex::new(State::Idle),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends on the open connection. If there is none, queues the message and opens a connection in
    /// the background.
    pub(crate) fn send(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        mut outgoing: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        loop {
            let mut state = self.state();
            let connection = match &mut *state {
                State::Connected(connection) => Arc::clone(connection),
                State::Connecting { waiting, bytes } => {
                    let cost = HEADER_BYTES + outgoing.payload.len();
                    if *bytes + cost > inner.limits.max_queued_bytes {
                        return Err((outgoing, SendError::QueueFull));
                    }
                    *bytes += cost;
                    waiting.push(outgoing);
                    return Ok(());
                }
                State::Idle => return self.start_dial(inner, state, outgoing),
            };
            drop(state);
            match connection.submit(inner, outgoing) {
                Err((returned, SendError::Closed)) => {
                    self.clear_connection(&connection);
                    outgoing = returned;
                }
                other => return other,
            }
        }
    }

    /// Forgets a closed connection if it is the current one.
    pub(crate) fn clear_connection(&self, connection: &Connection) {
        let mut state = self.state();
        if matches!(&*state, State::Connected(current) if current.id == connection.id) {
            *state = State::Idle;
        }
    }

    /// Takes the messages that wait for a connection.
    pub(crate) fn take_waiting(&self) -> Vec<Outgoing> {
        match &mut *self.state() {
            State::Connecting { waiting, bytes } => {
                *bytes = 0;
                std::mem::take(waiting)
            }
            _ => Vec::new(),
        }
    }

    fn start_dial(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        mut state: MutexGuard<'_, State>,
        outgoing: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        let body = {
            let peer = Arc::clone(self);
            let inner = Arc::clone(inner);
            move || peer.dial(&inner)
        };
        // The new thread can't change the state before this one releases the lock.
        if spawn("mesh-link", body).is_err() {
            return Err((outgoing, SendError::Closed));
        }
        *state = State::Connecting {
            bytes: HEADER_BYTES + outgoing.payload.len(),
            waiting: vec![outgoing],
        };
        Ok(())
    }

    /// Opens the connection, sends the waiting messages and hands the connection to the reader.
    fn dial(&self, inner: &Arc<Inner>) {
        match self.connect(inner) {
            Ok(connection) => {
                let unsent = self.send_waiting(inner, &connection);
                unsent.into_iter().for_each(Outgoing::fail_not_sent);
                inner.reader.add(connection, Box::new(()));
            }
            Err(failure) => {
                increment(&inner.counters.failed_dials);
                inner.report_handshake_failure(&failure, self.address);
                let state = std::mem::replace(&mut *self.state(), State::Idle);
                if let State::Connecting { waiting, .. } = state {
                    waiting.into_iter().for_each(Outgoing::fail_not_sent);
                }
            }
        }
    }

    /// Sends the waiting messages in order before other threads can use the connection. Returns
    /// those that could not be sent or whose deadline has passed.
    fn send_waiting(&self, inner: &Arc<Inner>, connection: &Arc<Connection>) -> Vec<Outgoing> {
        let mut state = self.state();
        let previous = std::mem::replace(&mut *state, State::Connected(Arc::clone(connection)));
        let mut unsent = Vec::new();
        if let State::Connecting { waiting, .. } = previous {
            for outgoing in waiting {
                let now_us = inner.now_us();
                if matches!(outgoing.purpose, Purpose::Request { deadline_us, .. } if deadline_us <= now_us)
                {
                    unsent.push(outgoing);
                } else if let Err((outgoing, _)) = connection.submit(inner, outgoing) {
                    unsent.push(outgoing);
                }
            }
        }
        unsent
    }

    fn connect(&self, inner: &Arc<Inner>) -> Result<Arc<Connection>, handshake::HandshakeError> {
        let limit = Duration::from_millis(inner.limits.connect_timeout_ms);
        let deadline = Instant::now() + limit;
        let stream = open(self.address, deadline)?;
        stream.set_nodelay(true)?;
        let session = handshake::dial(&stream, &inner.key, inner.local, deadline)?;
        let connection = inner.add_connection(Some(self.address), stream, &session)?;
        Ok(connection.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))?)
    }
}

/// Opens a TCP connection in a series of attempts, each of which sends a SYN packet of its own.
fn open(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let mut wait = FIRST_CONNECT_TIMEOUT;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        match TcpStream::connect_timeout(&address, wait.min(left)) {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                wait = MAX_CONNECT_TIMEOUT.min(wait * 2);
            }
            result => return result,
        }
    }
}
