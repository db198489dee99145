//! The connection that this process dials to one address.

use crate::{
    HEADER_BYTES, SendError,
    builder::spawn,
    connection::{Link, Outgoing, Purpose},
    handshake,
    inner::Inner,
    stats::count,
};
use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Wait for the answer to the first opening packet; doubles with each further one. A host that is
/// still starting drops them, and the system repeats one only after a second.
const FIRST_DIAL_WAIT: Duration = Duration::from_millis(100);
/// Longest such wait; above the round trip between regions.
const LONGEST_DIAL_WAIT: Duration = Duration::from_millis(200);

enum State {
    Idle,
    Connecting {
        waiting: Vec<Outgoing>,
        bytes: usize,
    },
    Up(Arc<Link>),
}

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

    /// Sends on the open connection, or queues the message and opens one in the background.
    pub(crate) fn send(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        mut out: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        loop {
            let mut state = self.state();
            let link = match &mut *state {
                State::Up(link) => Arc::clone(link),
                State::Connecting { waiting, bytes } => {
                    let cost = HEADER_BYTES + out.payload.len();
                    if *bytes + cost > inner.limits.max_queued_bytes {
                        return Err((out, SendError::QueueFull));
                    }
                    *bytes += cost;
                    waiting.push(out);
                    return Ok(());
                }
                State::Idle => return self.start_dial(inner, state, out),
            };
            drop(state);
            match link.submit(inner, out) {
                Err((returned, SendError::Closed)) => {
                    self.forget(&link);
                    out = returned;
                }
                other => return other,
            }
        }
    }

    /// Drops the connection if it is the current one.
    pub(crate) fn forget(&self, link: &Link) {
        let mut state = self.state();
        if matches!(&*state, State::Up(current) if current.id == link.id) {
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
        out: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        let body = {
            let peer = Arc::clone(self);
            let inner = Arc::clone(inner);
            move || peer.dial(&inner)
        };
        // The new thread waits for the lock that is held here.
        if spawn("mesh-link", body).is_err() {
            return Err((out, SendError::Closed));
        }
        *state = State::Connecting {
            bytes: HEADER_BYTES + out.payload.len(),
            waiting: vec![out],
        };
        Ok(())
    }

    /// Opens the connection and then reads from it.
    fn dial(&self, inner: &Arc<Inner>) {
        match self.connect(inner) {
            Ok(link) => {
                let unsent = self.put_up(inner, &link);
                unsent.into_iter().for_each(Outgoing::not_sent);
                inner.reader.add(link, Box::new(()));
            }
            Err(failure) => {
                count(&inner.counters.failed_dials);
                inner.refused(&failure, self.address);
                let state = std::mem::replace(&mut *self.state(), State::Idle);
                if let State::Connecting { waiting, .. } = state {
                    waiting.into_iter().for_each(Outgoing::not_sent);
                }
            }
        }
    }

    /// Sends what waited, in order, before other threads see the connection.
    fn put_up(&self, inner: &Arc<Inner>, link: &Arc<Link>) -> Vec<Outgoing> {
        let mut state = self.state();
        let previous = std::mem::replace(&mut *state, State::Up(Arc::clone(link)));
        let mut unsent = Vec::new();
        if let State::Connecting { waiting, .. } = previous {
            for out in waiting {
                let now_us = inner.now_us();
                if matches!(out.purpose, Purpose::Request { deadline_us, .. } if deadline_us <= now_us)
                {
                    unsent.push(out);
                } else if let Err((out, _)) = link.submit(inner, out) {
                    unsent.push(out);
                }
            }
        }
        unsent
    }

    fn connect(&self, inner: &Arc<Inner>) -> Result<Arc<Link>, handshake::Failure> {
        let limit = Duration::from_millis(inner.limits.connect_timeout_ms);
        let until = Instant::now() + limit;
        let stream = open(self.address, until)?;
        stream.set_nodelay(true)?;
        let session = handshake::dial(&stream, &inner.key, inner.local, until)?;
        let link = inner.add_link(Some(self.address), stream, &session)?;
        Ok(link.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))?)
    }
}

/// Opens a connection by a series of attempts, each with an opening packet of its own.
fn open(address: SocketAddr, until: Instant) -> io::Result<TcpStream> {
    let mut wait = FIRST_DIAL_WAIT;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        match TcpStream::connect_timeout(&address, wait.min(left)) {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                wait = LONGEST_DIAL_WAIT.min(wait * 2);
            }
            result => return result,
        }
    }
}
