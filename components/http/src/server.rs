//! HTTP server whose connections share one thread, beside those of the handlers.

use crate::{
    CallerConnection, Request, Response, ServerMemory,
    connection::ServedConnection,
    connection_loop::{LoopHandle, run_loop},
    open_connections::{Connection, OpenConnections},
    reply_queue::ReplyQueue,
    workers::Workers,
};
use errors::ErrorKind;
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};

/// Stack of the threads that accept and serve connections, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Most connections over the limit that are answered with a refusal at the same time; more are
/// closed without a response.
const MAX_REFUSALS: usize = 32;
/// How often a stopping server checks for connections that have become idle.
const STOP_CHECK: Duration = Duration::from_millis(50);
/// Longest wait for the connection that unblocks `accept` at a stop.
const UNBLOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause of the accept loop after an error, such as running out of descriptors or threads.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for a connection that was closed to make room to end.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(100);

/// Why the server could not be started.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The listener has no address.
    #[snafu(display("the listener's address can't be read: {source}"))]
    Listener {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread of the server could not be started.
    #[snafu(display("a thread of the server can't be started: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system has no resources to wait for connections.
    #[snafu(display("connections can't be polled: {source}"))]
    Poll {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Size and time limits of requests; may change while the server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Most bytes of a request head.
    pub max_head_bytes: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time for a whole head, then for a whole body, and for writing a response.
    pub head_timeout_ms: u64,
    /// Longest wait for the first byte of the next request.
    pub idle_timeout_ms: u64,
}

/// Limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Most connections served at once. A further one takes the place of the least recently used
    /// idle one, or of one whose request arrives slowly; if there is none, it is answered with
    /// `TooManyConnections`.
    pub max_connections: usize,
    /// Like `max_connections`, for the connections of one address.
    pub max_connections_per_address: usize,
    /// Memory for requests and unread responses, shared by the servers of a process.
    pub memory: ServerMemory,
    /// Most bytes of a request head.
    pub max_head_bytes: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest wait for the first byte of the next request.
    pub idle_timeout_ms: u64,
    /// Longest time for a whole head, then for a whole body, and for writing a response.
    pub head_timeout_ms: u64,
    /// Most requests of one connection that are handled at the same time. More than one only helps
    /// if callers pipeline their requests.
    pub max_pipelined: usize,
    /// How long idle connections stay usable after `stop`, so that requests in transit are served.
    pub stop_grace_ms: u64,
    /// Name of the threads that the server starts.
    pub thread_name: String,
}

impl Default for ServerConfig {
    fn default() -> Self {
        ServerConfig {
            max_connections: 1_024,
            max_connections_per_address: 1_024,
            memory: ServerMemory::default(),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            idle_timeout_ms: 60_000,
            head_timeout_ms: 10_000,
            max_pipelined: 1,
            stop_grace_ms: 200,
            thread_name: "http".to_owned(),
        }
    }
}

pub(crate) type Handler = dyn Fn(Request, &CallerConnection) -> Response + Send + Sync;

/// State that the server shares with its threads.
pub(crate) struct Shared {
    pub(crate) config: ServerConfig,
    pub(crate) handler: Box<Handler>,
    pub(crate) stopping: Arc<AtomicBool>,
    /// Set by `Server::drain`: the last reply on each connection closes it.
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) workers: Arc<Workers>,
    pub(crate) connection_loop: Arc<LoopHandle>,
    limits: Mutex<RequestLimits>,
    refusals: AtomicUsize,
    connections: Mutex<OpenConnections>,
    changed: Condvar,
}

