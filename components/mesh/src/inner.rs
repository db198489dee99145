//! State shared by the threads of the transport.

use crate::{
    Bytes, Channel, Frame, FrameKind, Inbound, Limits, ReplyTo, RequestError, SendError, Stats,
    builder::spawn,
    connection::{Due, Link, Look, Outgoing},
    datagram::{self, MAX_DATAGRAM_BYTES},
    handshake::{self, Failure, Session},
    peer::Peer,
    reader::Reader,
    stats::{Counters, count},
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

/// Pause of the accept loop when the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time between two looks at the connections.
const LOOK_EVERY_US: u64 = 10_000_000;

pub(crate) type OnReply = Box<dyn FnOnce(Result<Bytes, RequestError>) + Send>;
pub(crate) type Handler = Arc<dyn Fn(Inbound) + Send + Sync>;

pub(crate) struct Inner {
    pub(crate) local: NodeId,
    pub(crate) key: [u8; 32],
    pub(crate) limits: Limits,
    pub(crate) counters: Counters,
    pub(crate) timer: Timer,
    pub(crate) reader: Reader,
    datagram_key: [u8; 32],
    bound: SocketAddr,
    started: Instant,
    /// Closed by `stop`, since handlers and callbacks may keep this value alive for a while.
    udp: RwLock<Option<Arc<UdpSocket>>>,
    handlers: RwLock<[Option<Handler>; Channel::ALL.len()]>,
    links: Mutex<HashMap<u64, Arc<Link>>>,
    link_closed: Condvar,
    next_link: AtomicU64,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    accepted: AtomicUsize,
    handshaking: AtomicUsize,
    stopping: AtomicBool,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Inner {
    pub(crate) fn new(
        local: NodeId,
        bound: SocketAddr,
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
            reader,
            bound,
            started: Instant::now(),
            udp: RwLock::new(Some(Arc::new(udp))),
            handlers: RwLock::default(),
            links: Mutex::default(),
            link_closed: Condvar::new(),
            next_link: AtomicU64::new(1),
            peers: Mutex::default(),
            accepted: AtomicUsize::new(0),
            handshaking: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            threads: Mutex::default(),
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(crate) fn to_us(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.started).as_micros() as u64
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub(crate) fn keep_threads(&self, threads: impl IntoIterator<Item = JoinHandle<()>>) {
        let mut kept = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend(threads);
    }

    fn links(&self) -> MutexGuard<'_, HashMap<u64, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.counters.snapshot(self.links().len())
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
        let bytes = datagram::seal(&self.datagram_key, self.local, channel, payload);
        match self.udp().map(|udp| udp.send_to(&bytes, to)) {
            Some(Ok(_)) => {
                self.counters.sent(channel, bytes.len(), true);
                Ok(())
            }
            Some(Err(_)) => Err(SendError::Datagram),
            None => Err(SendError::Stopped),
        }
    }

    pub(crate) fn send(
        self: &Arc<Self>,
        to: SocketAddr,
        out: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        if out.payload.len() > self.limits.max_message_bytes {
            return Err((out, SendError::TooLarge));
        }
        if self.is_stopping() {
            return Err((out, SendError::Stopped));
        }
        let peer = {
            let mut peers = self.peers();
            let peer = peers.entry(to).or_insert_with(|| Arc::new(Peer::new(to)));
            Arc::clone(peer)
        };
        peer.send(self, out)
    }

    /// Registers a connection; `None` if the transport is stopping.
    pub(crate) fn add_link(
        &self,
        dialled: Option<SocketAddr>,
        stream: TcpStream,
        session: &Session,
    ) -> io::Result<Option<Arc<Link>>> {
        let id = self.next_link.fetch_add(1, Ordering::Relaxed);
        let link = Arc::new(Link::new(self, id, dialled, stream, session)?);
        let mut links = self.links();
        if self.is_stopping() {
            return Ok(None);
        }
        links.insert(id, Arc::clone(&link));
        count(&self.counters.handshakes);
        Ok(Some(link))
    }

    /// Ends a connection and its waiting requests.
    pub(crate) fn close(&self, link: &Link) {
        let due = link.close();
        if let Some(address) = link.dialled {
            let peer = self.peers().get(&address).cloned();
            if let Some(peer) = peer {
                peer.forget(link);
            }
        }
        self.links().remove(&link.id);
        self.link_closed.notify_all();
        run(due);
    }

    /// Runs the handler of the message's channel.
    pub(crate) fn handle(self: &Arc<Self>, link: &Arc<Link>, message: Frame) {
        let expected = message.kind == FrameKind::Request;
        let reply = ReplyTo {
            back: expected.then(|| (Arc::clone(self), Arc::clone(link))),
            channel: message.channel,
            id: message.id,
        };
        self.call_handler(Inbound {
            from: link.peer,
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
            Some(handler) => contain(|| handler(inbound)),
            None => log::debug!(
                "mesh: no handler for channel {} yet, message from {} dropped",
                inbound.channel.name(),
                inbound.from
            ),
        }
    }

    pub(crate) fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.is_stopping() {
                return;
            }
            match accepted {
                Ok((stream, from)) => self.admit(stream, from),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!("mesh: a connection can't be accepted: {error}");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let full = self.handshaking.load(Ordering::Acquire) >= self.limits.max_handshakes
            || self.accepted.load(Ordering::Acquire) >= self.limits.max_connections;
        if full {
            count(&self.counters.refused_limit);
            return;
        }
        let handshaking = Held::new(self, |inner| &inner.handshaking);
        let accepted = Held::new(self, |inner| &inner.accepted);
        let inner = Arc::clone(self);
        let body = move || {
            let until = Instant::now() + Duration::from_millis(inner.limits.handshake_timeout_ms);
            let result = inner.receive(stream, until);
            drop(handshaking);
            match result {
                Ok(Some(link)) => inner.reader.add(link, Box::new(accepted)),
                Ok(None) => {}
                Err(failure) => inner.refused(&failure, from),
            }
        };
        if let Err(error) = spawn("mesh-link", body) {
            log::warn!("mesh: a connection thread can't be started: {error}");
        }
    }

    fn receive(&self, stream: TcpStream, until: Instant) -> Result<Option<Arc<Link>>, Failure> {
        stream.set_nodelay(true)?;
        let session = handshake::accept(&stream, &self.key, self.local, until)?;
        Ok(self.add_link(None, stream, &session)?)
    }

    /// Counts and logs a failed handshake.
    pub(crate) fn refused(&self, failure: &Failure, peer: SocketAddr) {
        match failure {
            Failure::Version(version) => {
                count(&self.counters.refused_version);
                log::warn!(
                    "mesh: {peer} refused, {}: it speaks version {version}, this process {}",
                    ErrorKind::PeerVersion.info().code,
                    handshake::VERSION
                );
            }
            Failure::Key => {
                count(&self.counters.refused_key);
                log::warn!("mesh: {peer} refused: its deployment key differs");
            }
            Failure::Foreign => {
                count(&self.counters.refused_handshake);
                log::warn!("mesh: {peer} refused: it does not speak this protocol");
            }
            Failure::Io(error) => {
                count(&self.counters.refused_handshake);
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
        // One byte more shows which datagrams are too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let Some(udp) = self.udp() else {
            return;
        };
        loop {
            let received = udp.recv_from(&mut buffer);
            if self.is_stopping() {
                return;
            }
            // An error here is about an earlier datagram that could not be delivered.
            let Ok((length, _)) = received else {
                continue;
            };
            match datagram::open(&self.datagram_key, &buffer[..length]) {
                None => count(&self.counters.bad_datagrams),
                Some((from, channel, payload)) => {
                    self.counters.received(channel, length, true);
                    let reply = ReplyTo {
                        back: None,
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
            self.timer.begin();
            let links: Vec<Arc<Link>> = self.links().values().cloned().collect();
            let mut next_us = self.now_us() + LOOK_EVERY_US;
            for link in links {
                let mut due = Due::new();
                match link.look(self, &mut due) {
                    Look::Again(at_us) => next_us = next_us.min(at_us),
                    Look::Idle => self.close(&link),
                    Look::Silent => {
                        count(&self.counters.silent_connections);
                        log::warn!("mesh: connection to {} went silent", link.peer);
                        self.close(&link);
                    }
                }
                run(due);
            }
            self.timer.want(next_us);
            self.timer.sleep(|| self.now_us());
        }
    }

    pub(crate) fn stop(&self) {
        if self.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        self.wake_threads();
        *self.udp.write().unwrap_or_else(PoisonError::into_inner) = None;
        self.timer.want(0);
        let peers: Vec<Arc<Peer>> = self.peers().values().cloned().collect();
        for peer in peers {
            let waiting = peer.take_waiting();
            waiting.into_iter().for_each(Outgoing::not_sent);
        }
        let until = Instant::now() + Duration::from_millis(self.limits.stop_grace_ms);
        let links: Vec<Arc<Link>> = self.links().values().cloned().collect();
        for link in &links {
            if link.dialled.is_some() {
                self.close(link);
            }
        }
        // Closing with unread bytes resets a connection and could destroy the last replies, so the
        // peers close first.
        for link in links.iter().filter(|link| link.dialled.is_none()) {
            while !link.finish_sending() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        self.wait_for_links(until);
        let left: Vec<Arc<Link>> = self.links().values().cloned().collect();
        left.iter().for_each(|link| self.close(link));
        self.reader.wake();
    }

    fn wait_for_links(&self, until: Instant) {
        let mut links = self.links();
        while !links.is_empty() {
            let wait = until.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return;
            }
            links = self
                .link_closed
                .wait_timeout(links, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Ends the threads that wait on the listen address.
    fn wake_threads(&self) {
        let ip = match self.bound.ip() {
            IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
            IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
            ip => ip,
        };
        let address = SocketAddr::new(ip, self.bound.port());
        // Failures mean that the threads are busy and see the flag anyway.
        if let Some(udp) = self.udp() {
            let _ = udp.send_to(&[], address);
        }
        let _ = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        let own = std::thread::current().id();
        for thread in threads.into_iter().filter(|t| t.thread().id() != own) {
            // A panic in the thread has been printed.
            let _ = thread.join();
        }
    }
}

fn run(due: Due) {
    for (on_reply, error) in due {
        contain(|| on_reply(Err(error)));
    }
}

/// A panic in a callback must not end a thread that serves other connections too.
pub(crate) fn contain(callback: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(callback)).is_err() {
        log::error!("mesh: a callback panicked");
    }
}

/// Counts something for as long as it lives.
struct Held {
    inner: Arc<Inner>,
    counter: fn(&Inner) -> &AtomicUsize,
}

impl Held {
    fn new(inner: &Arc<Inner>, counter: fn(&Inner) -> &AtomicUsize) -> Self {
        counter(inner).fetch_add(1, Ordering::AcqRel);
        Held {
            inner: Arc::clone(inner),
            counter,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        (self.counter)(&self.inner).fetch_sub(1, Ordering::AcqRel);
    }
}
