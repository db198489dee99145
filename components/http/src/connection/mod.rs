//! Reads the requests of one server connection and starts their handlers, without blocking.

mod deadlines;
mod ends;
mod handlers;

pub(crate) use self::{deadlines::read_deadline, ends::ReadEnd, handlers::WholeRequest};
use crate::{
    parse_request_head,
    read_buffer::ReadBuffer,
    reply_memory::QueueRegistration,
    reply_queue::ReplyQueue,
    request_body::{BodyProgress, PartialRequest},
    server::{ConnectionPlace, Shared},
};
use errors::ErrorKind;
use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Instant,
};

/// Memory that a connection without a request keeps for reading.
const KEPT_BUFFER_BYTES: usize = 2 * 1024;
/// Most reads in one turn, so that one fast caller does not delay the others.
const MAX_READS: usize = 16;

/// What the loop does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Wait for an event, a notification or this time.
    Wait(Option<Instant>),
    /// Give the other connections their turn, then advance this one again.
    Again,
    /// Close the connection.
    End,
}

/// What a connection waits for.
enum Stage {
    /// The head of the next request, until the deadline once a part of it has arrived.
    Head(Option<Instant>),
    Body(Box<PartialRequest>),
    /// Until the handler of this request may run.
    Handler(Box<WholeRequest>),
    /// Handlers and replies, after which the connection ends.
    Replies(ReadEnd),
    /// The caller, which has to read the last bytes and close its side.
    Close(Instant),
}

/// What one step of a connection has led to.
enum Step {
    Continue,
    /// More bytes are needed, until this deadline.
    Read(Option<Instant>),
    /// No bytes are read until an event, a notification or this time.
    Wait(Option<Instant>),
    End,
}

/// A connection that the loop serves.
pub(crate) struct ServedConnection {
    id: u64,
    stream: Arc<TcpStream>,
    peer: SocketAddr,
    replies: Arc<ReplyQueue>,
    buffer: ReadBuffer,
    stage: Stage,
    /// Bytes may have arrived that are not read.
    is_readable: bool,
    /// The end of the stream may have arrived. No event follows, so a read that returns few bytes
    /// is not the last one.
    may_be_closed: bool,
    /// The end of the stream has been read.
    has_ended: bool,
    /// When the reply that closes the connection was seen.
    closing_since: Option<Instant>,
    _registration: Option<QueueRegistration>,
    _place: ConnectionPlace,
}

impl ServedConnection {
    pub(crate) fn new(
        shared: &Shared,
        stream: &Arc<TcpStream>,
        peer: SocketAddr,
        replies: Arc<ReplyQueue>,
        place: ConnectionPlace,
    ) -> Self {
        let memory = &shared.config.memory.replies;
        let registration = memory.register(peer.ip(), &replies);
        ServedConnection {
            _registration: Some(registration),
            ..ServedConnection::unregistered(stream, peer, replies, place)
        }
    }

    /// A connection that is answered with an error and closed.
    pub(crate) fn refused(
        stream: &Arc<TcpStream>,
        peer: SocketAddr,
        replies: Arc<ReplyQueue>,
        place: ConnectionPlace,
        kind: ErrorKind,
    ) -> Self {
        let mut connection = ServedConnection::unregistered(stream, peer, replies, place);
        connection.send_refusal(kind);
        connection
    }

    /// A connection that the reply memory does not know.
    fn unregistered(
        stream: &Arc<TcpStream>,
        peer: SocketAddr,
        replies: Arc<ReplyQueue>,
        place: ConnectionPlace,
    ) -> Self {
        ServedConnection {
            id: place.id(),
            stream: Arc::clone(stream),
            peer,
            replies,
            buffer: ReadBuffer::default(),
            stage: Stage::Head(None),
            is_readable: true,
            may_be_closed: false,
            has_ended: false,
            closing_since: None,
            _registration: None,
            _place: place,
        }
    }

    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Notes that bytes may have arrived, or that the stream may have ended.
    pub(crate) fn set_readable(&mut self, may_be_closed: bool) {
        self.is_readable = true;
        self.may_be_closed |= may_be_closed;
    }