impl Shared {
    pub(crate) fn new(
        config: ServerConfig,
        connection_loop: LoopHandle,
        handler: Box<Handler>,
    ) -> Arc<Self> {
        let limits = RequestLimits {
            max_head_bytes: config.max_head_bytes,
            max_body_bytes: config.max_body_bytes,
            head_timeout_ms: config.head_timeout_ms,
            idle_timeout_ms: config.idle_timeout_ms,
        };
        Arc::new(Shared {
            connection_loop: Arc::new(connection_loop),
            workers: Arc::new(Workers::new(config.thread_name.clone())),
            limits: Mutex::new(limits),
            config,
            handler,
            stopping: Arc::new(AtomicBool::new(false)),
            draining: Arc::new(AtomicBool::new(false)),
            refusals: AtomicUsize::new(0),
            connections: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    fn connections(&self) -> MutexGuard<'_, OpenConnections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> RequestLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// A running server. Dropping it stops it.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
}

/// Serves the listener until `Server::stop`.
pub fn serve(
    listener: TcpListener,
    config: ServerConfig,
    handler: impl Fn(Request, &CallerConnection) -> Response + Send + Sync + 'static,
) -> Result<Server, ServeError> {
    let address = listener.local_addr().context(ListenerSnafu)?;
    let name = config.thread_name.clone();
    let (connection_loop, poll) = LoopHandle::new().context(PollSnafu)?;
    let shared = Shared::new(config, connection_loop, Box::new(handler));
    let builder = || Builder::new().name(name.clone()).stack_size(STACK_BYTES);
    let loop_shared = Arc::clone(&shared);
    builder()
        .spawn(move || run_loop(loop_shared, poll))
        .context(ThreadSnafu)?;
    let accept_shared = Arc::clone(&shared);
    let accept_thread = builder()
        .spawn(move || accept_connections(&listener, &accept_shared))
        .inspect_err(|_| shared.connection_loop.close())
        .context(ThreadSnafu)?;
    Ok(Server {
        shared,
        address,
        accept_thread: Mutex::new(Some(accept_thread)),
    })
}

impl Server {
    /// Address that the server listens on, with the port that was assigned for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the limits for requests that are read from now on.
    pub fn set_limits(&self, limits: RequestLimits) {
        *self
            .shared
            .limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Number of connections served now.
    pub fn connection_count(&self) -> usize {
        self.shared.connections().len()
    }

    /// Stops accepting, answers the requests in progress and closes idle connections. Returns when
    /// all connections are closed.
    pub fn stop(&self) {
        self.stop_until(None);
    }

    /// Like `stop`, but returns at `until` at the latest, even if requests are still in progress.
    pub fn stop_until(&self, until: Option<Instant>) {
        self.stop_accepting();
        let grace = Instant::now() + Duration::from_millis(self.shared.config.stop_grace_ms);
        self.wait_until_closed(grace);
        // Repeated, because connections become idle as their requests are answered.
        while self.connection_count() > 0 && until.is_none_or(|until| Instant::now() < until) {
            for connection in self.shared.connections().values() {
                connection.replies.stop_reading_if_idle();
            }
            self.wait_until_closed(Instant::now() + STOP_CHECK);
        }
    }

    /// Answers all requests in progress with this response, in place of their handlers, and returns
    /// their number. Connections close behind it.
    pub fn answer_unfinished(&self, response: &Response) -> usize {
        let connections: Vec<_> = self
            .shared
            .connections()
            .values()
            .map(|connection| Arc::clone(&connection.replies))
            .collect();
        let answered = connections
            .iter()
            .map(|replies| replies.answer_waiting(response));
        answered.sum()
    }

    /// Closes the listener and all connections immediately; requests in progress get no response.
    pub fn abort(&self) {
        self.stop_accepting();
        for connection in self.shared.connections().values() {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes connections after their last reply, so that callers connect elsewhere. New
    /// connections and requests are still served.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    fn stop_accepting(&self) {
        self.drain();
        self.shared.stopping.store(true, Ordering::Release);
        let mut accept_thread = self
            .accept_thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = accept_thread.take() {
            unblock_accept(self.address);
            // A panic in the thread has been printed already.
            let _ = thread.join();
            self.shared.connection_loop.close();
        }
    }

    /// Blocks until all connections are closed, at most until the given time.
    fn wait_until_closed(&self, until: Instant) {
        let mut connections = self.shared.connections();
        while !connections.is_empty() {
            let wait = until.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return;
            }
            connections = self
                .shared
                .changed
                .wait_timeout(connections, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ends a blocked `accept` by connecting to the listener.
fn unblock_accept(address: SocketAddr) {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    // Fails if the backlog is full, but then `accept` returns anyway.
    let _ = TcpStream::connect_timeout(&SocketAddr::new(ip, address.port()), UNBLOCK_TIMEOUT);
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut next_id = 0;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                next_id += 1;
                start_connection(shared, stream, peer, next_id);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock && shared.is_stopping() => {
                return;
            }
            Err(error) => {
                if !is_transient(&error) {
                    log::warn!("http: a connection can't be accepted: {error}");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
        // Connections that were made before the stop are still accepted and served.
        if shared.is_stopping() && listener.set_nonblocking(true).is_err() {
            return;
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}

/// Whether a connection of this peer has a place, if need be that of another one, which is closed.
fn make_room(shared: &Shared, peer: IpAddr) -> bool {
    let (max, max_per_peer) = (
        shared.config.max_connections,
        shared.config.max_connections_per_address,
    );
    let mut connections = shared.connections();
    let until = Instant::now() + MAX_ROOM_WAIT;
    let mut has_closed = false;
    while let Some(full) = connections.full_for(peer, max, max_per_peer) {
        if !has_closed {
            if !connections.close_least_used(full) {
                return false;
            }
            has_closed = true;
            let closed = shared.config.memory.places.count_closed();
            // Powers of two, since a crowd of callers can cause many such lines.
            if closed.is_power_of_two() {
                let name = &shared.config.thread_name;
                log::warn!("http: {name}: a connection was closed to make room; {closed} so far");
            }
        }
        // The loop holds the descriptor of the closed connection until it has removed it.
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let waited = shared.changed.wait_timeout(connections, left);
        connections = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    true
}

/// Passes an accepted connection to the loop, or refuses it if there are too many.
fn start_connection(shared: &Arc<Shared>, stream: TcpStream, peer: SocketAddr, id: u64) {
    if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = Arc::new(stream);
    let memory = &shared.config.memory.replies;
    let (draining, connection_loop) = (&shared.draining, &shared.connection_loop);
    let replies = ReplyQueue::new(&stream, draining, memory, connection_loop, id);
    if !make_room(shared, peer.ip()) {
        let refused = shared.config.memory.places.count_refused();
        if refused.is_power_of_two() {
            let name = &shared.config.thread_name;
            log::warn!("http: {name}: too-many-connections: {refused} refused so far");
        }
        let place = ConnectionPlace::refused(shared, id);
        if shared.refusals.load(Ordering::Acquire) <= MAX_REFUSALS {
            let kind = ErrorKind::TooManyConnections;
            let refused = ServedConnection::refused(&stream, peer, replies, place, kind);
            shared.connection_loop.add(refused);
        }
        return;
    }
    let connection = Connection {
        stream: Arc::clone(&stream),
        replies: Arc::clone(&replies),
        peer: peer.ip(),
    };
    shared.connections().insert(id, connection);
    let place = ConnectionPlace::served(shared, id);
    let served = ServedConnection::new(shared, &stream, peer, replies, place);
    shared.connection_loop.add(served);
}

/// Place of a connection in the server. Dropping it removes the connection from the table.
pub(crate) struct ConnectionPlace {
    shared: Arc<Shared>,
    id: u64,
    /// Whether the connection is answered with a refusal, and is not in the table.
    is_refused: bool,
}

impl ConnectionPlace {
    pub(crate) fn served(shared: &Arc<Shared>, id: u64) -> Self {
        ConnectionPlace {
            shared: Arc::clone(shared),
            id,
            is_refused: false,
        }
    }

    pub(crate) fn refused(shared: &Arc<Shared>, id: u64) -> Self {
        shared.refusals.fetch_add(1, Ordering::AcqRel);
        ConnectionPlace {
            shared: Arc::clone(shared),
            id,
            is_refused: true,
        }
    }

    pub(crate) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        if self.is_refused {
            self.shared.refusals.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        self.shared.connections().remove(self.id);
        self.shared.changed.notify_all();
    }
}
