//! Reads the requests of one server connection and starts their handlers.

use crate::{
    BodyDecoder, CallerConnection, Framing, ParseError, Request, RequestHead, RequestLimits,
    error_response,
    memory_budget::Reservation,
    message::encode_response,
    parse_request_head,
    read_buffer::{ReadBuffer, is_timeout},
    reply_queue::ReplyQueue,
    server::Shared,
};
use errors::ErrorKind;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
    time::{Duration, Instant},
};

/// How often an idle connection checks whether a reply closed it or its idle timeout has passed.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// How often a connection that reads no request for now checks whether a handler has ended.
const HANDLER_SLOT_CHECK: Duration = Duration::from_millis(10);
/// Most bytes read ahead while as many handlers run as allowed.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// How often a request that waits for memory checks whether its connection was closed.
const MEMORY_CHECK: Duration = Duration::from_millis(50);
/// Longest wait of a request for memory.
const MEMORY_WAIT: Duration = Duration::from_secs(2);
/// Times that a request is held at once: by the call, in the message to its owner, at the owner, and
/// encoded for the instance.
const REQUEST_COPIES: usize = 4;
/// `retry-after` of refused connections and of requests that got no memory, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Handlers of a server from which on each connection runs one at a time. Each takes a thread, and a
/// crowd of callers that pipeline would otherwise start many for each connection.
const MAX_PARALLEL_HANDLERS: usize = 128;
/// Longest wait for a caller to read the last response and close.
const LINGER: Duration = Duration::from_secs(1);

