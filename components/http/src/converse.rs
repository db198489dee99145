//! Requests and responses on one connection.

use crate::{
    BodyDecoder, CallerWatch, EarlyReply, Framing, HeadError, Request, RequestHead, ServerConfig,
    error_response,
    message::encode_response,
    parse_request_head,
    server::Shared,
    watch::{Peeked, peek},
    wire::{Inbox, is_timeout},
};
use errors::ErrorKind;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

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

impl From<HeadError> for End {
    fn from(error: HeadError) -> Self {
        End::Refused(error.into())
    }
}

pub(crate) fn converse(
    shared: &Shared,
    stream: &Arc<TcpStream>,
    peer: SocketAddr,
    busy: &AtomicBool,
) {
    let write_timeout = Duration::from_millis(shared.config.read_timeout_ms.max(1));
    if stream.set_write_timeout(Some(write_timeout)).is_err() {
        return;
    }
    let mut inbox = Inbox::default();
    let mut out = Vec::new();
    loop {
        let (request, keep_alive) = match read_request(shared, stream, peer, &mut inbox, busy) {
            Ok(read) => read,
            Err(End::Closed) => return,
            Err(End::Refused(kind)) => {
                answer_error(stream, &mut out, kind);
                return;
            }
        };
        let is_head = request.method == "HEAD";
        let early = EarlyReply::new(stream, &shared.stopping, &request, keep_alive);
        let response = (shared.handler)(request, &CallerWatch::new(stream, early.clone()));
        let close = match early.finish() {
            Some((rest, close)) => {
                out = rest;
                close
            }
            None => {
                let close = !keep_alive
                    || shared.is_stopping()
                    || response.headers.has_token("connection", "close");
                encode_response(&mut out, &response, is_head, close);
                close
            }
        };
        if (&mut &**stream).write_all(&out).is_err() {
            return;
        }
        if close {
            // Unread bytes at closing would reset the connection and could destroy the response.
            let _ = stream.shutdown(Shutdown::Write);
            drain(stream, peek(stream));
            return;
        }
        busy.store(false, Ordering::Release);
    }
}

/// Reads what the caller sends until it closes, for a limited time.
fn drain(stream: &TcpStream, peeked: Peeked) {
    if peeked == Peeked::Closed || stream.set_read_timeout(Some(LINGER)).is_err() {
        return;
    }
    let until = Instant::now() + LINGER;
    let mut scrap = [0; 4096];
    while Instant::now() < until {
        match (&mut &*stream).read(&mut scrap) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

fn read_request(
    shared: &Shared,
    stream: &TcpStream,
    peer: SocketAddr,
    inbox: &mut Inbox,
    busy: &AtomicBool,
) -> Result<(Request, bool), End> {
    let config = &shared.config;
    let head = read_head(config, stream, inbox, busy)?;
    if head.framing != Framing::Empty && inbox.unread().is_empty() {
        expect_continue(stream, &head)?;
    }
    let mut decoder = BodyDecoder::new(head.framing, config.max_body_bytes);
    let mut until = None;
    loop {
        let used = decoder.push(inbox.unread())?;
        inbox.consume(used);
        if decoder.is_complete() {
            break;
        }
        let until = *until.get_or_insert_with(|| deadline(config));
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
    Ok((request, head.keep_alive))
}

fn deadline(config: &ServerConfig) -> Instant {
    Instant::now() + Duration::from_millis(config.read_timeout_ms)
}

/// The idle timeout holds until the first byte; from there the whole head has one deadline.
fn read_head(
    config: &ServerConfig,
    stream: &TcpStream,
    inbox: &mut Inbox,
    busy: &AtomicBool,
) -> Result<RequestHead, End> {
    let mut until = None;
    loop {
        if !inbox.unread().is_empty() {
            busy.store(true, Ordering::Release);
            let limits = (config.max_head_bytes, config.max_body_bytes);
            if let Some(head) = parse_request_head(inbox.unread(), limits.0, limits.1)? {
                inbox.consume(head.length);
                return Ok(head);
            }
            until.get_or_insert_with(|| deadline(config));
        }
        let read = match until {
            None => inbox.fill(stream, Duration::from_millis(config.idle_timeout_ms.max(1))),
            Some(until) => inbox.fill_until(stream, until),
        };
        match read {
            Ok(0) => return Err(End::Closed),
            Ok(_) => {}
            Err(error) => {
                if until.is_some() && is_timeout(&error) {
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
