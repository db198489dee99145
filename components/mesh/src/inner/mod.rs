//! State shared by the threads of the transport.

mod accept;
mod datagrams;
mod stop;
mod timers;

use crate::{
    Bytes, Channel, Frame, FrameKind, Inbound, Limits, ReplyTo, RequestError, SendError, Stats,
    connection::{Connection, DueCallbacks, Outgoing},
    datagram,
    handshake::{self, HandshakeError, Session},
    pause::LastPause,
    peer::Peer,
    reader::Reader,
    stats::{Counters, increment},
    timer::Timer,
};
use errors::ErrorKind;
use model::NodeId;
use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream, UdpSocket},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Instant,
};

pub(crate) type OnReply = Box<dyn FnOnce(Result<Bytes, RequestError>) + Send>;
pub(crate) type Handler = Arc<dyn Fn(Inbound) + Send + Sync>;

/// Shared state behind a `Mesh` handle.
pub(crate) struct Inner {
    pub(crate) local: NodeId,
    pub(crate) key: [u8; 32],
    pub(crate) limits: Limits,
    pub(crate) counters: Counters,
    pub(crate) timer: Timer,
    pub(crate) last_pause: LastPause,
    pub(crate) reader: Reader,
    datagram_key: [u8; 32],
    bound_address: SocketAddr,
    started: Instant,
    /// Set to `None` by `stop`, which closes the socket even if handlers or callbacks keep `Inner`
    /// alive for a while.
    udp: RwLock<Option<Arc<UdpSocket>>>,
    handlers: RwLock<[Option<Handler>; Channel::ALL.len()]>,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    connection_closed: Condvar,
    next_connection_id: AtomicU64,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    accepted_count: AtomicUsize,
    handshake_count: AtomicUsize,
    stopping: AtomicBool,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Inner {
    pub(crate) fn new(
        local: NodeId,
        bound_address: SocketAddr,
        key: [u8; 32],
        limits: Limits,
        udp: UdpSocket,
        reader: Reader,
    ) -> Self {
        Inner {
            local,
            datagram_key: datagram::datagram_key(&key),
            key,
            limits,
            counters: Counters::default(),
            timer: Timer::new(),
            last_pause: LastPause::default(),
            reader,
            bound_address,
            started: Instant::now(),
            udp: RwLock::new(Some(Arc::new(udp))),
            handlers: RwLock::default(),
            connections: Mutex::default(),
            connection_closed: Condvar::new(),
            next_connection_id: AtomicU64::new(1),
            peers: Mutex::default(),
            accepted_count: AtomicUsize::new(0),
            handshake_count: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            threads: Mutex::default(),
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(crate) fn process_clock_us(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.started).as_micros() as u64
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub(crate) fn store_threads(&self, threads: impl IntoIterator<Item = JoinHandle<()>>) {
        let mut kept = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend(threads);
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that are open now, copied so that the lock is not held while they are used.
    fn open_connections(&self) -> Vec<Arc<Connection>> {
        self.connections().values().cloned().collect()
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_handler(&self, channel: Channel, handler: Handler) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers[channel.index()] = Some(handler);
    }

    pub(crate) fn stats(&self) -> Stats {
        self.counters.snapshot(self.connections().len())
    }

    /// Sends a message to a peer over this process's own connection to it.
    pub(crate) fn send(
        self: &Arc<Self>,
        to: SocketAddr,
        outgoing: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        if outgoing.payload.len() > self.limits.max_message_bytes {
            return Err((outgoing, SendError::TooLarge));
        }
        if self.is_stopping() {
            return Err((outgoing, SendError::Stopped));
        }
        let peer = {
            let mut peers = self.peers();
            let peer = peers.entry(to).or_insert_with(|| Arc::new(Peer::new(to)));
            Arc::clone(peer)
        };
        peer.send(self, outgoing)
    }

    /// Registers a connection; `None` if the transport is stopping.
    pub(crate) fn add_connection(
        &self,
        dialled: Option<SocketAddr>,
        stream: TcpStream,
        session: &Session,
    ) -> io::Result<Option<Arc<Connection>>> {
        let id = self.next_connection_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::new(self, id, dialled, stream, session)?);
        let mut connections = self.connections();
        if self.is_stopping() {
            return Ok(None);
        }
        connections.insert(id, Arc::clone(&connection));
        increment(&self.counters.handshakes);
        Ok(Some(connection))
    }

    /// Closes a connection and fails its pending requests.
    pub(crate) fn close(&self, connection: &Connection) {
        let due = connection.close();
        if let Some(address) = connection.dialled {
            let peer = self.peers().get(&address).cloned();
            if let Some(peer) = peer {
                peer.clear_connection(connection);
            }
        }
        self.connections().remove(&connection.id);
        self.connection_closed.notify_all();
        run_callbacks(due);
    }

    /// Runs the handler of the message's channel.
    pub(crate) fn dispatch(self: &Arc<Self>, connection: &Arc<Connection>, message: Frame) {
        let is_request = message.kind == FrameKind::Request;
        let reply = ReplyTo {
            connection: is_request.then(|| (Arc::clone(self), Arc::clone(connection))),
            channel: message.channel,
            id: message.id,
        };
        self.call_handler(Inbound {
            from: connection.peer,
            channel: message.channel,
            payload: message.payload,
            reply,
        });
    }

    fn call_handler(&self, inbound: Inbound) {
        if self.is_stopping() {
            return;
        }
        let handler = {
            let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
            handlers[inbound.channel.index()].clone()
        };
        match handler {
            Some(handler) => catch_panic(|| handler(inbound)),
            None => log::debug!(
                "mesh: no handler for channel {} yet, message from {} dropped",
                inbound.channel.name(),
                inbound.from
            ),
        }
    }

    /// Counts and logs a failed handshake.
    pub(crate) fn report_handshake_failure(&self, failure: &HandshakeError, peer: SocketAddr) {
        match failure {
            HandshakeError::VersionMismatch(version) => {
                increment(&self.counters.refused_version);
                log::warn!(
                    "mesh: {peer} refused, {}: it speaks version {version}, this process {}",
                    ErrorKind::PeerVersion.info().code,
                    handshake::VERSION
                );
            }
            HandshakeError::KeyMismatch => {
                increment(&self.counters.refused_key);
                log::warn!("mesh: {peer} refused: its deployment key differs");
            }
            HandshakeError::OtherProtocol => {
                increment(&self.counters.refused_handshake);
                log::warn!("mesh: {peer} refused: it does not speak this protocol");
            }
            HandshakeError::Io(error) => {
                increment(&self.counters.refused_handshake);
                log::debug!("mesh: no connection with {peer}: {error}");
            }
        }
    }
}

fn run_callbacks(due: DueCallbacks) {
    for (on_reply, error) in due {
        catch_panic(|| on_reply(Err(error)));
    }
}

/// Runs a callback and logs a panic, which must not end a thread that serves other connections too.
pub(crate) fn catch_panic(callback: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(callback)).is_err() {
        log::error!("mesh: a callback panicked");
    }
}