/// Sends an error response and closes the connection. Closing with unread bytes would reset the
/// connection before the caller has read the response, so the rest of the request is read first.
pub(crate) fn send_error_and_close(stream: &TcpStream, out: &mut Vec<u8>, kind: ErrorKind) {
    let mut response = error_response(kind);
    if response.status == 503 {
        response = response.with_header("retry-after", RETRY_AFTER_S);
    }
    encode_response(out, &response, false, true);
    if stream.set_write_timeout(Some(LINGER)).is_err() || (&mut &*stream).write_all(out).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let deadline = Instant::now() + LINGER;
    let mut discarded = [0; 4096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match (&mut &*stream).read(&mut discarded) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Why no further request is read from a connection.
enum ReadEnd {
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

/// Serves one connection until the caller closes it, a request is refused or a reply closes it.
pub(crate) fn serve_connection(
    shared: &Arc<Shared>,
    stream: &Arc<TcpStream>,
    peer: SocketAddr,
    replies: &Arc<ReplyQueue>,
) {
    let write_timeout = Duration::from_millis(shared.limits().head_timeout_ms.max(1));
    if stream.set_write_timeout(Some(write_timeout)).is_err() {
        return;
    }
    let mut buffer = ReadBuffer::default();
    let end = loop {
        match read_request(shared, stream, peer, &mut buffer, replies) {
            Ok((request, keep_alive)) => start_handler(shared, replies, request, keep_alive),
            Err(end) => break end,
        }
    };
    replies.set_reading(false);
    if matches!(end, ReadEnd::Closed) {
        replies.notify_caller_closed();
    } else {
        // A late or refused request doesn't mean that the caller no longer waits for the answers to
        // the requests before it.
        discard_until_answered(stream, &mut buffer, replies);
    }
    replies.wait_until_running_below(1);
    if let ReadEnd::Refused(kind) = end
        && !replies.is_closing()
    {
        send_error_and_close(stream, &mut Vec::new(), kind);
    }
}

/// Discards what arrives while handlers run, so that a caller that closes the connection is noticed.
fn discard_until_answered(stream: &TcpStream, buffer: &mut ReadBuffer, replies: &ReplyQueue) {
    while replies.running_handlers() > 0 {
        buffer.consume(buffer.unread().len());
        match buffer.fill(stream, HANDLER_SLOT_CHECK) {
            Ok(read) if read > 0 => {}
            Err(error) if is_timeout(&error) => {}
            Ok(_) | Err(_) => {
                replies.notify_caller_closed();
                return;
            }
        }
    }
}

/// Starts the handler of a request on a worker thread.
fn start_handler(
    shared: &Arc<Shared>,
    replies: &Arc<ReplyQueue>,
    (request, reservation): (Request, Reservation),
    keep_alive: bool,
) {
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

/// Reads one request and waits until its handler may run; the flag tells whether the connection
/// stays open after it.
fn read_request(
    shared: &Shared,
    stream: &TcpStream,
    peer: SocketAddr,
    buffer: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<((Request, Reservation), bool), ReadEnd> {
    let limits = shared.limits();
    let head = read_head(&limits, stream, buffer, replies)?;
    replies.set_reading_body();
    let memory = &shared.config.memory.requests;
    let mut reservation = memory.reservation(peer.ip());
    let mut reserve = |body_bytes: usize| {
        let bytes = REQUEST_COPIES * (head.head_bytes + body_bytes);
        wait_for_memory(&mut reservation, bytes, replies).inspect_err(|end| {
            if matches!(end, ReadEnd::Refused(_)) {
                log_refusal(memory.count_refusal(), peer, bytes);
            }
        })
    };
    reserve(match head.framing {
        Framing::Length(length) => length,
        _ => 0,
    })?;
    if head.framing != Framing::Empty && buffer.unread().is_empty() {
        send_continue_if_expected(stream, &head)?;
    }
    let mut decoder = BodyDecoder::new(head.framing, limits.max_body_bytes);
    let mut deadline = None;
    loop {
        let consumed = decoder.decode(buffer.unread())?;
        buffer.consume(consumed);
        if head.framing == Framing::Chunked {
            reserve(decoder.memory_bytes())?;
        }
        if decoder.is_complete() {
            break;
        }
        let deadline = *deadline.get_or_insert_with(|| read_deadline(&limits));
        match buffer.fill_until(stream, deadline) {
            Ok(0) => return Err(ReadEnd::Closed),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => return Err(ReadEnd::TimedOut),
            Err(_) => return Err(ReadEnd::Closed),
        }
    }
    let request = Request {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: decoder.into_body(),
        peer,
    };
    // While as many handlers run as `max_pipelined` allows, no further request is parsed. Bytes are
    // still read ahead, so that a closed connection is noticed.
    wait_for_handler_slot(shared, stream, buffer, replies)?;
    Ok(((request, reservation), head.keep_alive))
}

/// Reserves memory for a request, up to `bytes` in total.
fn wait_for_memory(
    reservation: &mut Reservation,
    bytes: usize,
    replies: &ReplyQueue,
) -> Result<(), ReadEnd> {
    let until = Instant::now() + MEMORY_WAIT;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if reservation.grow_to(bytes, left.min(MEMORY_CHECK)) {
            return Ok(());
        }
        if replies.is_closing() {
            return Err(ReadEnd::Closed);
        }
        if left.is_zero() {
            return Err(ReadEnd::Refused(ErrorKind::MemoryFull));
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

/// Handlers of one connection that may run now.
fn handler_limit(shared: &Shared) -> usize {
    if shared.workers.busy() < MAX_PARALLEL_HANDLERS {
        shared.config.max_pipelined
    } else {
        1
    }
}

/// Waits until fewer handlers run than `max_pipelined` and the caller has read earlier replies.
fn wait_for_handler_slot(
    shared: &Shared,
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<(), ReadEnd> {
    while let limit = handler_limit(shared)
        && replies.must_wait(limit)
    {
        if buffer.unread().len() >= MAX_READ_AHEAD_BYTES {
            replies.wait_while_full(limit, IDLE_CHECK);
            continue;
        }
        match buffer.fill(stream, HANDLER_SLOT_CHECK) {
            Ok(0) => return Err(ReadEnd::Closed),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => return Err(ReadEnd::Closed),
        }
    }
    Ok(())
}

/// Deadline of a head or body whose first byte has arrived now.
fn read_deadline(limits: &RequestLimits) -> Instant {
    Instant::now() + Duration::from_millis(limits.head_timeout_ms)
}

/// Reads a request head. The idle timeout applies until its first byte arrives; from then on the
/// whole head has one deadline.
fn read_head(
    limits: &RequestLimits,
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<RequestHead, ReadEnd> {
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(1));
    let mut deadline = None;
    loop {
        if !buffer.unread().is_empty() && !replies.takes_no_request() {
            replies.set_reading(true);
            let (max_head, max_body) = (limits.max_head_bytes, limits.max_body_bytes);
            if let Some(head) = parse_request_head(buffer.unread(), max_head, max_body)? {
                buffer.consume(head.head_bytes);
                return Ok(head);
            }
            deadline.get_or_insert_with(|| read_deadline(limits));
        }
        let read = match deadline {
            None => buffer.fill(stream, idle.min(IDLE_CHECK)),
            Some(deadline) => buffer.fill_until(stream, deadline),
        };
        match read {
            Ok(0) => return Err(ReadEnd::Closed),
            Ok(_) if replies.takes_no_request() => buffer.consume(buffer.unread().len()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) && deadline.is_none() => {
                // After a reply that closes the connection, the caller gets some time to close its
                // side.
                let is_idle_too_long = replies.idle_time().is_some_and(|since| since >= idle);
                if is_idle_too_long || replies.is_closing() {
                    return Err(ReadEnd::Closed);
                }
            }
            Err(error) if is_timeout(&error) => {
                log::debug!("http: a request head did not arrive before its deadline");
                return Err(ReadEnd::TimedOut);
            }
            Err(_) => return Err(ReadEnd::Closed),
        }
    }
}

fn send_continue_if_expected(stream: &TcpStream, head: &RequestHead) -> Result<(), ReadEnd> {
    if !head.headers.has_token("expect", "100-continue") {
        return Ok(());
    }
    (&mut &*stream)
        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        .map_err(|_| ReadEnd::Closed)
}
