//! Reads the requests of one server connection and starts their handlers, without blocking.

use crate::{
    CallerConnection, ParseError, Request, RequestLimits, error_response,
    memory_budget::Reservation,
    message::encode_response,
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
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest time in which a caller may read the reply that closes its connection, and close its side.
const CLOSE_LINGER: Duration = Duration::from_secs(5);
/// Like `CLOSE_LINGER`, for the refusal of a request or a connection.
const REFUSAL_LINGER: Duration = Duration::from_secs(1);
/// Most bytes read ahead while as many handlers run as allowed.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Memory that a connection without a request keeps for reading.
const KEPT_BUFFER_BYTES: usize = 2 * 1024;
/// Most reads in one turn, so that one fast caller does not delay the others.
const MAX_READS: usize = 16;
/// `retry-after` of refused connections and of requests that got no memory, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Handlers of a server from which on each connection runs one at a time. Each takes a thread, and a
/// crowd of callers that pipeline would otherwise start many for each connection.
const MAX_PARALLEL_HANDLERS: usize = 128;

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

/// Why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// The caller closed the connection, it failed, or it was idle for too long.
    Closed,
    /// A head or body did not arrive before its deadline.
    TimedOut,
    Refused(ErrorKind),
}

impl From<ParseError> for ReadEnd {
    fn from(error: ParseError) -> Self {
        ReadEnd::Refused(error.into())
    }
}

/// A request that has arrived and the memory that it holds.
pub(crate) struct WholeRequest {
    pub(crate) request: Request,
    pub(crate) reservation: Reservation,
    /// Whether the connection stays open after it.
    pub(crate) keep_alive: bool,
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
            let now = Instant::now();
            if deadline.is_some_and(|deadline| deadline <= now) {
                if let Some(next) = self.handle_timeout(shared) {
                    return next;
                }
                continue;
            }
            let write_deadline = self.write_deadline(shared);
            if write_deadline.is_some_and(|deadline| deadline <= now) {
                self.replies.close_now();
                self.handle_stream_end(shared);
                continue;
            }
            if has_more {
                return Next::Again;
            }
            return Next::Wait(
                deadline
                    .into_iter()
                    .chain(check_at)
                    .chain(write_deadline)
                    .min(),
            );
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

    /// When a connection without a request is closed or checked again.
    fn idle_deadline(&mut self, shared: &Shared) -> Instant {
        let status = self.replies.status();
        let idle = Duration::from_millis(shared.limits().idle_timeout_ms.max(1));
        if status.is_busy {
            // Not idle; the end of the last handler is not reported.
            return Instant::now() + idle;
        }
        if status.is_closing {
            // After a reply that closes the connection, the caller gets some time to close its side.
            let since = self.closing_since.get_or_insert_with(Instant::now);
            return *since + CLOSE_LINGER.min(idle);
        }
        status.idle_since + idle
    }

    /// Replaces the partial request by the whole one.
    fn finish_request(&mut self) {
        if let Stage::Body(partial) = std::mem::replace(&mut self.stage, Stage::Head(None)) {
            self.stage = Stage::Handler(Box::new(partial.into_whole()));
        }
    }

    /// Starts the handler once fewer run than `max_pipelined` allows and the caller has read earlier
    /// replies. Bytes are read ahead meanwhile, so that a closed connection is noticed.
    fn wait_for_handler_slot(&mut self, shared: &Arc<Shared>) -> Step {
        if self.replies.must_wait(handler_limit(shared)) {
            if self.buffer.unread().len() >= MAX_READ_AHEAD_BYTES {
                return Step::Wait(None);
            }
            return Step::Read(None);
        }
        if let Stage::Handler(whole) = std::mem::replace(&mut self.stage, Stage::Head(None)) {
            start_handler(shared, &self.replies, *whole);
        }
        Step::Continue
    }

    /// Ends reading. The connection ends when the requests before are answered.
    fn end_reading(&mut self, shared: &Arc<Shared>, end: ReadEnd) -> Step {
        self.replies.set_reading(false);
        self.stage = Stage::Replies(end);
        self.buffer.clear();
        // A late or refused request doesn't mean that the caller no longer waits for the answers to
        // the requests before it.
        if end == ReadEnd::Closed {
            self.report_close(shared);
        }
        Step::Continue
    }

