//! Public handle of the transport.

use crate::{
    Bytes, Channel, Inbound, MAX_DATAGRAM_PAYLOAD_BYTES, MeshBuilder, RequestError, SendError,
    Stats,
    connection::{Outgoing, Purpose},
    inner::Inner,
};
use model::NodeId;
use std::{fmt, net::SocketAddr, sync::Arc, time::Instant};

/// Handle of the transport; clones share it.
#[derive(Clone)]
pub struct Mesh(Arc<Inner>);

impl Mesh {
    /// Returns a builder with default settings.
    pub fn builder() -> MeshBuilder {
        MeshBuilder::new()
    }

    pub(crate) fn new(inner: Arc<Inner>) -> Self {
        Mesh(inner)
    }

    /// Node id of this process: its advertised address and incarnation.
    pub fn local_id(&self) -> NodeId {
        self.0.local
    }

    /// Sets the handler of a channel. It runs on the reader thread, or for datagrams on the UDP
    /// thread, and must not block: a blocked reader sends no pongs, so peers close the connections.
    pub fn set_handler(&self, channel: Channel, handler: impl Fn(Inbound) + Send + Sync + 'static) {
        self.0.set_handler(channel, Arc::new(handler));
    }

    /// Sends a one-way message. Never blocks; `Ok` does not mean that the message arrives.
    pub fn send(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: impl Into<Bytes>,
    ) -> Result<(), SendError> {
        let outgoing = Outgoing {
            channel,
            payload: payload.into(),
            purpose: Purpose::OneWay,
        };
        self.0.send(to, outgoing).map_err(|(_, error)| error)
    }

    /// Sends a request. `on_reply` runs exactly once and must not block. It runs on a transport
    /// thread, or on the calling thread before this returns if the request can't be queued. After
    /// `NotSent` the request certainly did not arrive; after `ConnectionLost` and `TimedOut` it may
    /// have.
    pub fn request(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: impl Into<Bytes>,
        deadline: Instant,
        on_reply: impl FnOnce(Result<Bytes, RequestError>) + Send + 'static,
    ) {
        let outgoing = Outgoing {
            channel,
            payload: payload.into(),
            purpose: Purpose::Request {
                deadline_us: self.0.process_clock_us(deadline),
                on_reply: Box::new(on_reply),
            },
        };
        if let Err((outgoing, _)) = self.0.send(to, outgoing) {
            outgoing.fail_not_sent();
        }
    }

    /// Sends one datagram of at most `MAX_DATAGRAM_PAYLOAD_BYTES`.
    pub fn send_datagram(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: &[u8],
    ) -> Result<(), SendError> {
        if payload.len() > MAX_DATAGRAM_PAYLOAD_BYTES {
            return Err(SendError::TooLarge);
        }
        self.0.send_datagram(to, channel, payload)
    }

    /// Traffic and error counters since the start.
    pub fn stats(&self) -> Stats {
        self.0.stats()
    }

    /// Stops the transport: fails all pending requests, sends the queued replies and closes all
    /// connections.
    pub fn stop(&self) {
        self.0.stop();
    }
}

impl fmt::Debug for Mesh {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Mesh({})", self.0.local)
    }
}
