//! A request whose body is arriving, and the memory that it waits for.

use crate::{
    BodyDecoder, Framing, Request, RequestHead, RequestLimits,
    connection::{ReadEnd, WholeRequest, read_deadline},
    memory_budget::{MemoryBudget, Reservation},
    read_buffer::ReadBuffer,
    reply_queue::ReplyQueue,
    server::Shared,
};
use errors::ErrorKind;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// How often a request that waits for memory tries again.
pub(crate) const MEMORY_CHECK: Duration = Duration::from_millis(20);
/// Longest wait of a request for memory.
const MEMORY_WAIT: Duration = Duration::from_secs(2);
/// Times that a request is held at once: by the call, in the message to its owner, at the owner, and
/// encoded for the instance.
const REQUEST_COPIES: usize = 4;

/// How far the body of a request has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyProgress {
    Whole,
    /// More bytes are needed, until this deadline.
    NeedsBytes(Instant),
    /// There is no memory for the bytes; the next try is at this time.
    NeedsMemory(Instant),
}

/// A request whose head has arrived.
pub(crate) struct PartialRequest {
    head: RequestHead,
    peer: SocketAddr,
    decoder: BodyDecoder,
    limits: RequestLimits,
    memory: Arc<MemoryBudget>,
    reservation: Reservation,
    /// Bytes of the body that memory is reserved for before more is decoded.
    wanted_bytes: usize,
    /// When the wait for memory ends.
    memory_until: Option<Instant>,
    /// Whether the first bytes of the body have been looked for.
    has_started: bool,
    deadline: Option<Instant>,
    /// Whether memory is reserved for a body of which bytes are missing, as far as `ReplyQueue` has
    /// been told.
    is_unfinished: bool,
}

impl PartialRequest {
    pub(crate) fn new(
        shared: &Shared,
        limits: &RequestLimits,
        peer: SocketAddr,
        head: RequestHead,
    ) -> Self {
        let memory = &shared.config.memory.requests;
        PartialRequest {
            peer,
            decoder: BodyDecoder::new(head.framing, limits.max_body_bytes),
            limits: *limits,
            memory: Arc::clone(memory),
            reservation: memory.reservation(peer.ip()),
            wanted_bytes: match head.framing {
                Framing::Length(length) => length,
                _ => 0,
            },
            head,
            memory_until: None,
            has_started: false,
            deadline: None,
            is_unfinished: false,
        }
    }

    /// Decodes what has arrived, as far as there is memory for it.
    pub(crate) fn advance(
        &mut self,
        buffer: &mut ReadBuffer,
        replies: &ReplyQueue,
    ) -> Result<BodyProgress, ReadEnd> {
        loop {
            if let Some(check_at) = self.reserve(replies)? {
                return Ok(BodyProgress::NeedsMemory(check_at));
            }
            if self.decoder.is_complete() {
                return Ok(BodyProgress::Whole);
            }
            if !std::mem::replace(&mut self.has_started, true) && buffer.unread().is_empty() {
                self.send_continue_if_expected(replies);
            }
            let consumed = self.decoder.decode(buffer.unread())?;
            buffer.consume(consumed);
            self.report_unfinished(replies);
            if self.head.framing == Framing::Chunked {
                self.wanted_bytes = self.decoder.memory_bytes();
            }
            if consumed == 0 && !self.decoder.is_complete() {
                let limits = &self.limits;
                let deadline = *self.deadline.get_or_insert_with(|| read_deadline(limits));
                return Ok(BodyProgress::NeedsBytes(deadline));
            }
        }
    }

    /// Reserves memory for the wanted bytes. If there is none, returns when to try again.
    fn reserve(&mut self, replies: &ReplyQueue) -> Result<Option<Instant>, ReadEnd> {
        let bytes = REQUEST_COPIES * (self.head.head_bytes + self.wanted_bytes);
        if self.reservation.grow_to(bytes, replies) {
            self.memory_until = None;
            return Ok(None);
        }
        if replies.is_closing() {
            return Err(ReadEnd::Closed);
        }
        let now = Instant::now();
        let until = *self.memory_until.get_or_insert(now + MEMORY_WAIT);
        if now >= until {
            log_refusal(self.memory.count_refusal(), self.peer, bytes);
            return Err(ReadEnd::Refused(ErrorKind::MemoryFull));
        }
        Ok(Some(until.min(now + MEMORY_CHECK)))
    }

    fn report_unfinished(&mut self, replies: &ReplyQueue) {
        let is_unfinished = self.reservation.bytes() > 0 && !self.decoder.is_complete();
        if std::mem::replace(&mut self.is_unfinished, is_unfinished) != is_unfinished {
            replies.set_body_unfinished(is_unfinished);
        }
    }

    fn send_continue_if_expected(&self, replies: &ReplyQueue) {
        if self.head.headers.has_token("expect", "100-continue") {
            replies.send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n", false);
        }
    }

    /// The request, once its body is whole.
    pub(crate) fn into_whole(self) -> WholeRequest {
        WholeRequest {
            request: Request {
                method: self.head.method,
                target: self.head.target,
                headers: self.head.headers,
                body: self.decoder.into_body(),
                peer: self.peer,
            },
            reservation: self.reservation,
            keep_alive: self.head.keep_alive,
        }
    }
}

/// Logs refusals whose number is a power of two, since a crowd of callers can cause many.
fn log_refusal(refused: u64, peer: SocketAddr, bytes: usize) {
    if refused.is_power_of_two() {
        log::warn!(
            "http: memory-full: a request from {peer} that needs {bytes} bytes was refused; {refused} so far"
        );
    }
}
