//! One thread that reads from all connections.
//!
//! A thread per connection does not carry a node that talks to hundreds of others: at 300 hosts the
//! stacks alone would be a large part of its memory.

use crate::{
    connection::{Inflow, Link, Progress},
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

/// Token of the wake-up; connections have their ids, which start at 1.
const WAKE: Token = Token(0);
/// Events taken from the system at once.
const EVENTS: usize = 256;

/// Something that lives as long as its connection.
pub(crate) type Guard = Box<dyn Any + Send>;

struct Reading {
    link: Arc<Link>,
    inflow: Inflow,
    _guard: Guard,
}

/// Hands connections to the reading thread.
pub(crate) struct Reader {
    waker: Waker,
    added: Mutex<Vec<(Arc<Link>, Guard)>>,
}

impl Reader {
    /// The reader and the poll that its thread waits on.
    pub(crate) fn new() -> io::Result<(Self, Poll)> {
        let poll = Poll::new()?;
        let reader = Reader {
            waker: Waker::new(poll.registry(), WAKE)?,
            added: Mutex::default(),
        };
        Ok((reader, poll))
    }

    /// Reads from the connection from now on.
    pub(crate) fn add(&self, link: Arc<Link>, guard: Guard) {
        self.added
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((link, guard));
        self.wake();
    }

    /// Makes the thread look whether the mesh has stopped.
    pub(crate) fn wake(&self) {
        if let Err(error) = self.waker.wake() {
            log::error!("mesh: the reading thread can't be woken: {error}");
        }
    }

    fn take_added(&self) -> Vec<(Arc<Link>, Guard)> {
        std::mem::take(&mut *self.added.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs the reading thread until the mesh has stopped and all connections have ended.
pub(crate) fn read_all(inner: &Arc<Inner>, mut poll: Poll) {
    let mut events = Events::with_capacity(EVENTS);
    let mut readings: HashMap<Token, Reading> = HashMap::new();
    loop {
        if let Err(error) = poll.poll(&mut events, None)
            && error.kind() != io::ErrorKind::Interrupted
        {
            log::error!("mesh: connections can't be read any more: {error}");
            return;
        }
        for event in &events {
            if event.token() != WAKE {
                read_ready(inner, &poll, &mut readings, event.token());
            }
        }
        for (link, guard) in inner.reader.take_added() {
            start_reading(inner, &poll, &mut readings, link, guard);
        }
        if inner.is_stopping() && readings.is_empty() {
            return;
        }
    }
}

fn start_reading(
    inner: &Arc<Inner>,
    poll: &Poll,
    readings: &mut HashMap<Token, Reading>,
    link: Arc<Link>,
    guard: Guard,
) {
    let token = Token(link.id as usize);
    let fd = link.stream().as_raw_fd();
    let registered = poll
        .registry()
        .register(&mut SourceFd(&fd), token, Interest::READABLE);
    if let Err(error) = registered {
        log::warn!("mesh: connection to {} can't be read: {error}", link.peer);
        inner.close(&link);
        return;
    }
    let reading = Reading {
        inflow: Inflow::new(inner, &link),
        link,
        _guard: guard,
    };
    readings.insert(token, reading);
    // Bytes that came before the registration raise no event.
    read_ready(inner, poll, readings, token);
}

/// Takes all bytes that have arrived; events come only for later ones.
fn read_ready(
    inner: &Arc<Inner>,
    poll: &Poll,
    readings: &mut HashMap<Token, Reading>,
    token: Token,
) {
    let Some(reading) = readings.get_mut(&token) else {
        return;
    };
    if reading.link.read_available(inner, &mut reading.inflow) == Progress::Waiting {
        return;
    }
    let fd = reading.link.stream().as_raw_fd();
    // Fails only if the system has dropped it already.
    let _ = poll.registry().deregister(&mut SourceFd(&fd));
    if let Some(reading) = readings.remove(&token) {
        inner.close(&reading.link);
    }
}
