//! The thread that reads the requests of all connections of a server, and writes the replies that
//! callers are slow to read.
//!
//! A connection takes a thread only while handlers run. With a thread for each connection, a crowd
//! of idle or slow callers takes the memory of the process and the threads of its host.

use crate::{
    connection::{Next, ServedConnection},
    read_buffer::READ_BYTES,
    server::Shared,
};
use mio::{Events, Interest, Poll, Token, Waker, event::Event, unix::SourceFd};
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    io,
    os::fd::AsRawFd,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Token of the waker; a connection's token is its id, and ids start at 1.
const WAKE: Token = Token(0);
/// Most events fetched from the operating system at once.
const MAX_EVENTS: usize = 256;

/// What other threads have for the loop.
#[derive(Default)]
struct Inbox {
    added: Vec<ServedConnection>,
    /// Ids of connections whose replies have changed.
    changed: Vec<u64>,
    is_closed: bool,
    /// The loop has ended, also after a failure; nothing is taken any more.
    has_ended: bool,
}

/// Access of other threads to the loop.
pub(crate) struct LoopHandle {
    waker: Waker,
    inbox: Mutex<Inbox>,
}

impl LoopHandle {
    /// Creates the handle and the `Poll` that the loop waits on.
    pub(crate) fn new() -> io::Result<(Self, Poll)> {
        let poll = Poll::new()?;
        let handle = LoopHandle {
            waker: Waker::new(poll.registry(), WAKE)?,
            inbox: Mutex::default(),
        };
        Ok((handle, poll))
    }

    /// Passes a connection to the loop; it is closed if the loop has ended.
    pub(crate) fn add(&self, connection: ServedConnection) {
        self.send(|inbox| inbox.added.push(connection));
    }

    /// Tells the loop that the replies of a connection have changed.
    pub(crate) fn notify(&self, id: u64) {
        self.send(|inbox| inbox.changed.push(id));
    }

    /// Tells the loop that no connection is added any more, so that it ends with the last one.
    pub(crate) fn close(&self) {
        self.send(|inbox| inbox.is_closed = true);
    }

    /// Notes that the loop has ended, and closes the connections that it has not taken.
    fn end(&self) {
        let mut inbox = self.lock();
        inbox.has_ended = true;
        let left = std::mem::take(&mut inbox.added);
        // A connection that is dropped locks the table of connections, under whose lock messages are
        // sent.
        drop(inbox);
        drop(left);
    }

    fn send(&self, send: impl FnOnce(&mut Inbox)) {
        let mut inbox = self.lock();
        if inbox.has_ended {
            // As in `end`, a connection in the message is dropped without the lock.
            drop(inbox);
            return;
        }
        let is_wake_pending = !inbox.added.is_empty() || !inbox.changed.is_empty();
        send(&mut inbox);
        drop(inbox);
        if !is_wake_pending && let Err(error) = self.waker.wake() {
            log::error!("http: the connection loop can't be woken: {error}");
        }
    }

    /// Takes the messages; `is_closed` stays.
    fn take(&self) -> Inbox {
        let mut inbox = self.lock();
        let is_closed = inbox.is_closed;
        let taken = std::mem::take(&mut *inbox);
        inbox.is_closed = is_closed;
        taken
    }

    fn lock(&self) -> MutexGuard<'_, Inbox> {
        self.inbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection with the time of its next check.
struct Entry {
    connection: ServedConnection,
    check_at: Option<Instant>,
    /// The id is in `unfinished`, where it must be only once: each item is a turn.
    is_unfinished: bool,
}

/// State of the loop's thread.
struct ConnectionLoop {
    shared: Arc<Shared>,
    poll: Poll,
    entries: HashMap<u64, Entry>,
    /// `check_at` of the connections.
    checks: BTreeSet<(Instant, u64)>,
    /// Connections that have more to read than is read in one turn.
    unfinished: VecDeque<u64>,
    /// Memory that all connections read into.
    scratch: Vec<u8>,
}

/// Body of the loop's thread; returns when the server accepts no more connections and all have ended.
pub(crate) fn run_loop(shared: Arc<Shared>, poll: Poll) {
    run_with(shared, poll, Events::with_capacity(MAX_EVENTS));
}

fn run_with(shared: Arc<Shared>, poll: Poll, mut events: Events) {
    let handle = Arc::clone(&shared.connection_loop);
    let mut connection_loop = ConnectionLoop::new(shared, poll);
    while connection_loop.turn(&mut events) {}
    handle.end();
}

impl ConnectionLoop {
    fn new(shared: Arc<Shared>, poll: Poll) -> Self {
        ConnectionLoop {
            shared,
            poll,
            entries: HashMap::new(),
            checks: BTreeSet::new(),
            unfinished: VecDeque::new(),
            scratch: vec![0; READ_BYTES],
        }
    }

