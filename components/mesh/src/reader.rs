//! The thread that reads from all connections.
//!
//! A thread per connection does not scale to a node with hundreds of peers: at 300 hosts, the
//! stacks alone would be a large part of the node's memory.

use crate::{
    connection::{Connection, ReadStatus, ReceiveState},
    inner::Inner,
};
use mio::{Events, Interest, Poll, Token, Waker, unix::SourceFd};
use std::{
    any::Any,
    collections::HashMap,
    io,
    os::fd::AsRawFd,
    sync::{Arc, Mutex, PoisonError},
};

/// Token of the waker; a connection's token is its id, and ids start at 1.
const WAKE: Token = Token(0);
/// Most events fetched from the operating system at once.
const MAX_EVENTS: usize = 256;

/// Value that is dropped when reading from its connection ends, such as a `CountGuard`.
pub(crate) type Guard = Box<dyn Any + Send>;

/// A connection that is being read.
struct ReadState {
    connection: Arc<Connection>,
    receive_state: ReceiveState,
    _guard: Guard,
}

/// Hands new connections to the reader thread.
pub(crate) struct Reader {
    waker: Waker,
    added: Mutex<Vec<(Arc<Connection>, Guard)>>,
}

impl Reader {
    /// Creates the reader and the `Poll` that its thread waits on.
    pub(crate) fn new() -> io::Result<(Self, Poll)> {
        let poll = Poll::new()?;
        let reader = Reader {
            waker: Waker::new(poll.registry(), WAKE)?,
            added: Mutex::default(),
        };
        Ok((reader, poll))
    }

    /// Starts reading from a connection; `guard` is dropped when it ends.
    pub(crate) fn add(&self, connection: Arc<Connection>, guard: Guard) {
        self.added
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((connection, guard));
        self.wake();
    }

    /// Wakes the thread, which then checks for new connections and for a stop.
    pub(crate) fn wake(&self) {
        if let Err(error) = self.waker.wake() {
            log::error!("mesh: the reader thread can't be woken: {error}");
        }
    }

    fn take_added(&self) -> Vec<(Arc<Connection>, Guard)> {
        std::mem::take(&mut *self.added.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Body of the reader thread; returns when the mesh has stopped and all connections have ended.
pub(crate) fn run_reader(inner: &Arc<Inner>, mut poll: Poll) {
    let mut events = Events::with_capacity(MAX_EVENTS);
    let mut read_states: HashMap<Token, ReadState> = HashMap::new();
    loop {
        if let Err(error) = poll.poll(&mut events, None)
            && error.kind() != io::ErrorKind::Interrupted
        {
            log::error!("mesh: connections can't be read any more: {error}");
            return;
        }
        for event in &events {
            if event.token() != WAKE {
                read_ready(inner, &poll, &mut read_states, event.token());
            }
        }
        for (connection, guard) in inner.reader.take_added() {
            start_reading(inner, &poll, &mut read_states, connection, guard);
        }
        if inner.is_stopping() && read_states.is_empty() {
            return;
        }
    }
}

fn start_reading(
    inner: &Arc<Inner>,
    poll: &Poll,
    read_states: &mut HashMap<Token, ReadState>,
    connection: Arc<Connection>,
    guard: Guard,
) {
    let token = Token(connection.id as usize);
    let fd = connection.stream().as_raw_fd();
    let registered = poll
        .registry()
        .register(&mut SourceFd(&fd), token, Interest::READABLE);
    if let Err(error) = registered {
        log::warn!(
            "mesh: connection to {} can't be read: {error}",
            connection.peer
        );
        inner.close(&connection);
        return;
    }
    let read_state = ReadState {
        receive_state: ReceiveState::new(inner, &connection),
        connection,
        _guard: guard,
    };
    read_states.insert(token, read_state);
    // Bytes that arrived before the registration raise no event.
    read_ready(inner, poll, read_states, token);
}

/// Reads all bytes that have arrived. This is necessary because the poll is edge-triggered: there
/// is no further event before new bytes arrive.
fn read_ready(
    inner: &Arc<Inner>,
    poll: &Poll,
    read_states: &mut HashMap<Token, ReadState>,
    token: Token,
) {
    let Some(read_state) = read_states.get_mut(&token) else {
        return;
    };
    if read_state
        .connection
        .read_available(inner, &mut read_state.receive_state)
        == ReadStatus::WouldBlock
    {
        return;
    }
    let fd = read_state.connection.stream().as_raw_fd();
    // Fails only if the operating system has removed the descriptor already.
    let _ = poll.registry().deregister(&mut SourceFd(&fd));
    if let Some(read_state) = read_states.remove(&token) {
        inner.close(&read_state.connection);
    }
}
