//! Queue that writes the replies of one connection in the order of its requests.

use crate::{
    Request, Response,
    message::{encode_response, insert_close},
    socket::send_now,
};
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

/// The reply to one request.
enum Slot {
    /// The handler has not answered yet.
    Waiting {
        /// Whether the request's method is `HEAD`, whose replies have no body.
        is_head: bool,
    },
    /// Encoded and waiting for its turn.
    Ready(EncodedReply),
}

/// A reply as it is written to the connection.
struct EncodedReply {
    bytes: Vec<u8>,
    /// Length of the head in bytes, with the empty line that ends it.
    head_bytes: usize,
    /// Whether the connection ends after this reply, whatever was read behind its request.
    must_close: bool,
}

impl EncodedReply {
    fn new(response: &Response, is_head: bool) -> Self {
        let mut bytes = Vec::new();
        let head_bytes = encode_response(&mut bytes, response, is_head, false);
        EncodedReply {
            bytes,
            head_bytes,
            must_close: response.headers.has_token("connection", "close"),
        }
    }
}

struct State {
    /// Number of the request that the first slot belongs to.
    first_number: u64,
    slots: VecDeque<Slot>,
    /// Bytes of replies whose turn has come and that are not written to the socket yet.
    output: Vec<u8>,
    is_writing: bool,
    /// A reply closed the connection; no further reply is sent.
    is_closing: bool,
    /// The caller has announced that the request just read is its last one.
    has_last_request: bool,
    is_caller_closed: bool,
    /// This process shut down reading, so the end of the stream does not mean that the caller
    /// closed.
    is_read_shut_down: bool,
    /// A request is being read.
    is_reading: bool,
    /// Number of handlers that have not returned.
    running_handlers: usize,
    /// Hooks to run when the caller closes the connection, with the number of their request.
    close_hooks: Vec<(u64, CloseHook)>,
    idle_since: Instant,
}

/// Orders and writes the replies to requests whose handlers may run concurrently.
pub(crate) struct ReplyQueue {
    stream: Arc<TcpStream>,
    is_draining: Arc<AtomicBool>,
    state: Mutex<State>,
    changed: Condvar,
}

impl ReplyQueue {
    pub(crate) fn new(stream: &Arc<TcpStream>, is_draining: &Arc<AtomicBool>) -> Arc<Self> {
        Arc::new(ReplyQueue {
            stream: Arc::clone(stream),
            is_draining: Arc::clone(is_draining),
            state: Mutex::new(State {
                first_number: 0,
                slots: VecDeque::new(),
                output: Vec::new(),
                is_writing: false,
                is_closing: false,
                has_last_request: false,
                is_caller_closed: false,
                is_read_shut_down: false,
                is_reading: false,
                running_handlers: 0,
                close_hooks: Vec::new(),
                idle_since: Instant::now(),
            }),
            changed: Condvar::new(),
        })
    }

    /// Adds a slot for the reply to the request that was just read, and counts its handler as
    /// running. `None` if a reply has closed the connection or the caller has announced its end: the
    /// request must not run then, because it can't be answered.
    pub(crate) fn push_request(
        self: &Arc<Self>,
        request: &Request,
        keep_alive: bool,
    ) -> Option<EarlyReply> {
        let mut state = self.lock();
        // Under the same lock as the new slot: in between, the reply before would take itself for
        // the last one and close the connection.
        state.is_reading = false;
        if state.takes_no_request() {
            return None;
        }
        let number = state.first_number + state.slots.len() as u64;
        let is_head = request.method == "HEAD";
        state.slots.push_back(Slot::Waiting { is_head });
        state.running_handlers += 1;
        state.has_last_request = !keep_alive;
        Some(EarlyReply {
            replies: Arc::clone(self),
            number,
            is_head,
        })
    }

    /// Ends a handler: stores its response unless an early one was sent, and writes what is
    /// pending.
    pub(crate) fn finish(&self, early: &EarlyReply, response: &Response) {
        self.store(early, response);
        self.flush(true);
        self.end_handler(early.number);
    }

    /// Answers all requests that have no response yet, so that the responses behind them are sent.
    /// Returns their number; what their handlers return later is dropped.
    pub(crate) fn answer_waiting(&self, response: &Response) -> usize {
        let answered = {
            let mut state = self.lock();
            state.has_last_request = true;
            let mut answered = 0;
            for slot in &mut state.slots {
                if let Slot::Waiting { is_head } = *slot {
                    *slot = Slot::Ready(EncodedReply::new(response, is_head));
                    answered += 1;
                }
            }
            answered
        };
        if answered > 0 {
            self.flush(false);
        }
        answered
    }

    /// Ends a handler that panicked. The connection ends in place of its reply, after the replies to
    /// the requests before it.
    pub(crate) fn abort(&self, early: &EarlyReply) {
        self.store_reply(
            early.number,
            EncodedReply {
                bytes: Vec::new(),
                head_bytes: 0,
                must_close: true,
            },
        );
        self.flush(true);
        self.end_handler(early.number);
    }