    /// Handles what has happened since the last turn; false at the end of the loop.
    fn turn(&mut self, events: &mut Events) -> bool {
        let timeout = self.timeout();
        if let Err(error) = self.poll.poll(events, timeout)
            && error.kind() != io::ErrorKind::Interrupted
        {
            log::error!("http: connections can't be served any more: {error}");
            return false;
        }
        for event in events.iter() {
            self.handle_event(event);
        }
        let inbox = self.shared.connection_loop.take();
        for connection in inbox.added {
            self.add(connection);
        }
        for id in inbox.changed {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.connection.set_readable(false);
                self.advance(id);
            }
        }
        for _ in 0..self.unfinished.len() {
            let Some(id) = self.unfinished.pop_front() else {
                break;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_unfinished = false;
                self.advance(id);
            }
        }
        self.run_checks();
        !(inbox.is_closed && self.entries.is_empty())
    }

    /// Time until the next check.
    fn timeout(&self) -> Option<Duration> {
        if !self.unfinished.is_empty() {
            return Some(Duration::ZERO);
        }
        let (at, _) = self.checks.first()?;
        Some(at.saturating_duration_since(Instant::now()))
    }

    fn handle_event(&mut self, event: &Event) {
        let id = event.token().0 as u64;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            let may_be_closed = event.is_read_closed() || event.is_error();
            entry.connection.set_readable(may_be_closed);
        }
        self.advance(id);
    }

    fn add(&mut self, connection: ServedConnection) {
        let id = connection.id();
        let fd = connection.stream().as_raw_fd();
        // Events are edge-triggered. Interest in writing raises one only when a full send buffer has
        // room again.
        let registered = self.poll.registry().register(
            &mut SourceFd(&fd),
            Token(id as usize),
            Interest::READABLE | Interest::WRITABLE,
        );
        if let Err(error) = registered {
            log::warn!("http: a connection can't be served: {error}");
            return;
        }
        let entry = Entry {
            connection,
            check_at: None,
            is_unfinished: false,
        };
        self.entries.insert(id, entry);
        self.advance(id);
    }

    /// Advances a connection as far as possible without waiting, unless its turn is still to come.
    fn advance(&mut self, id: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.is_unfinished {
            return;
        }
        let (shared, scratch) = (&self.shared, &mut self.scratch);
        // A fault in one connection must not end the others.
        let next = catch_unwind(AssertUnwindSafe(|| {
            entry.connection.advance(shared, scratch)
        }));
        match next {
            Ok(Next::Wait(None)) => {}
            Ok(Next::Wait(Some(at))) => {
                // A later time is set by the earlier check.
                if entry.check_at.is_none_or(|earlier| at < earlier) {
                    if let Some(later) = entry.check_at.replace(at) {
                        self.checks.remove(&(later, id));
                    }
                    self.checks.insert((at, id));
                }
            }
            Ok(Next::Again) => {
                entry.is_unfinished = true;
                self.unfinished.push_back(id);
            }
            Ok(Next::End) | Err(_) => self.remove(id),
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            if let Some(at) = entry.check_at {
                self.checks.remove(&(at, id));
            }
            let fd = entry.connection.stream().as_raw_fd();
            // Fails only if the operating system has removed the descriptor already.
            let _ = self.poll.registry().deregister(&mut SourceFd(&fd));
        }
    }

    /// Advances the connections whose check is due.
    fn run_checks(&mut self) {
        let now = Instant::now();
        while let Some((at, id)) = self.checks.first().copied()
            && at <= now
        {
            self.checks.pop_first();
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.check_at = None;
                self.advance(id);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/inside/connection_loop.rs"]
mod tests;
