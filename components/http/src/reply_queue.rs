//! The replies of one connection, in the order of its requests.

use crate::{Request, Response, message::encode_response, socket::send_now};
use std::{
    collections::VecDeque,
    io::Write,
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

type CloseHook = Box<dyn FnOnce() + Send>;

enum Slot {
    Waiting,
    Ready { bytes: Vec<u8>, close: bool },
}

struct State {
    /// Number of the request that the first slot is for.
    front: u64,
    slots: VecDeque<Slot>,
    /// Bytes of replies whose turn has come and that the socket has not taken yet.
    out: Vec<u8>,
    is_writing: bool,
    /// A reply closed the connection; nothing follows it.
    is_closing: bool,
    is_caller_closed: bool,
    /// This process has ended reading, so the end of the stream says nothing about the caller.
    is_read_ended: bool,
    is_reading: bool,
    /// Handlers that have not returned.
    running: usize,
    close_hooks: Vec<(u64, CloseHook)>,
    idle_since: Instant,
}

/// Orders and writes the replies to requests that may be handled at the same time.
pub(crate) struct ReplyQueue {
    stream: Arc<TcpStream>,
    leaving: Arc<AtomicBool>,
    state: Mutex<State>,
    changed: Condvar,
}

impl ReplyQueue {
    pub(crate) fn new(stream: &Arc<TcpStream>, leaving: &Arc<AtomicBool>) -> Arc<Self> {
        Arc::new(ReplyQueue {
            stream: Arc::clone(stream),
            leaving: Arc::clone(leaving),
            state: Mutex::new(State {
                front: 0,
                slots: VecDeque::new(),
                out: Vec::new(),
                is_writing: false,
                is_closing: false,
                is_caller_closed: false,
                is_read_ended: false,
                is_reading: false,
                running: 0,
                close_hooks: Vec::new(),
                idle_since: Instant::now(),
            }),
            changed: Condvar::new(),
        })
    }

    /// Takes a place for the reply to the next request.
    pub(crate) fn open(self: &Arc<Self>, request: &Request, keep_alive: bool) -> EarlyReply {
        let mut state = self.lock();
        let number = state.front + state.slots.len() as u64;
        state.slots.push_back(Slot::Waiting);
        state.running += 1;
        EarlyReply {
            replies: Arc::clone(self),
            number,
            keep_alive,
            is_head: request.method == "HEAD",
        }
    }

    /// Ends a handler: its response if none was sent earlier, and whatever is left to write.
    pub(crate) fn finish(&self, early: &EarlyReply, response: &Response) {
        self.put(early, response);
        self.flush(true);
        self.handler_ended(early.number);
    }

    /// Ends a handler that panicked: its connection can't be used any more.
    pub(crate) fn abandon(&self, early: &EarlyReply) {
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
        self.lock().is_closing = true;
        self.handler_ended(early.number);
    }

    fn handler_ended(&self, number: u64) {
        let mut state = self.lock();
        state.running -= 1;
        state.idle_since = Instant::now();
        state.close_hooks.retain(|(of, _)| *of != number);
        drop(state);
        self.changed.notify_all();
    }

    /// Waits until fewer than `limit` handlers run.
    pub(crate) fn wait_below(&self, limit: usize) {
        let mut state = self.lock();
        while state.running >= limit {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Notes that the caller has closed its side and tells the handlers.
    pub(crate) fn notify_caller_closed(&self) {
        let hooks = {
            let mut state = self.lock();
            if state.is_read_ended {
                return;
            }
            state.is_caller_closed = true;
            std::mem::take(&mut state.close_hooks)
        };
        for (_, hook) in hooks {
            hook();
        }
    }

    pub(crate) fn is_caller_closed(&self) -> bool {
        self.lock().is_caller_closed
    }

    /// Handlers that have not returned.
    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }

    /// Whether a reply closed the connection.
    pub(crate) fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    pub(crate) fn set_reading(&self, is_reading: bool) {
        self.lock().is_reading = is_reading;
    }

    /// Ends reading unless a request is being read or handled; wakes the thread that waits for one.
    /// Bytes that have arrived are still read.
    pub(crate) fn end_reading_if_idle(&self) {
        let mut state = self.lock();
        if state.is_reading || state.running > 0 {
            return;
        }
        state.is_read_ended = true;
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Time since the last reply, if nothing is in progress.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        let state = self.lock();
        let is_idle = state.running == 0;
        is_idle.then(|| state.idle_since.elapsed())
    }

    /// Stores a response until its turn comes; false if there is one already.
    fn put(&self, early: &EarlyReply, response: &Response) -> bool {
        let must_close = !early.keep_alive || response.headers.has_token("connection", "close");
        let mut state = self.lock();
        let Some(index) = early.number.checked_sub(state.front) else {
            return false;
        };
        // A server that is leaving closes behind the last request that it has read, not before.
        let is_last = index as usize + 1 == state.slots.len();
        let close = must_close || (is_last && self.leaving.load(Ordering::Acquire));
        let Some(slot @ Slot::Waiting) = state.slots.get_mut(index as usize) else {
            return false;
        };
        let mut bytes = Vec::new();
        encode_response(&mut bytes, response, early.is_head, close);
        *slot = Slot::Ready { bytes, close };
        true
    }

    /// Writes the replies whose turn has come; without `may_block`, as much as the socket takes.
    fn flush(&self, may_block: bool) {
        let mut state = self.lock();
        loop {
            state.take_ready();
            if state.is_writing {
                return;
            }
            if state.out.is_empty() {
                break;
            }
            if !may_block {
                // An error shows again when the rest is written.
                let sent = send_now(&self.stream, &state.out).unwrap_or(0);
                state.out.drain(..sent);
                break;
            }
            let out = std::mem::take(&mut state.out);
            state.is_writing = true;
            drop(state);
            let written = (&mut &*self.stream).write_all(&out);
            state = self.lock();
            state.is_writing = false;
            if written.is_err() {
                state.is_closing = true;
                state.slots.clear();
                let _ = self.stream.shutdown(Shutdown::Both);
                return;
            }
        }
        if state.is_closing && state.out.is_empty() {
            // Unread bytes at closing would reset the connection and could destroy the reply, so
            // the reader goes on until the caller closes.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_ready(&mut self) {
        while !self.is_closing && matches!(self.slots.front(), Some(Slot::Ready { .. })) {
            self.front += 1;
            if let Some(Slot::Ready { bytes, close }) = self.slots.pop_front() {
                if self.out.is_empty() {
                    self.out = bytes;
                } else {
                    self.out.extend_from_slice(&bytes);
                }
                if close {
                    self.is_closing = true;
                    // Requests behind this reply count as not read.
                    self.slots.clear();
                }
            }
        }
    }
}

/// Sends the response to one request at once from any thread, without blocking it. This saves
/// the wake-up of the handler's thread, which is a large part of a short call's latency.
#[derive(Clone)]
pub struct EarlyReply {
    replies: Arc<ReplyQueue>,
    number: u64,
    keep_alive: bool,
    is_head: bool,
}

impl EarlyReply {
    /// Sends the response when its turn has come; what the socket does not take at once is left to
    /// the handler's thread. False if the request was answered already; the response is then
    /// dropped.
    pub fn send(&self, response: &Response) -> bool {
        let is_first = self.replies.put(self, response);
        if is_first {
            self.replies.flush(false);
        }
        is_first
    }

    pub(crate) fn is_caller_closed(&self) -> bool {
        self.replies.is_caller_closed()
    }

    pub(crate) fn on_caller_close(&self, hook: impl FnOnce() + Send + 'static) {
        let mut state = self.replies.lock();
        if !state.is_caller_closed {
            state.close_hooks.push((self.number, Box::new(hook)));
            return;
        }
        drop(state);
        hook();
    }
}
