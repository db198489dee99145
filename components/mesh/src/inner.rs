//! State shared by the threads of the transport.

use crate::{
    Bytes, Channel, Frame, FrameKind, Inbound, Limits, ReplyTo, RequestError, SendError, Stats,
    builder::spawn,
    connection::{Connection, DueCallbacks, Outgoing, TimerCheck},
    datagram::{self, MAX_DATAGRAM_BYTES},
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
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// Pause of the accept loop after an error, such as running out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time between two timer checks of a connection.
const MAX_CHECK_INTERVAL_US: u64 = 10_000_000;

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

    pub(crate) fn send_datagram(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: &[u8],
    ) -> Result<(), SendError> {
        if self.is_stopping() {
            return Err(SendError::Stopped);
        }
        let bytes = datagram::encode(&self.datagram_key, self.local, channel, payload);
        match self.udp().map(|udp| udp.send_to(&bytes, to)) {
            Some(Ok(_)) => {
                self.counters.sent(channel, bytes.len(), true);
                Ok(())
            }
            Some(Err(_)) => Err(SendError::Datagram),
            None => Err(SendError::Stopped),
        }
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

    pub(crate) fn run_acceptor(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.is_stopping() {
                return;
            }
            match accepted {
                Ok((stream, from)) => self.accept_connection(stream, from),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!("mesh: a connection can't be accepted: {error}");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn accept_connection(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let is_full = self.handshake_count.load(Ordering::Acquire) >= self.limits.max_handshakes
            || self.accepted_count.load(Ordering::Acquire) >= self.limits.max_connections;
        if is_full {
            increment(&self.counters.refused_limit);
            return;
        }
        let handshaking = CountGuard::new(self, |inner| &inner.handshake_count);
        let accepted = CountGuard::new(self, |inner| &inner.accepted_count);
        let inner = Arc::clone(self);
        let body = move || {
            let deadline =
                Instant::now() + Duration::from_millis(inner.limits.handshake_timeout_ms);
            let result = inner.accept_handshake(stream, deadline);
            drop(handshaking);
            match result {
                Ok(Some(connection)) => inner.reader.add(connection, Box::new(accepted)),
                Ok(None) => {}
                Err(failure) => inner.report_handshake_failure(&failure, from),
            }
        };
        if let Err(error) = spawn("mesh-link", body) {
            log::warn!("mesh: a connection thread can't be started: {error}");
        }
    }

    fn accept_handshake(
        &self,
        stream: TcpStream,
        deadline: Instant,
    ) -> Result<Option<Arc<Connection>>, HandshakeError> {
        stream.set_nodelay(true)?;
        let session = handshake::accept(&stream, &self.key, self.local, deadline)?;
        Ok(self.add_connection(None, stream, &session)?)
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

    fn udp(&self) -> Option<Arc<UdpSocket>> {
        self.udp
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn receive_datagrams(&self) {
        // One byte more than allowed, to detect datagrams that are too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let Some(udp) = self.udp() else {
            return;
        };
        loop {
            let received = udp.recv_from(&mut buffer);
            if self.is_stopping() {
                return;
            }
            // An error concerns an earlier datagram that could not be delivered, so it is ignored.
            let Ok((length, _)) = received else {
                continue;
            };
            match datagram::decode(&self.datagram_key, &buffer[..length]) {
                None => increment(&self.counters.bad_datagrams),
                Some((from, channel, payload)) => {
                    self.counters.received(channel, length, true);
                    let reply = ReplyTo {
                        connection: None,
                        channel,
                        id: 0,
                    };
                    self.call_handler(Inbound {
                        from,
                        channel,
                        payload: payload.to_vec(),
                        reply,
                    });
                }
            }
        }
    }

    pub(crate) fn run_timer(self: &Arc<Self>) {
        while !self.is_stopping() {
            self.timer.clear();
            let connections: Vec<Arc<Connection>> = self.connections().values().cloned().collect();
            let mut next_us = self.now_us() + MAX_CHECK_INTERVAL_US;
            for connection in connections {
                let mut due = DueCallbacks::new();
                match connection.check_timers(self, &mut due) {
                    TimerCheck::CheckAgain(at_us) => next_us = next_us.min(at_us),
                    TimerCheck::Idle => self.close(&connection),
                    TimerCheck::Silent => {
                        increment(&self.counters.silent_connections);
                        log::warn!("mesh: connection to {} went silent", connection.peer);
                        self.close(&connection);
                    }
                }
                run_callbacks(due);
            }
            self.timer.wake_at(next_us);
            let late_us = self.timer.sleep(|| self.now_us());
            let shortest_pause_us = self.limits.ping_after_ms * 1_000;
            self.last_pause
                .record(self.now_us(), late_us, shortest_pause_us);
        }
    }

    pub(crate) fn stop(&self) {
        if self.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        self.stop_listening();
        *self.udp.write().unwrap_or_else(PoisonError::into_inner) = None;
        self.timer.wake_at(0);
        let peers: Vec<Arc<Peer>> = self.peers().values().cloned().collect();
        for peer in peers {
            let waiting = peer.take_waiting();
            waiting.into_iter().for_each(Outgoing::fail_not_sent);
        }
        let deadline = Instant::now() + Duration::from_millis(self.limits.stop_grace_ms);
        let connections: Vec<Arc<Connection>> = self.connections().values().cloned().collect();
        for connection in &connections {
            if connection.dialled.is_some() {
                self.close(connection);
            }
        }
        // Closing a socket with unread bytes resets the connection, which can discard the last
        // replies. So only the sending direction is closed, and the peers close first.
        for connection in connections
            .iter()
            .filter(|connection| connection.dialled.is_none())
        {
            while !connection.finish_sending() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        self.wait_for_connections(deadline);
        let left: Vec<Arc<Connection>> = self.connections().values().cloned().collect();
        left.iter().for_each(|connection| self.close(connection));
        self.reader.wake();
    }

    fn wait_for_connections(&self, deadline: Instant) {
        let mut connections = self.connections();
        while !connections.is_empty() {
            let wait = deadline.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return;
            }
            connections = self
                .connection_closed
                .wait_timeout(connections, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Ends the threads that block on the listen address by sending it a datagram and a connection.
    fn stop_listening(&self) {
        let ip = match self.bound_address.ip() {
            IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
            IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
            ip => ip,
        };
        let address = SocketAddr::new(ip, self.bound_address.port());
        // Failures are ignored: the threads are then busy and see the stop flag anyway.
        if let Some(udp) = self.udp() {
            let _ = udp.send_to(&[], address);
        }
        let _ = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        let own = std::thread::current().id();
        for thread in threads.into_iter().filter(|t| t.thread().id() != own) {
            // A panic of the thread has been printed already.
            let _ = thread.join();
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

/// Raises a counter for as long as the guard lives.
struct CountGuard {
    inner: Arc<Inner>,
    counter: fn(&Inner) -> &AtomicUsize,
}

impl CountGuard {
    fn new(inner: &Arc<Inner>, counter: fn(&Inner) -> &AtomicUsize) -> Self {
        counter(inner).fetch_add(1, Ordering::AcqRel);
        CountGuard {
            inner: Arc::clone(inner),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.inner).fetch_sub(1, Ordering::AcqRel);
    }
}
