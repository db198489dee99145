//! Client connection pool whose calls block until the response.

use crate::{
    CancelToken, ParseError, Request, Response,
    exchange::{Received, receive_response, send_request},
    message::encode_request,
    read_buffer::ReadBuffer,
    response_budget::ResponseBudget,
    socket::{Peeked, peek},
};
use snafu::Snafu;
use socket2::SockRef;
use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Longest time that sent bytes may stay unacknowledged by TCP.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a call that waits for a connection checks whether it was cancelled.
const CANCEL_CHECK: Duration = Duration::from_millis(10);

/// Address and limits of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Address of the server.
    pub address: SocketAddr,
    /// Most connections at once.
    pub max_connections: usize,
    /// Longest wait for a new connection.
    pub connect_timeout_ms: u64,
    /// Longest time that an idle connection is kept; below the keep-alive timeout of common
    /// servers.
    pub idle_timeout_ms: u64,
    /// Most bytes of a response head.
    pub max_head_bytes: usize,
    /// Most bytes of a response body.
    pub max_body_bytes: usize,
    /// Most bytes of all response bodies that are being received at the same time. Beyond it, calls
    /// whose response takes more than its share fail.
    pub max_buffered_bytes: usize,
    /// Header whose value the server repeats from the request in its response. A response with
    /// another value is never the result of a call. Only `AsyncPool` checks it.
    pub echoed_header: Option<&'static str>,
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
            max_buffered_bytes: 32 * 1024 * 1024,
            echoed_header: None,
        }
    }
}

/// Why a call has no response. After every error but `NotSent` the server may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request was sent. Includes calls that were cancelled or timed out before
    /// that.
    #[snafu(display("the request was not sent"))]
    NotSent,
    /// The deadline passed before the whole response arrived.
    #[snafu(display("the response did not arrive before the deadline"))]
    TimedOut,
    /// The connection ended before the first byte of the response.
    #[snafu(display("the connection was lost before the response"))]
    ConnectionLost,
    /// The connection ended inside the response. If the response declares no length, it was reset.
    #[snafu(display("the response ended before its declared length"))]
    Truncated,
    /// The head or body of the response is over the limit, or interim responses don't end.
    #[snafu(display("the response is over the size limit"))]
    TooLarge,
    /// The response is not valid HTTP/1.x.
    #[snafu(display("the response is not valid HTTP/1.1"))]
    Malformed,
    /// The response is not for this request, because the header that the server repeats differs.
    #[snafu(display("the response is for another request"))]
    Mismatched,
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

/// A connection with the bytes read ahead from it.
#[derive(Debug)]
struct PooledConnection {
    stream: Arc<TcpStream>,
    buffer: ReadBuffer,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<PooledConnection>,
    open_count: usize,
    opened_count: u64,
}

/// Keep-alive connections to one address. The most recently used idle connection is used first.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    budget: Arc<ResponseBudget>,
    state: Mutex<State>,
    released: Condvar,
}

