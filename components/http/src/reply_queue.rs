//! Queue that writes the replies of one connection in the order of its requests.
//!
//! No write blocks. Handlers write what the socket accepts; the connection loop writes the rest once
//! the caller has read.

use crate::{
    Request, Response,
    connection_loop::LoopHandle,
    reply_memory::{ReplyMemory, Unread},
    reply_state::{CloseHook, EncodedReply, Phase, Slot, State},
    socket::send_now,
};
use std::{
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

/// Orders and writes the replies to requests whose handlers may run concurrently.
pub(crate) struct ReplyQueue {
    stream: Arc<TcpStream>,
    is_draining: Arc<AtomicBool>,
    memory: Arc<ReplyMemory>,
    connection_loop: Arc<LoopHandle>,
    /// Number of the connection, by which the loop knows it.
    id: u64,
    state: Mutex<State>,
}

/// What the connection loop needs to know of the replies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyStatus {
    /// A reply closed the connection.
    pub(crate) is_closing: bool,
    /// Handlers run, or replies are not written.
    pub(crate) is_busy: bool,
    /// When the caller last read some of the output that it has not read; `None` if there is none.
    pub(crate) unwritten_since: Option<Instant>,
    /// When the last handler ended, or the last reply was written.
    pub(crate) idle_since: Instant,
}