    fn end_handler(&self, number: u64) {
        let mut state = self.lock();
        state.running_handlers -= 1;
        state.idle_since = Instant::now();
        state.close_hooks.retain(|(request, _)| *request != number);
        drop(state);
        self.changed.notify_all();
    }

    /// Blocks until fewer than `limit` handlers run.
    pub(crate) fn wait_until_running_below(&self, limit: usize) {
        let mut state = self.lock();
        while state.running_handlers >= limit {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Called when no further request is read. Unless this process shut down reading itself, the
    /// caller counts as disconnected, and the hooks of the running handlers are run.
    pub(crate) fn notify_caller_closed(&self) {
        let hooks = {
            let mut state = self.lock();
            if state.is_read_shut_down {
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

    /// Number of handlers that have not returned.
    pub(crate) fn running_handlers(&self) -> usize {
        self.lock().running_handlers
    }

    /// Whether a reply closed the connection.
    pub(crate) fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    /// Whether bytes that arrive from now on are no request that could be answered.
    pub(crate) fn takes_no_request(&self) -> bool {
        self.lock().takes_no_request()
    }

    pub(crate) fn set_reading(&self, is_reading: bool) {
        self.lock().is_reading = is_reading;
    }

    /// Shuts down reading unless a request is being read or handled. This wakes the thread that
    /// waits for a request; bytes that have arrived are still read.
    pub(crate) fn stop_reading_if_idle(&self) {
        let mut state = self.lock();
        if state.is_reading || state.running_handlers > 0 {
            return;
        }
        state.is_read_shut_down = true;
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Time since the last handler ended or, before the first one, since the connection was opened;
    /// `None` while a handler runs.
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        let state = self.lock();
        let is_idle = state.running_handlers == 0;
        is_idle.then(|| state.idle_since.elapsed())
    }

    /// Stores a response until its turn comes; false if the request was answered already.
    fn store(&self, early: &EarlyReply, response: &Response) -> bool {
        self.store_reply(early.number, EncodedReply::new(response, early.is_head))
    }

    fn store_reply(&self, number: u64, reply: EncodedReply) -> bool {
        let mut state = self.lock();
        let Some(index) = number.checked_sub(state.first_number) else {
            return false;
        };
        let Some(slot @ Slot::Waiting { .. }) = state.slots.get_mut(index as usize) else {
            return false;
        };
        *slot = Slot::Ready(reply);
        true
    }

    /// Writes the replies whose turn has come; without `may_block`, only as much as the socket
    /// accepts.
    fn flush(&self, may_block: bool) {
        let mut state = self.lock();
        loop {
            state.move_ready_to_output(self.is_draining.load(Ordering::Acquire));
            if state.is_writing {
                return;
            }
            if state.output.is_empty() {
                break;
            }
            if !may_block {
                // A failed write is found again when the rest is written.
                let sent = send_now(&self.stream, &state.output).unwrap_or(0);
                state.output.drain(..sent);
                break;
            }
            let output = std::mem::take(&mut state.output);
            state.is_writing = true;
            drop(state);
            let written = (&mut &*self.stream).write_all(&output);
            state = self.lock();
            state.is_writing = false;
            if written.is_err() {
                state.is_closing = true;
                state.slots.clear();
                let _ = self.stream.shutdown(Shutdown::Both);
                return;
            }
        }
        if state.is_closing && state.output.is_empty() {
            // Closing with unread bytes would reset the connection and could discard the reply, so
            // reading continues until the caller closes.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn takes_no_request(&self) -> bool {
        self.is_closing || self.has_last_request
    }

    /// Moves the replies whose turn has come to the output. Whether a reply is the last one is
    /// decided only now: while it waited for its turn, further requests may have been read.
    fn move_ready_to_output(&mut self, is_draining: bool) {
        while !self.is_closing && matches!(self.slots.front(), Some(Slot::Ready(_))) {
            let Some(Slot::Ready(mut reply)) = self.slots.pop_front() else {
                return;
            };
            self.first_number += 1;
            let is_last = self.slots.is_empty() && !self.is_reading;
            let ends_connection = self.has_last_request || is_draining;
            if reply.must_close || (is_last && ends_connection) {
                insert_close(&mut reply.bytes, reply.head_bytes);
                self.is_closing = true;
                // Requests after a reply that closes the connection count as not read.
                self.slots.clear();
            }
            if self.output.is_empty() {
                self.output = reply.bytes;
            } else {
                self.output.extend_from_slice(&reply.bytes);
            }
        }
    }
}

/// Sends the response to one request from any thread, without blocking it. This saves the wake-up
/// of the handler's thread, which is a large part of the latency of a short call.
#[derive(Clone)]
pub struct EarlyReply {
    replies: Arc<ReplyQueue>,
    number: u64,
    is_head: bool,
}

impl EarlyReply {
    /// Sends the response when its turn has come. The handler's thread writes what the socket does
    /// not accept immediately. False if the request was answered already; the response is then
    /// dropped.
    pub fn send(&self, response: &Response) -> bool {
        let is_accepted = self.replies.store(self, response);
        if is_accepted {
            self.replies.flush(false);
        }
        is_accepted
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