    /// Runs the hooks of the running handlers. They may block, so the loop doesn't run them.
    fn report_close(&self, shared: &Arc<Shared>) {
        let hooks = self.replies.set_caller_closed();
        if hooks.is_empty() {
            return;
        }
        let run = move || hooks.into_iter().for_each(|hook| hook());
        if let Err(error) = shared.workers.run(run) {
            log::warn!("http: a closed connection can't be reported to its handlers: {error}");
        }
    }

    /// Discards what arrives while handlers run, so that a caller that closes the connection is
    /// noticed.
    fn wait_for_replies(&mut self, end: ReadEnd) -> Step {
        self.buffer.clear();
        if self.replies.must_wait_for_end() {
            return Step::Read(None);
        }
        match end {
            ReadEnd::Refused(kind) if !self.replies.is_closing() => {
                self.send_refusal(kind);
                Step::Continue
            }
            _ => Step::End,
        }
    }

    /// Sends an error response behind which the connection ends. Closing with unread bytes would
    /// reset the connection before the caller has read the response, so the rest of the request is
    /// read first.
    fn send_refusal(&mut self, kind: ErrorKind) {
        let mut response = error_response(kind);
        if response.status == 503 {
            response = response.with_header("retry-after", RETRY_AFTER_S);
        }
        let mut bytes = Vec::new();
        encode_response(&mut bytes, &response, false, true);
        self.replies.send_bytes(&bytes, true);
        self.stage = Stage::Close(Instant::now() + REFUSAL_LINGER);
    }

    /// Called when the caller has closed the connection or it has failed.
    fn handle_stream_end(&mut self, shared: &Arc<Shared>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        match self.stage {
            Stage::Head(_) | Stage::Body(_) | Stage::Handler(_) => {
                self.end_reading(shared, ReadEnd::Closed);
            }
            Stage::Replies(_) => self.report_close(shared),
            Stage::Close(_) => {}
        }
    }

    /// Called when what the stage waits for has not come in time; `None` if the stage has changed.
    fn handle_timeout(&mut self, shared: &Arc<Shared>) -> Option<Next> {
        let end = match self.stage {
            Stage::Head(None) if self.replies.status().is_busy => {
                return Some(Next::Wait(Some(self.idle_deadline(shared))));
            }
            Stage::Head(None) => ReadEnd::Closed,
            Stage::Head(Some(_)) => {
                log::debug!("http: a request head did not arrive before its deadline");
                ReadEnd::TimedOut
            }
            Stage::Body(_) => ReadEnd::TimedOut,
            Stage::Handler(_) | Stage::Replies(_) | Stage::Close(_) => return Some(Next::End),
        };
        self.end_reading(shared, end);
        None
    }

    /// When the connection is closed because the caller does not read its replies.
    fn write_deadline(&self, shared: &Shared) -> Option<Instant> {
        let since = self.replies.status().unwritten_since?;
        Some(since + Duration::from_millis(shared.limits().head_timeout_ms.max(1)))
    }
}

/// Starts the handler of a request on a worker thread.
fn start_handler(shared: &Arc<Shared>, replies: &Arc<ReplyQueue>, whole: WholeRequest) {
    let WholeRequest {
        request,
        reservation,
        keep_alive,
    } = whole;
    let Some(early) = replies.push_request(&request, keep_alive) else {
        return;
    };
    let run = {
        let (shared, replies, early) = (Arc::clone(shared), Arc::clone(replies), early.clone());
        move || {
            let caller = CallerConnection::new(early.clone());
            let handled = catch_unwind(AssertUnwindSafe(|| (shared.handler)(request, &caller)));
            // The caller may take long to read the reply.
            drop(reservation);
            match handled {
                Ok(response) => replies.finish(&early, response),
                Err(_) => replies.abort(&early),
            }
        }
    };
    if let Err(error) = shared.workers.run(run) {
        log::warn!("http: the thread of a handler can't be started: {error}");
        replies.finish(&early, error_response(ErrorKind::Overloaded));
    }
}

/// Handlers of one connection that may run now.
fn handler_limit(shared: &Shared) -> usize {
    if shared.workers.busy() < MAX_PARALLEL_HANDLERS {
        shared.config.max_pipelined
    } else {
        1
    }
}

/// Deadline of a head or body whose first byte has arrived now.
pub(crate) fn read_deadline(limits: &RequestLimits) -> Instant {
    Instant::now() + Duration::from_millis(limits.head_timeout_ms)
}