impl ReplyQueue {
    pub(crate) fn new(
        stream: &Arc<TcpStream>,
        is_draining: &Arc<AtomicBool>,
        memory: &Arc<ReplyMemory>,
        connection_loop: &Arc<LoopHandle>,
        id: u64,
    ) -> Arc<Self> {
        Arc::new(ReplyQueue {
            stream: Arc::clone(stream),
            is_draining: Arc::clone(is_draining),
            memory: Arc::clone(memory),
            connection_loop: Arc::clone(connection_loop),
            id,
            state: Mutex::new(State::new()),
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
        state.idle_since = Instant::now();
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
    pub(crate) fn finish(&self, early: &EarlyReply, response: Response) {
        self.store(early, &response);
        // The caller may take long to read the encoded reply.
        drop(response);
        self.flush();
        self.end_handler(early.number);
    }

    /// Answers all requests that have no response yet, so that the responses behind them are sent.
    /// Returns their number; what their handlers return later is dropped. A request that is being read
    /// is not run any more.
    pub(crate) fn answer_waiting(&self, response: &Response) -> usize {
        let answered = {
            let mut state = self.lock();
            state.has_last_request = true;
            // The last of these replies closes the connection, although a further request is read.
            state.is_reading = false;
            let mut answered = 0;
            for index in 0..state.slots.len() {
                if let Slot::Waiting { is_head } = state.slots[index] {
                    state.set_ready(index, EncodedReply::new(response, is_head), &self.memory);
                    answered += 1;
                }
            }
            answered
        };
        if answered > 0 {
            self.flush();
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
        self.flush();
        self.end_handler(early.number);
    }

    fn end_handler(&self, number: u64) {
        let mut state = self.lock();
        state.running_handlers -= 1;
        state.idle_since = Instant::now();
        state.close_hooks.retain(|(request, _)| *request != number);
        // The loop was notified of the reply that closes the connection while the handler still ran,
        // and begins the linger only now.
        if state.is_closing && state.running_handlers == 0 {
            state.is_awaited = true;
        }
        self.notify_if_awaited(&mut state);
    }

    /// Whether a further request must wait: `limit` handlers run, or the caller has not read the
    /// replies to earlier ones. If so, the loop is notified of the next change.
    pub(crate) fn must_wait(&self, limit: usize) -> bool {
        let mut state = self.lock();
        state.is_awaited = state.must_wait(limit);
        state.is_awaited
    }

    pub(crate) fn status(&self) -> ReplyStatus {
        let state = self.lock();
        let is_unwritten = !state.output.is_empty();
        ReplyStatus {
            is_closing: state.is_closing,
            is_busy: state.running_handlers > 0 || is_unwritten,
            unwritten_since: is_unwritten.then_some(state.written_at),
            idle_since: state.idle_since,
        }
    }

    /// Whether handlers run or replies are not written. If so, the loop is notified of the next
    /// change.
    pub(crate) fn must_wait_for_end(&self) -> bool {
        let mut state = self.lock();
        state.is_awaited = state.running_handlers > 0 || !state.output.is_empty();
        state.is_awaited
    }

    fn notify_if_awaited(&self, state: &mut State) {
        if std::mem::take(&mut state.is_awaited) {
            self.connection_loop.notify(self.id);
        }
    }

    /// The replies that the caller has not read; `None` if there are none.
    pub(crate) fn unread(&self) -> Option<Unread> {
        let state = self.lock();
        let ready = state
            .slots
            .iter()
            .filter(|slot| matches!(slot, Slot::Ready(_)));
        // The bytes before the ready replies belong to one or more others.
        let ready_bytes = state.ready_bytes();
        (state.unread_bytes > 0).then(|| Unread {
            bytes: state.unread_bytes,
            replies: ready.count() + usize::from(state.unread_bytes > ready_bytes),
            since: state.unread_since,
        })
    }

    /// Closes the connection and drops the replies that the caller has not read.
    pub(crate) fn close_now(&self) {
        let mut state = self.lock();
        self.close(&mut state);
    }

    fn close(&self, state: &mut State) {
        state.is_closing = true;
        state.is_shut_down = true;
        state.slots.clear();
        state.drop_output();
        let unread_bytes = state.unread_bytes;
        state.release_unread(unread_bytes, &self.memory);
        let _ = self.stream.shutdown(Shutdown::Both);
        self.connection_loop.notify(self.id);
    }

    /// Sends bytes that are no reply to a request, after the replies whose turn has come. If
    /// `is_last`, the connection ends behind them.
    pub(crate) fn send_bytes(&self, bytes: &[u8], is_last: bool) {
        let mut state = self.lock();
        if state.is_closing {
            return;
        }
        state.is_closing = is_last;
        state.add_unread(bytes.len(), &self.memory);
        state.append_output(bytes.to_vec());
        drop(state);
        self.flush();
    }

    /// Called when no further request is read. Unless this process shut down reading itself, the
    /// caller counts as disconnected, and the hooks of the running handlers are returned, which must
    /// be run.
    #[must_use]
    pub(crate) fn set_caller_closed(&self) -> Vec<CloseHook> {
        let mut state = self.lock();
        if state.is_read_shut_down {
            return Vec::new();
        }
        state.is_caller_closed = true;
        let hooks = std::mem::take(&mut state.close_hooks);
        hooks.into_iter().map(|(_, hook)| hook).collect()
    }

    pub(crate) fn is_caller_closed(&self) -> bool {
        self.lock().is_caller_closed
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
        let mut state = self.lock();
        if is_reading && !state.is_reading {
            state.reading_since = Instant::now();
            state.is_reading_body = false;
            state.is_body_unfinished = false;
        }
        state.is_reading = is_reading && !state.takes_no_request();
    }

    /// Called when the head of the request that is being read has arrived.
    pub(crate) fn set_reading_body(&self) {
        let mut state = self.lock();
        state.reading_since = Instant::now();
        state.is_reading_body = true;
    }

    /// Notes whether memory is reserved for a body of which bytes are missing.
    pub(crate) fn set_body_unfinished(&self, is_unfinished: bool) {
        self.lock().is_body_unfinished = is_unfinished;
    }

    /// When the head of a request arrived that holds memory and whose body is not whole.
    pub(crate) fn unfinished_body_since(&self) -> Option<Instant> {
        self.lock().unfinished_body_since()
    }

    /// Closes the connection if its request still holds memory for a body that is not whole.
    pub(crate) fn close_unfinished_body(&self) -> bool {
        let mut state = self.lock();
        let is_unfinished = state.unfinished_body_since().is_some();
        if is_unfinished {
            self.close(&mut state);
        }
        is_unfinished
    }

    /// How readily this connection is closed to make room for another one, and since when; `None` if
    /// it must not be closed.
    pub(crate) fn phase(&self) -> Option<(Phase, Instant)> {
        self.lock().phase()
    }

    /// Closes the connection if it is still in the phase in which it was chosen, so that no request
    /// of it is run any more. Requests that it is sending are not run.
    pub(crate) fn close_in_phase(&self, phase: Phase) -> bool {
        let mut state = self.lock();
        let is_same = state.phase().is_some_and(|(now, _)| now == phase);
        if is_same {
            self.close(&mut state);
        }
        is_same
    }

    /// Shuts down reading unless a request is being read or handled, or a reply is not written.
    /// Bytes that have arrived are still read.
    pub(crate) fn stop_reading_if_idle(&self) {
        let mut state = self.lock();
        if state.is_reading || state.running_handlers > 0 || !state.output.is_empty() {
            return;
        }
        state.is_read_shut_down = true;
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Read);
        self.connection_loop.notify(self.id);
    }

    /// Stores a response until its turn comes; false if the request was answered already.
    fn store(&self, early: &EarlyReply, response: &Response) -> bool {
        // An answered request is the usual case here: its early reply is not encoded again.
        if !self.lock().is_waiting(early.number) {
            return false;
        }
        self.store_reply(early.number, EncodedReply::new(response, early.is_head))
    }

    fn store_reply(&self, number: u64, reply: EncodedReply) -> bool {
        let mut state = self.lock();
        if !state.is_waiting(number) {
            return false;
        }
        let index = (number - state.first_number) as usize;
        state.set_ready(index, reply, &self.memory);
        drop(state);
        self.memory.make_room();
        true
    }

    /// Writes as much of the replies whose turn has come as the socket accepts. The loop is notified
    /// if it has to write the rest or to close the connection.
    fn flush(&self) {
        let mut state = self.lock();
        let needs_loop = self.write_output(&mut state);
        if needs_loop || state.is_awaited {
            state.is_awaited = false;
            self.connection_loop.notify(self.id);
        }
    }

    /// Like `flush`, for the loop itself.
    pub(crate) fn flush_in_loop(&self) {
        let mut state = self.lock();
        if !state.output.is_empty() {
            self.write_output(&mut state);
        }
    }

    /// Returns whether output is left or the connection ends.
    fn write_output(&self, state: &mut State) -> bool {
        loop {
            state.move_ready_to_output(self.is_draining.load(Ordering::Acquire), &self.memory);
            if state.output.is_empty() {
                break;
            }
            match send_now(&self.stream, state.unwritten()) {
                Ok(0) => return true,
                Ok(sent) => state.count_written(sent, &self.memory),
                Err(_) => {
                    self.close(state);
                    return true;
                }
            }
        }
        if state.is_closing {
            // Closing with unread bytes would reset the connection and could discard the reply, so
            // reading continues until the caller closes.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        state.is_closing
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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

impl Drop for ReplyQueue {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        self.memory.release(std::mem::take(&mut state.unread_bytes));
    }
}

impl EarlyReply {
    /// Sends the response when its turn has come. The connection loop writes what the socket does
    /// not accept immediately. False if the request was answered already; the response is then
    /// dropped.
    pub fn send(&self, response: &Response) -> bool {
        let is_accepted = self.replies.store(self, response);
        if is_accepted {
            self.replies.flush();
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
