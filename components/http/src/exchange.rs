//! Writing a request to a connection and reading its response.

use crate::{
    BodyDecoder, CallError, Framing, PoolConfig, Response, ResponseHead,
    message::is_interim_status,
    parse_response_head,
    read_buffer::{ReadBuffer, is_timeout},
    response_budget::{BufferedResponse, ResponseBudget},
};
use std::{
    io::{self, Write},
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

/// Read timeout of connections whose deadline another thread enforces.
pub(crate) const READ_TIMEOUT_WITHOUT_DEADLINE: Duration = Duration::from_secs(3_600);
/// Most interim responses (status 100 to 199) before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Why no more bytes of a response arrive.
enum FillError {
    /// The server closed the connection in an orderly way.
    Closed(CallError),
    /// The connection was reset, or the deadline passed.
    Other(CallError),
}

impl From<FillError> for CallError {
    fn from(error: FillError) -> Self {
        match error {
            FillError::Closed(error) | FillError::Other(error) => error,
        }
    }
}

/// A response as it was read from a connection.
pub(crate) struct Received {
    pub(crate) response: Response,
    /// Memory of the response; kept until it has been passed on.
    pub(crate) buffered: BufferedResponse,
    /// Whether the connection can carry another request.
    pub(crate) reusable: bool,
    /// Whether the end of the connection ended the body. If this process closed the connection, the
    /// body is truncated.
    pub(crate) ended_by_close: bool,
}

/// Reads one response. Without a deadline, waits until the connection ends.
pub(crate) fn receive_response(
    (config, budget): (&PoolConfig, &Arc<ResponseBudget>),
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    is_head: bool,
    deadline: Option<Instant>,
) -> Result<Received, CallError> {
    let head = read_final_head(config, stream, buffer, is_head, deadline)?;
    let mut decoder = BodyDecoder::new(head.framing, config.max_body_bytes);
    let mut buffered = budget.start_response(match head.framing {
        Framing::Length(length) => Some(length),
        _ => None,
    });
    loop {
        let consumed = decoder.decode(buffer.unread())?;
        buffer.consume(consumed);
        buffered.grow_to(decoder.memory_bytes())?;
        if decoder.is_complete() {
            break;
        }
        let ends_with_connection = head.framing == Framing::UntilClose;
        match fill_buffer(stream, buffer, deadline, CallError::Truncated) {
            // Only an orderly close completes such a body; a reset truncates it.
            Err(FillError::Closed(_)) if ends_with_connection => break,
            result => result?,
        }
    }
    let reusable = head.keep_alive && buffer.unread().is_empty();
    let response = Response {
        status: head.status,
        reason: head.reason,
        headers: head.headers,
        body: decoder.into_body(),
    };
    buffered.finish();
    Ok(Received {
        response,
        buffered,
        reusable,
        ended_by_close: head.framing == Framing::UntilClose,
    })
}

/// Writes the request bytes from offset `written` on.
pub(crate) fn send_request(
    stream: &TcpStream,
    request_bytes: &[u8],
    mut written: usize,
    deadline: Instant,
) -> Result<(), CallError> {
    while written < request_bytes.len() {
        let wait = deadline.saturating_duration_since(Instant::now());
        let not_sent_or = |error| {
            if written == 0 {
                CallError::NotSent
            } else {
                error
            }
        };
        if wait.is_zero() {
            return Err(not_sent_or(CallError::TimedOut));
        }
        if stream.set_write_timeout(Some(wait)).is_err() {
            return Err(not_sent_or(CallError::ConnectionLost));
        }
        match (&mut &*stream).write(&request_bytes[written..]) {
            Ok(0) => return Err(not_sent_or(CallError::ConnectionLost)),
            Ok(count) => written += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_timeout(&error) => return Err(not_sent_or(CallError::TimedOut)),
            Err(_) => return Err(not_sent_or(CallError::ConnectionLost)),
        }
    }
    Ok(())
}

/// Reads the head of the final response, after any interim ones.
fn read_final_head(
    config: &PoolConfig,
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    is_head: bool,
    deadline: Option<Instant>,
) -> Result<ResponseHead, CallError> {
    let mut has_started = false;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = read_head(config, stream, buffer, is_head, deadline, &mut has_started)?;
        if !is_interim_status(head.status) {
            return Ok(head);
        }
    }
    Err(CallError::TooLarge)
}

/// Reads a response head; `has_started` is set once a byte of the response has arrived.
fn read_head(
    config: &PoolConfig,
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    is_head: bool,
    deadline: Option<Instant>,
    has_started: &mut bool,
) -> Result<ResponseHead, CallError> {
    loop {
        let limits = (config.max_head_bytes, config.max_body_bytes);
        let unread = buffer.unread();
        *has_started |= !unread.is_empty();
        if let Some(head) = parse_response_head(unread, is_head, limits.0, limits.1)? {
            buffer.consume(head.head_bytes);
            return Ok(head);
        }
        let error_at_end = if *has_started {
            CallError::Truncated
        } else {
            CallError::ConnectionLost
        };
        fill_buffer(stream, buffer, deadline, error_at_end)?;
    }
}

/// Reads more bytes into the buffer; `error_at_end` is the error if the connection has ended.
fn fill_buffer(
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    deadline: Option<Instant>,
    error_at_end: CallError,
) -> Result<(), FillError> {
    loop {
        let read = match deadline {
            Some(deadline) => buffer.fill_until(stream, deadline),
            None => buffer.fill(stream, READ_TIMEOUT_WITHOUT_DEADLINE),
        };
        match read {
            Ok(0) => return Err(FillError::Closed(error_at_end)),
            Ok(_) => return Ok(()),
            Err(error) if is_timeout(&error) && deadline.is_none() => {}
            Err(error) if is_timeout(&error) => return Err(FillError::Other(CallError::TimedOut)),
            Err(_) => return Err(FillError::Other(error_at_end)),
        }
    }
}
