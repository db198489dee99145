//! The replies of one connection and the phase that it is in.

use crate::{
    Response,
    message::{encode_response, insert_close},
    reply_memory::ReplyMemory,
};
use std::{collections::VecDeque, time::Instant};

/// Unread bytes of a connection's replies above which no further request of it is run.
const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// Replies that are ready are written together up to this size in bytes.
const MAX_JOINED_BYTES: usize = 64 * 1024;
/// Written bytes from which on the memory of a partly written output is returned. Each return moves
/// the rest.
const MIN_RETURNED_BYTES: usize = 64 * 1024;

pub(crate) type CloseHook = Box<dyn FnOnce() + Send>;

/// The reply to one request.
pub(crate) enum Slot {
    /// The handler has not answered yet.
    Waiting {
        /// Whether the request's method is `HEAD`, whose replies have no body.
        is_head: bool,
    },
    /// Encoded and waiting for its turn.
    Ready(EncodedReply),
}

/// What a connection that could be closed is doing, in the order in which such connections are
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The reply that closes the connection is written, and the caller has not closed its side.
    Lingering,
    /// No request is read or handled, and all replies are written.
    Idle,
    ReadingHead,
    ReadingBody,
    /// All requests are answered, but the caller does not read.
    Unread,
}

/// A reply as it is written to the connection.
pub(crate) struct EncodedReply {
    pub(crate) bytes: Vec<u8>,
    /// Length of the head in bytes, with the empty line that ends it.
    pub(crate) head_bytes: usize,
    /// Whether the connection ends after this reply, whatever was read behind its request.
    pub(crate) must_close: bool,
}

impl EncodedReply {
    pub(crate) fn new(response: &Response, is_head: bool) -> Self {
        let mut bytes = Vec::new();
        let head_bytes = encode_response(&mut bytes, response, is_head, false);
        EncodedReply {
            bytes,
            head_bytes,
            must_close: response.headers.has_token("connection", "close"),
        }
    }
}

pub(crate) struct State {
    /// Number of the request that the first slot belongs to.
    pub(crate) first_number: u64,
    pub(crate) slots: VecDeque<Slot>,
    /// Bytes of replies whose turn has come and that are not written to the socket yet.
    pub(crate) output: Vec<u8>,
    /// Length of the start of `output` that is written already and whose memory is still held.
    written_bytes: usize,
    /// When bytes of `output` were last written, or when its first bytes were added.
    pub(crate) written_at: Instant,
    /// Bytes of all replies whose memory is held, counted in the reply memory.
    pub(crate) unread_bytes: usize,
    /// When bytes were last written, or when the first reply was ready.
    pub(crate) unread_since: Instant,
    /// The connection loop waits for a change of this state.
    pub(crate) is_awaited: bool,
    /// A reply closed the connection; no further reply is sent.
    pub(crate) is_closing: bool,
    /// Both directions were shut down, so that the loop ends the connection.
    pub(crate) is_shut_down: bool,
    /// The caller has announced that the request just read is its last one.
    pub(crate) has_last_request: bool,
    pub(crate) is_caller_closed: bool,
    /// This process shut down reading, so the end of the stream does not mean that the caller
    /// closed.
    pub(crate) is_read_shut_down: bool,
    /// A request is being read.
    pub(crate) is_reading: bool,
    /// When the first byte of the request that is being read arrived.
    pub(crate) reading_since: Instant,
    /// The head of that request has arrived.
    pub(crate) is_reading_body: bool,
    /// Memory is reserved for its body, of which bytes are missing.
    pub(crate) is_body_unfinished: bool,
    /// Number of handlers that have not returned.
    pub(crate) running_handlers: usize,
    /// Hooks to run when the caller closes the connection, with the number of their request.
    pub(crate) close_hooks: Vec<(u64, CloseHook)>,
    pub(crate) idle_since: Instant,
}

impl State {
    pub(crate) fn new() -> Self {
        State {
            first_number: 0,
            slots: VecDeque::new(),
            output: Vec::new(),
            written_bytes: 0,
            written_at: Instant::now(),
            unread_bytes: 0,
            unread_since: Instant::now(),
            is_awaited: false,
            is_closing: false,
            is_shut_down: false,
            has_last_request: false,
            is_caller_closed: false,
            is_read_shut_down: false,
            is_reading: false,
            reading_since: Instant::now(),
            is_reading_body: false,
            is_body_unfinished: false,
            running_handlers: 0,
            close_hooks: Vec::new(),
            idle_since: Instant::now(),
        }
    }

    /// Phase of the connection and its start; `None` while a handler works on a request.
    pub(crate) fn phase(&self) -> Option<(Phase, Instant)> {
        let is_handled = self
            .slots
            .iter()
            .any(|slot| matches!(slot, Slot::Waiting { .. }));
        if is_handled || self.is_shut_down {
            return None;
        }
        if self.is_closing {
            let is_done =
                self.slots.is_empty() && self.output.is_empty() && self.running_handlers == 0;
            return is_done.then_some((Phase::Lingering, self.idle_since));
        }
        if self.unread_bytes > 0 {
            return Some((Phase::Unread, self.unread_since));
        }
        Some(match (self.is_reading, self.is_reading_body) {
            (false, _) => (Phase::Idle, self.idle_since),
            (true, false) => (Phase::ReadingHead, self.reading_since),
            (true, true) => (Phase::ReadingBody, self.reading_since),
        })
    }

