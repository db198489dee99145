//! Transport between the system's own processes over TCP and UDP.
//!
//! Each process opens its own connection to a peer for the requests and one-way messages that it
//! sends; replies come back on the same connection. The sending thread writes to the socket itself.
//! One thread reads from all connections and runs handlers and reply callbacks, so these must not
//! block.

mod builder;
mod channel;
mod connection;
mod datagram;
mod error;
mod frame;
mod handle;
mod handshake;
mod inbound;
mod inner;
mod pause;
mod peer;
mod reader;
mod send_queue;
mod stats;
mod timer;

pub use builder::{Limits, MeshBuilder};
pub use channel::Channel;
pub use datagram::MAX_DATAGRAM_PAYLOAD_BYTES;
pub use error::{MeshError, RequestError, SendError};
pub use frame::{
    Frame, FrameDecoder, FrameEncoder, FrameError, FrameKind, HEADER_BYTES, MAX_FRAGMENT_BYTES,
    MessageAssembler,
};
pub use handle::Mesh;
pub use inbound::{Inbound, ReplyTo};
pub use stats::{ChannelStats, Stats};

/// Payload of a message.
pub type Bytes = Vec<u8>;