    /// Does what is possible without waiting. `scratch` is memory to read into.
    pub(crate) fn advance(&mut self, shared: &Arc<Shared>, scratch: &mut [u8]) -> Next {
        self.replies.flush_in_loop();
        let mut reads = 0;
        loop {
            let mut has_more = false;
            let (deadline, check_at) = match self.step(shared) {
                Step::Continue => continue,
                Step::End => return Next::End,
                Step::Wait(check_at) => (None, check_at),
                Step::Read(deadline) if !self.is_readable || self.has_ended => (deadline, None),
                Step::Read(deadline) if reads == MAX_READS => {
                    has_more = true;
                    (deadline, None)
                }
                Step::Read(_) => {
                    reads += 1;
                    match self.read(scratch) {
                        Ok(count) if count > 0 => {}
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Ok(_) | Err(_) => self.handle_stream_end(shared),
                    }
                    continue;
                }
            };
            if let Some(next) = self.check_deadlines(shared, deadline, check_at, has_more) {
                return next;
            }
        }
    }

    /// Reads once into the buffer.
    fn read(&mut self, scratch: &mut [u8]) -> io::Result<usize> {
        let result = loop {
            match (&mut &*self.stream).read(scratch) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match &result {
            Ok(count) => {
                // Few bytes mean that no more have arrived, and an event follows once more do.
                self.is_readable = *count == scratch.len() || self.may_be_closed;
                self.buffer.append(&scratch[..*count]);
            }
            Err(_) => self.is_readable = false,
        }
        result
    }

    /// Handles what has arrived as far as the stage allows.
    fn step(&mut self, shared: &Arc<Shared>) -> Step {
        match &mut self.stage {
            Stage::Head(_) => self.read_head(shared),
            Stage::Body(partial) => match partial.advance(&mut self.buffer, &self.replies) {
                Ok(BodyProgress::Whole) => {
                    self.finish_request();
                    Step::Continue
                }
                Ok(BodyProgress::NeedsBytes(deadline)) => Step::Read(Some(deadline)),
                Ok(BodyProgress::NeedsMemory(check_at)) => Step::Wait(Some(check_at)),
                Err(end) => self.end_reading(shared, end),
            },
            Stage::Handler(_) => self.wait_for_handler_slot(shared),
            Stage::Replies(end) => {
                let end = *end;
                self.wait_for_replies(end)
            }
            Stage::Close(until) => {
                self.buffer.clear();
                if self.has_ended && !self.replies.must_wait_for_end() {
                    return Step::End;
                }
                Step::Read(Some(*until))
            }
        }
    }

    /// Reads a request head. The idle timeout applies until its first byte arrives; from then on the
    /// whole head has one deadline.
    fn read_head(&mut self, shared: &Arc<Shared>) -> Step {
        if self.replies.takes_no_request() {
            self.buffer.clear();
            self.stage = Stage::Head(None);
        }
        if self.buffer.unread().is_empty() {
            self.buffer.shrink_if_empty(KEPT_BUFFER_BYTES);
            return Step::Read(Some(self.idle_deadline(shared)));
        }
        self.replies.set_reading(true);
        let limits = shared.limits();
        let (max_head, max_body) = (limits.max_head_bytes, limits.max_body_bytes);
        match parse_request_head(self.buffer.unread(), max_head, max_body) {
            Err(error) => self.end_reading(shared, error.into()),
            Ok(Some(head)) => {
                self.buffer.consume(head.head_bytes);
                self.replies.set_reading_body();
                let partial = PartialRequest::new(shared, &limits, self.peer, head);
                self.stage = Stage::Body(Box::new(partial));
                Step::Continue
            }
            Ok(None) => {
                let Stage::Head(deadline) = &mut self.stage else {
                    return Step::Continue;
                };
                Step::Read(Some(
                    *deadline.get_or_insert_with(|| read_deadline(&limits)),
                ))
            }
        }
    }

    /// Replaces the partial request by the whole one.
    fn finish_request(&mut self) {
        if let Stage::Body(partial) = std::mem::replace(&mut self.stage, Stage::Head(None)) {
            self.stage = Stage::Handler(Box::new(partial.into_whole()));
        }
    }
}
