//! Requests and responses on one connection.

use crate::{
    BodyDecoder, CallerConnection, Framing, ParseError, Request, RequestHead, RequestLimits,
    error_response,
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

/// How often a quiet connection looks whether a reply has closed it or it was idle too long.
const CLOSE_CHECK: Duration = Duration::from_secs(5);
/// How often a connection with as many requests in progress as allowed looks for a place.
const PLACE_CHECK: Duration = Duration::from_millis(10);
/// Most bytes read ahead while requests in progress fill all places.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Longest wait for a caller to read the last answer and close.
const LINGER: Duration = Duration::from_secs(1);

/// Answers and closes. Closing with unread bytes would reset the connection before the caller has
/// read the answer, so the rest of the request is read first.
pub(crate) fn answer_error(stream: &TcpStream, out: &mut Vec<u8>, kind: ErrorKind) {
    encode_response(out, &error_response(kind), false, true);
    if stream.set_write_timeout(Some(LINGER)).is_err() || (&mut &*stream).write_all(out).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let until = Instant::now() + LINGER;
    let mut scrap = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match (&mut &*stream).read(&mut scrap) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Why a connection ends without another request.
enum End {
    Closed,
    Refused(ErrorKind),
}

impl From<ParseError> for End {
    fn from(error: ParseError) -> Self {
        End::Refused(error.into())
    }
}

pub(crate) fn converse(
    shared: &Arc<Shared>,
    stream: &Arc<TcpStream>,
    peer: SocketAddr,
    replies: &Arc<ReplyQueue>,
) {
    let write_timeout = Duration::from_millis(shared.limits().head_timeout_ms.max(1));
    if stream.set_write_timeout(Some(write_timeout)).is_err() {
        return;
    }
    let mut inbox = ReadBuffer::default();
    let end = loop {
        let read = read_request(shared, stream, peer, &mut inbox, replies);
        replies.set_reading(false);
        match read {
            Ok((request, keep_alive)) => handle(shared, replies, request, keep_alive),
            Err(end) => break end,
        }
    };
    replies.notify_caller_closed();
    replies.wait_below(1);
    if let End::Refused(kind) = end
        && !replies.is_closing()
    {
        answer_error(stream, &mut Vec::new(), kind);
    }
}

/// Starts the handler of a request once there is a place for it.
fn handle(shared: &Arc<Shared>, replies: &Arc<ReplyQueue>, request: Request, keep_alive: bool) {
    if replies.is_closing() {
        return;
    }
    let early = replies.open(&request, keep_alive);
    let run = {
        let (shared, replies, early) = (Arc::clone(shared), Arc::clone(replies), early.clone());
        move || {
            let caller = CallerConnection::new(early.clone());
            let handled = catch_unwind(AssertUnwindSafe(|| (shared.handler)(request, &caller)));
            match handled {
                Ok(response) => replies.finish(&early, &response),
                Err(_) => replies.abandon(&early),
            }
        }
    };
    if let Err(error) = shared.workers.run(run) {
        log::warn!("http: a handler's thread can't be started: {error}");
        replies.abandon(&early);
    }
}

fn read_request(
    shared: &Shared,
    stream: &TcpStream,
    peer: SocketAddr,
    inbox: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<(Request, bool), End> {
    let limits = shared.limits();
    let head = read_head(&limits, stream, inbox, replies)?;
    if head.framing != Framing::Empty && inbox.unread().is_empty() {
        expect_continue(stream, &head)?;
    }
    let mut decoder = BodyDecoder::new(head.framing, limits.max_body_bytes);
    let mut until = None;
    loop {
        let used = decoder.decode(inbox.unread())?;
        inbox.consume(used);
        if decoder.is_complete() {
            break;
        }
        let until = *until.get_or_insert_with(|| deadline(&limits));
        match inbox.fill_until(stream, until) {
            Ok(0) | Err(_) => return Err(End::Closed),
            Ok(_) => {}
        }
    }
    let request = Request {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: decoder.into_body(),
        peer,
    };
    // Further requests wait unread while as many handlers run as the settings allow. The end of the
    // connection is noticed all the same: it is read ahead.
    await_place(shared, stream, inbox, replies)?;
    Ok((request, head.keep_alive))
}

/// Waits until another handler may run.
fn await_place(
    shared: &Shared,
    stream: &TcpStream,
    inbox: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<(), End> {
    while replies.running() >= shared.config.max_pipelined {
        if inbox.unread().len() >= MAX_READ_AHEAD_BYTES {
            replies.wait_below(shared.config.max_pipelined);
            continue;
        }
        match inbox.fill(stream, PLACE_CHECK) {
            Ok(0) => return Err(End::Closed),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => return Err(End::Closed),
        }
    }
    Ok(())
}

fn deadline(limits: &RequestLimits) -> Instant {
    Instant::now() + Duration::from_millis(limits.head_timeout_ms)
}

/// The idle timeout holds until the first byte; from there the whole head has one deadline.
fn read_head(
    limits: &RequestLimits,
    stream: &TcpStream,
    inbox: &mut ReadBuffer,
    replies: &ReplyQueue,
) -> Result<RequestHead, End> {
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(1));
    let mut until = None;
    loop {
        if !inbox.unread().is_empty() && !replies.is_closing() {
            replies.set_reading(true);
            let (max_head, max_body) = (limits.max_head_bytes, limits.max_body_bytes);
            if let Some(head) = parse_request_head(inbox.unread(), max_head, max_body)? {
                inbox.consume(head.head_bytes);
                return Ok(head);
            }
            until.get_or_insert_with(|| deadline(limits));
        }
        let read = match until {
            None => inbox.fill(stream, idle.min(CLOSE_CHECK)),
            Some(until) => inbox.fill_until(stream, until),
        };
        match read {
            Ok(0) => return Err(End::Closed),
            Ok(_) if replies.is_closing() => inbox.consume(inbox.unread().len()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) && until.is_none() => {
                // A reply that closes the connection leaves the rest to the caller, for a while.
                let is_over = replies.idle_for().is_some_and(|since| since >= idle);
                if is_over || replies.is_closing() {
                    return Err(End::Closed);
                }
            }
            Err(error) => {
                if is_timeout(&error) {
                    log::debug!("http: a request head was not complete in time");
                }
                return Err(End::Closed);
            }
        }
    }
}

fn expect_continue(stream: &TcpStream, head: &RequestHead) -> Result<(), End> {
    if !head.headers.has_token("expect", "100-continue") {
        return Ok(());
    }
    (&mut &*stream)
        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        .map_err(|_| End::Closed)
}