impl Pool {
    /// Creates an empty pool; connections are opened on demand.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            budget: Arc::new(ResponseBudget::new(config.max_buffered_bytes)),
            config,
            state: Mutex::new(State::default()),
            released: Condvar::new(),
        }
    }

    /// Number of connections opened since the pool was created.
    pub fn connections_opened(&self) -> u64 {
        self.state().opened_count
    }

    /// Number of connections open now, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.state().open_count
    }

    /// Closes the idle connections; those in use stay open.
    pub fn close_idle(&self) {
        let mut state = self.state();
        state.open_count -= state.idle.len();
        state.idle.clear();
    }

    /// Sends the request once and returns the whole response.
    pub fn call(
        &self,
        request: &Request,
        deadline: Instant,
        cancel: &CancelToken,
    ) -> Result<Response, CallError> {
        let mut guard = ConnectionGuard {
            pool: self,
            connection: None,
        };
        let mut request_bytes = Vec::new();
        if !encode_request(&mut request_bytes, request, self.config.address) {
            return Err(CallError::NotSent);
        }
        loop {
            let is_reused = self.acquire(&mut guard, deadline, cancel)?;
            let connection = guard.connection.as_mut().ok_or(CallError::NotSent)?;
            if !cancel.bind(&connection.stream) {
                return Err(CallError::NotSent);
            }
            let result = exchange(
                (&self.config, &self.budget),
                connection,
                &request_bytes,
                request.method == "HEAD",
                deadline,
            );
            let is_cancelled = !cancel.release();
            match result {
                // The cancellation has closed the connection, which then did not end the body.
                Ok(received) if received.ended_by_close && is_cancelled => {
                    return Err(CallError::Cancelled);
                }
                Ok(received) => {
                    if received.reusable && !is_cancelled {
                        guard.release();
                    }
                    return Ok(received.response);
                }
                // Nothing was written, so a retry on another connection can't run the request
                // twice.
                Err(CallError::NotSent) if is_reused && !is_cancelled => guard.discard(),
                Err(CallError::NotSent) => return Err(CallError::NotSent),
                Err(_) if is_cancelled => return Err(CallError::Cancelled),
                Err(error) => return Err(error),
            }
        }
    }

    /// Puts a usable connection into the guard; true if the connection was used before.
    fn acquire(
        &self,
        guard: &mut ConnectionGuard<'_>,
        deadline: Instant,
        cancel: &CancelToken,
    ) -> Result<bool, CallError> {
        let mut state = self.state();
        loop {
            if cancel.is_cancelled() {
                return Err(CallError::NotSent);
            }
            self.close_expired(&mut state);
            while let Some(connection) = state.idle.pop() {
                if peek(&connection.stream) == Peeked::Quiet {
                    guard.connection = Some(connection);
                    return Ok(true);
                }
                state.open_count -= 1;
            }
            if state.open_count < self.config.max_connections {
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
        state.open_count += 1;
        drop(state);
        match connect(&self.config, deadline) {
            Ok(stream) => {
                self.state().opened_count += 1;
                guard.connection = Some(PooledConnection {
                    stream: Arc::new(stream),
                    buffer: ReadBuffer::default(),
                    idle_since: Instant::now(),
                });
                Ok(false)
            }
            Err(_) => {
                self.state().open_count -= 1;
                self.released.notify_one();
                Err(CallError::NotSent)
            }
        }
    }

    /// Closes connections that reached the idle timeout. The list is ordered by time of release, so
    /// they are at its start.
    fn close_expired(&self, state: &mut State) {
        let limit = Duration::from_millis(self.config.idle_timeout_ms);
        let expired_count = state
            .idle
            .iter()
            .take_while(|connection| connection.idle_since.elapsed() >= limit)
            .count();
        state.idle.drain(..expired_count);
        state.open_count -= expired_count;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds the connection of one call. Dropping the guard closes the connection unless it was
/// released to the pool.
struct ConnectionGuard<'a> {
    pool: &'a Pool,
    connection: Option<PooledConnection>,
}

impl ConnectionGuard<'_> {
    /// Returns the connection to the idle ones.
    fn release(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = Instant::now();
            self.pool.state().idle.push(connection);
            self.pool.released.notify_one();
        }
    }

    /// Closes the connection and frees its slot.
    fn discard(&mut self) {
        if self.connection.take().is_some() {
            self.pool.state().open_count -= 1;
            self.pool.released.notify_one();
        }
    }
}

impl Drop for ConnectionGuard<'_> {
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

/// Writes the request and reads its response.
fn exchange(
    limits: (&PoolConfig, &Arc<ResponseBudget>),
    connection: &mut PooledConnection,
    request_bytes: &[u8],
    is_head: bool,
    deadline: Instant,
) -> Result<Received, CallError> {
    send_request(&connection.stream, request_bytes, 0, deadline)?;
    receive_response(
        limits,
        &connection.stream,
        &mut connection.buffer,
        is_head,
        Some(deadline),
    )
}
