//! Settings and start of the transport.

use crate::{
    Mesh, MeshError,
    error::{ListenSnafu, ThreadSnafu},
    inner::Inner,
    reader::{Reader, run_reader},
};
use model::NodeId;
use snafu::ResultExt;
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    thread::Builder,
    time::{SystemTime, UNIX_EPOCH},
};

/// Attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 16;
/// Stack of each transport thread in bytes.
pub(crate) const STACK_BYTES: usize = 256 * 1024;

/// Limits of the transport.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most accepted connections.
    pub max_connections: usize,
    /// Most accepted connections that are still in the handshake.
    pub max_handshakes: usize,
    /// Most bytes of one message.
    pub max_message_bytes: usize,
    /// Most bytes queued for one peer, and most bytes held of incomplete messages from one peer.
    pub max_queued_bytes: usize,
    /// Longest time to open a connection, handshake included.
    pub connect_timeout_ms: u64,
    /// Longest handshake of an accepted connection.
    pub handshake_timeout_ms: u64,
    /// Silence after which a ping is sent while a message waits.
    pub ping_after_ms: u64,
    /// Silence after which the connection is closed while a message waits.
    pub silent_after_ms: u64,
    /// Time after which an unused connection is closed.
    pub idle_timeout_ms: u64,
    /// Longest time without progress in a blocked write.
    pub write_timeout_ms: u64,
    /// Longest time that `stop` waits for peers to read the last replies.
    pub stop_grace_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_connections: 4_096,
            max_handshakes: 64,
            max_message_bytes: 16 * 1024 * 1024,
            max_queued_bytes: 32 * 1024 * 1024,
            connect_timeout_ms: 1_000,
            handshake_timeout_ms: 1_000,
            ping_after_ms: 250,
            silent_after_ms: 750,
            idle_timeout_ms: 60_000,
            write_timeout_ms: 2_000,
            stop_grace_ms: 300,
        }
    }
}

/// Collects the settings of a `Mesh`.
#[derive(Clone, Debug)]
pub struct MeshBuilder {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    incarnation: Option<u64>,
    key: Vec<u8>,
    limits: Limits,
}

impl MeshBuilder {
    pub(crate) fn new() -> Self {
        MeshBuilder {
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            advertise: None,
            incarnation: None,
            key: Vec::new(),
            limits: Limits::default(),
        }
    }

    /// Listen address for TCP and UDP; with port 0, a port that is free for both.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Address in the node id, if peers reach this process at another than the listen address.
    #[must_use]
    pub fn advertise(mut self, address: SocketAddr) -> Self {
        self.advertise = Some(address);
        self
    }

    /// Incarnation in the node id; by default the start time in microseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Deployment key, which all processes share; must not be empty.
    #[must_use]
    pub fn key(mut self, key: impl AsRef<[u8]>) -> Self {
        self.key = key.as_ref().to_vec();
        self
    }

    /// Replaces the default limits and timeouts.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Binds the listen address and starts the threads.
    pub fn start(self) -> Result<Mesh, MeshError> {
        if self.key.is_empty() {
            return Err(MeshError::EmptyKey);
        }
        let (listener, udp) = bind_both(self.listen).context(ListenSnafu {
            address: self.listen,
        })?;
        let bound = listener.local_addr().context(ListenSnafu {
            address: self.listen,
        })?;
        let local = NodeId {
            mesh: self.advertise.unwrap_or(bound),
            incarnation: self.incarnation.unwrap_or_else(start_time_us),
        };
        let key = blake3::derive_key("geraniumyard mesh v1", &self.key);
        let (reader, poll) = Reader::new().context(ThreadSnafu)?;
        let inner = Arc::new(Inner::new(local, bound, key, self.limits, udp, reader));
        let accepting = spawn("mesh-accept", {
            let inner = Arc::clone(&inner);
            move || inner.run_acceptor(&listener)
        })
        .context(ThreadSnafu)?;
        let receiving = spawn("mesh-udp", {
            let inner = Arc::clone(&inner);
            move || inner.receive_datagrams()
        })
        .context(ThreadSnafu)?;
        spawn("mesh-read", {
            let inner = Arc::clone(&inner);
            move || run_reader(&inner, poll)
        })
        .context(ThreadSnafu)?;
        spawn("mesh-timer", {
            let inner = Arc::clone(&inner);
            move || inner.run_timer()
        })
        .context(ThreadSnafu)?;
        inner.store_threads([accepting, receiving]);
        Ok(Mesh::new(inner))
    }
}

/// Starts a thread with a small stack.
pub(crate) fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<std::thread::JoinHandle<()>> {
    Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(body)
}

fn bind_both(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 1;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(udp) => return Ok((listener, udp)),
            Err(_) if address.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

fn start_time_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_micros() as u64)
}
