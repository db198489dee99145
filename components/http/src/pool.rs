//! Client connections to one address.

use crate::{
    BodyDecoder, CancelToken, Framing, ParseError, Request, Response, ResponseHead,
    message::encode_request,
    parse_response_head,
    read_buffer::{ReadBuffer, is_timeout},
    socket::{Peeked, peek},
};
use snafu::Snafu;
use socket2::SockRef;
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Read timeout of connections whose deadline is kept elsewhere.
pub(crate) const LONG_WAIT: Duration = Duration::from_secs(3_600);
/// Longest time that sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a call that waits for a connection looks whether it was cancelled.
const CANCEL_CHECK: Duration = Duration::from_millis(10);

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Address of the server.
    pub address: SocketAddr,
    /// Most connections at once.
    pub max_connections: usize,
    /// Longest wait for a new connection.
    pub connect_timeout_ms: u64,
    /// Longest time that a connection waits unused; below the keep-alive time of common servers.
    pub idle_timeout_ms: u64,
    /// Most bytes of a response head.
    pub max_head_bytes: usize,
    /// Most bytes of a response body.
    pub max_body_bytes: usize,
}

impl PoolConfig {
    /// Default limits for that address.
    pub fn new(address: SocketAddr) -> Self {
        PoolConfig {
            address,
            max_connections: 260,
            connect_timeout_ms: 1_000,
            idle_timeout_ms: 2_000,
            max_head_bytes: 64 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Why a call has no response. After every kind but `NotSent` the server may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request left this process, also if cancelled or timed out before that.
    #[snafu(display("the request was not sent"))]
    NotSent,
    /// The deadline passed before the whole response arrived.
    #[snafu(display("the response did not arrive before the deadline"))]
    TimedOut,
    /// The connection ended before the first byte of the response.
    #[snafu(display("the connection was lost before the response"))]
    ConnectionLost,
    /// The connection ended inside the response, or the response declares no length.
    #[snafu(display("the response ended before its declared length"))]
    Truncated,
    /// Head or body of the response is over the limit.
    #[snafu(display("the response is over the size limit"))]
    TooLarge,
    /// The response is not valid HTTP/1.x.
    #[snafu(display("the response is not valid HTTP/1.1"))]
    Malformed,
    /// The token was cancelled after the request had been sent, at least in part.
    #[snafu(display("the call was cancelled"))]
    Cancelled,
}

impl From<ParseError> for CallError {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::Malformed => CallError::Malformed,
            ParseError::HeadTooLarge | ParseError::BodyTooLarge => CallError::TooLarge,
        }
    }
}

/// Why no more bytes of a response arrive.
enum FillError {
    /// The server closed the connection in order.
    Closed(CallError),
    /// The connection was reset, or the time is over.
    Other(CallError),
}

impl From<FillError> for CallError {
    fn from(error: FillError) -> Self {
        match error {
            FillError::Closed(error) | FillError::Other(error) => error,
        }
    }
}

#[derive(Debug)]
struct Link {
    stream: Arc<TcpStream>,
    inbox: ReadBuffer,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Link>,
    open: usize,
    opened: u64,
}

/// Keep-alive connections to one address; the one used last is used first.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    state: Mutex<State>,
    released: Condvar,
}

impl Pool {
    /// An empty pool; connections are opened on demand.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            config,
            state: Mutex::new(State::default()),
            released: Condvar::new(),
        }
    }

    /// Connections opened since the start.
    pub fn connections_opened(&self) -> u64 {
        self.state().opened
    }

    /// Connections open now, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.state().open
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        let mut state = self.state();
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// Sends the request once and returns the whole response.
    pub fn call(
        &self,
        request: &Request,
        deadline: Instant,
        cancel: &CancelToken,
    ) -> Result<Response, CallError> {
        let mut place = Place {
            pool: self,
            link: None,
        };
        let mut out = Vec::new();
        if !encode_request(&mut out, request, self.config.address) {
            return Err(CallError::NotSent);
        }
        loop {
            let reused = self.acquire(&mut place, deadline, cancel)?;
            let link = place.link.as_mut().ok_or(CallError::NotSent)?;
            if !cancel.bind(&link.stream) {
                return Err(CallError::NotSent);
            }
            let result = exchange(&self.config, link, &out, request.method == "HEAD", deadline);
            let intact = cancel.release();
            match result {
                Ok((response, reusable)) => {
                    if reusable && intact {
                        place.give_back();
                    }
                    return Ok(response);
                }
                // Nothing was written, so a new connection can't run the request twice.
                Err(CallError::NotSent) if reused && intact => place.discard(),
                Err(CallError::NotSent) => return Err(CallError::NotSent),
                Err(_) if !intact => return Err(CallError::Cancelled),
                Err(error) => return Err(error),
            }
        }
    }

    /// Fills the place with a usable connection and tells whether it was used before.
    fn acquire(
        &self,
        place: &mut Place<'_>,
        deadline: Instant,
        cancel: &CancelToken,
    ) -> Result<bool, CallError> {
        let mut state = self.state();
        loop {
            if cancel.is_cancelled() {
                return Err(CallError::NotSent);
            }
            self.drop_expired(&mut state);
            while let Some(link) = state.idle.pop() {
                if peek(&link.stream) == Peeked::Quiet {
                    place.link = Some(link);
                    return Ok(true);
                }
                state.open -= 1;
            }
            if state.open < self.config.max_connections {
                break;
            }
            let wait = deadline.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return Err(CallError::NotSent);
            }
            state = self
                .released
                .wait_timeout(state, wait.min(CANCEL_CHECK))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state.open += 1;
        drop(state);
        match connect(&self.config, deadline) {
            Ok(stream) => {
                self.state().opened += 1;
                place.link = Some(Link {
                    stream: Arc::new(stream),
                    inbox: ReadBuffer::default(),
                    idle_since: Instant::now(),
                });
                Ok(false)
            }
            Err(_) => {
                self.state().open -= 1;
                self.released.notify_one();
                Err(CallError::NotSent)
            }
        }
    }

    /// The list is ordered by time of release, so the expired connections are at its start.
    fn drop_expired(&self, state: &mut State) {
        let limit = Duration::from_millis(self.config.idle_timeout_ms);
        let expired = state
            .idle
            .iter()
            .take_while(|link| link.idle_since.elapsed() >= limit)
            .count();
        state.idle.drain(..expired);
        state.open -= expired;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connection in use; counted as closed unless it is given back.
struct Place<'a> {
    pool: &'a Pool,
    link: Option<Link>,
}