    /// When the head of a request arrived that holds memory and whose body is not whole; `None` if
    /// there is no such request, or if the connection must not be closed.
    pub(crate) fn unfinished_body_since(&self) -> Option<Instant> {
        let (phase, since) = self.phase()?;
        (phase == Phase::ReadingBody && self.is_body_unfinished).then_some(since)
    }

    /// Output that is not written counts like a running handler, so that a caller that does not read
    /// a reply has fewer requests run.
    pub(crate) fn must_wait(&self, limit: usize) -> bool {
        let is_unread = self.unread_bytes > MAX_UNREAD_BYTES;
        let running = self.running_handlers + usize::from(!self.output.is_empty());
        !self.is_closing && (running >= limit || is_unread)
    }

    /// Output that is not written to the socket yet.
    pub(crate) fn unwritten(&self) -> &[u8] {
        &self.output[self.written_bytes..]
    }

    pub(crate) fn append_output(&mut self, bytes: Vec<u8>) {
        if self.output.is_empty() {
            self.written_at = Instant::now();
            self.output = bytes;
        } else {
            self.output.extend_from_slice(&bytes);
        }
    }

    /// Counts bytes of the output as written, and returns its memory once all or most is written.
    pub(crate) fn count_written(&mut self, bytes: usize, memory: &ReplyMemory) {
        self.written_bytes += bytes;
        self.written_at = Instant::now();
        self.unread_since = self.written_at;
        let written_bytes = self.written_bytes;
        if written_bytes == self.output.len() {
            self.drop_output();
            self.idle_since = self.written_at;
        } else if written_bytes >= MIN_RETURNED_BYTES && written_bytes >= self.output.len() / 2 {
            self.output.drain(..written_bytes);
            self.output.shrink_to_fit();
            self.written_bytes = 0;
        } else {
            return;
        }
        self.release_unread(written_bytes, memory);
    }

    /// Drops the output; an idle connection must not keep the memory of its last response.
    pub(crate) fn drop_output(&mut self) {
        self.output = Vec::new();
        self.written_bytes = 0;
    }

    pub(crate) fn is_waiting(&self, number: u64) -> bool {
        let index = number.checked_sub(self.first_number);
        let slot = index.and_then(|index| self.slots.get(index as usize));
        matches!(slot, Some(Slot::Waiting { .. }))
    }

    pub(crate) fn set_ready(&mut self, index: usize, reply: EncodedReply, memory: &ReplyMemory) {
        self.add_unread(reply.bytes.len(), memory);
        self.slots[index] = Slot::Ready(reply);
    }

    pub(crate) fn add_unread(&mut self, bytes: usize, memory: &ReplyMemory) {
        if self.unread_bytes == 0 {
            self.unread_since = Instant::now();
        }
        self.unread_bytes += bytes;
        memory.add(bytes);
    }

    /// Counts bytes as read. Those of a connection that was closed are released already.
    pub(crate) fn release_unread(&mut self, bytes: usize, memory: &ReplyMemory) {
        let bytes = bytes.min(self.unread_bytes);
        if bytes > 0 {
            self.unread_bytes -= bytes;
            self.unread_since = Instant::now();
            memory.release(bytes);
        }
    }

    pub(crate) fn ready_bytes(&self) -> usize {
        let bytes = self.slots.iter().map(|slot| match slot {
            Slot::Ready(reply) => reply.bytes.len(),
            Slot::Waiting { .. } => 0,
        });
        bytes.sum()
    }

    /// Whether the reply is written together with the output; a long one waits, because joining
    /// copies it.
    pub(crate) fn can_join(&self, reply: &EncodedReply) -> bool {
        self.output.is_empty() || self.output.len() + reply.bytes.len() <= MAX_JOINED_BYTES
    }

    pub(crate) fn takes_no_request(&self) -> bool {
        self.is_closing || self.has_last_request
    }

    /// Moves the replies whose turn has come to the output. Whether a reply is the last one is
    /// decided only now: while it waited for its turn, further requests may have been read.
    pub(crate) fn move_ready_to_output(&mut self, is_draining: bool, memory: &ReplyMemory) {
        while !self.is_closing
            && matches!(self.slots.front(), Some(Slot::Ready(reply)) if self.can_join(reply))
        {
            let Some(Slot::Ready(mut reply)) = self.slots.pop_front() else {
                return;
            };
            self.first_number += 1;
            let is_last = self.slots.is_empty() && !self.is_reading;
            let ends_connection = self.has_last_request || is_draining;
            if reply.must_close || (is_last && ends_connection) {
                let encoded_bytes = reply.bytes.len();
                insert_close(&mut reply.bytes, reply.head_bytes);
                self.add_unread(reply.bytes.len() - encoded_bytes, memory);
                self.is_closing = true;
                // Requests after a reply that closes the connection count as not read.
                let ready_bytes = self.ready_bytes();
                self.slots.clear();
                self.release_unread(ready_bytes, memory);
            }
            self.append_output(reply.bytes);
        }
    }
}