impl Place<'_> {
    fn give_back(&mut self) {
        if let Some(mut link) = self.link.take() {
            link.idle_since = Instant::now();
            self.pool.state().idle.push(link);
            self.pool.released.notify_one();
        }
    }

    fn discard(&mut self) {
        if self.link.take().is_some() {
            self.pool.state().open -= 1;
            self.pool.released.notify_one();
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.discard();
    }
}

/// Opens a connection within the connect timeout and the deadline.
pub(crate) fn connect(config: &PoolConfig, deadline: Instant) -> io::Result<TcpStream> {
    let wait = deadline
        .saturating_duration_since(Instant::now())
        .min(Duration::from_millis(config.connect_timeout_ms));
    if wait.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let stream = TcpStream::connect_timeout(&config.address, wait)?;
    stream.set_nodelay(true)?;
    #[cfg(target_os = "linux")]
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// Writes the request and reads its response; the flag tells whether the connection is reusable.
fn exchange(
    config: &PoolConfig,
    link: &mut Link,
    out: &[u8],
    to_head: bool,
    deadline: Instant,
) -> Result<(Response, bool), CallError> {
    send(&link.stream, out, 0, deadline)?;
    receive(
        config,
        &link.stream,
        &mut link.inbox,
        to_head,
        Some(deadline),
    )
}

/// Reads one response; without a deadline until the connection ends.
pub(crate) fn receive(
    config: &PoolConfig,
    stream: &TcpStream,
    inbox: &mut ReadBuffer,
    to_head: bool,
    deadline: Option<Instant>,
) -> Result<(Response, bool), CallError> {
    let mut started = false;
    let head = loop {
        let head = read_head(config, stream, inbox, to_head, deadline, &mut started)?;
        if !matches!(head.status, 100..=199) {
            break head;
        }
    };
    let mut decoder = BodyDecoder::new(head.framing, config.max_body_bytes);
    loop {
        let used = decoder.decode(inbox.unread())?;
        inbox.consume(used);
        if decoder.is_complete() {
            break;
        }
        let ends_with_connection = head.framing == Framing::UntilClose;
        match fill(stream, inbox, deadline, CallError::Truncated) {
            // Only an orderly close ends such a body; a reset cuts it off.
            Err(FillError::Closed(_)) if ends_with_connection => break,
            result => result?,
        }
    }
    let reusable = head.keep_alive && inbox.unread().is_empty();
    let response = Response {
        status: head.status,
        reason: head.reason,
        headers: head.headers,
        body: decoder.into_body(),
    };
    Ok((response, reusable))
}

/// Writes the bytes from `written` on.
pub(crate) fn send(
    stream: &TcpStream,
    out: &[u8],
    mut written: usize,
    deadline: Instant,
) -> Result<(), CallError> {
    while written < out.len() {
        let wait = deadline.saturating_duration_since(Instant::now());
        let unsent = |late| {
            if written == 0 {
                CallError::NotSent
            } else {
                late
            }
        };
        if wait.is_zero() {
            return Err(unsent(CallError::TimedOut));
        }
        if stream.set_write_timeout(Some(wait)).is_err() {
            return Err(unsent(CallError::ConnectionLost));
        }
        match (&mut &*stream).write(&out[written..]) {
            Ok(0) => return Err(unsent(CallError::ConnectionLost)),
            Ok(count) => written += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_timeout(&error) => return Err(unsent(CallError::TimedOut)),
            Err(_) => return Err(unsent(CallError::ConnectionLost)),
        }
    }
    Ok(())
}

fn read_head(
    config: &PoolConfig,
    stream: &TcpStream,
    inbox: &mut ReadBuffer,
    to_head: bool,
    deadline: Option<Instant>,
    started: &mut bool,
) -> Result<ResponseHead, CallError> {
    loop {
        let limits = (config.max_head_bytes, config.max_body_bytes);
        let unread = inbox.unread();
        *started |= !unread.is_empty();
        if let Some(head) = parse_response_head(unread, to_head, limits.0, limits.1)? {
            inbox.consume(head.head_bytes);
            return Ok(head);
        }
        let at_end = if *started {
            CallError::Truncated
        } else {
            CallError::ConnectionLost
        };
        fill(stream, inbox, deadline, at_end)?;
    }
}

fn fill(
    stream: &TcpStream,
    inbox: &mut ReadBuffer,
    deadline: Option<Instant>,
    at_end: CallError,
) -> Result<(), FillError> {
    loop {
        let read = match deadline {
            Some(deadline) => inbox.fill_until(stream, deadline),
            None => inbox.fill(stream, LONG_WAIT),
        };
        match read {
            Ok(0) => return Err(FillError::Closed(at_end)),
            Ok(_) => return Ok(()),
            Err(error) if is_timeout(&error) && deadline.is_none() => {}
            Err(error) if is_timeout(&error) => return Err(FillError::Other(CallError::TimedOut)),
            Err(_) => return Err(FillError::Other(at_end)),
        }
    }
}
