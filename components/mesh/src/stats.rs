//! Traffic and error counters of the transport.

use crate::Channel;
use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic of one channel. Messages are counted when complete; bytes include frame and datagram
/// headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChannelStats {
    /// Whole messages and datagrams received.
    pub messages_in: u64,
    /// Whole messages and datagrams sent.
    pub messages_out: u64,
    /// Bytes of received frames and datagrams, headers included.
    pub bytes_in: u64,
    /// Bytes of sent frames and datagrams, headers included.
    pub bytes_out: u64,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Traffic by channel, in the order of `Channel::ALL`.
    pub channels: [ChannelStats; Channel::ALL.len()],
    /// Pings and pongs received.
    pub heartbeats_in: u64,
    /// Pings and pongs sent.
    pub heartbeats_out: u64,
    /// Handshakes completed on dialled or accepted connections.
    pub handshakes: u64,
    /// Peers refused because of their protocol version.
    pub refused_version: u64,
    /// Peers refused because their proof did not match the deployment key.
    pub refused_key: u64,
    /// Peers refused because their handshake was late, truncated or not of this protocol. Dialled
    /// peers that could not be reached count here too.
    pub refused_handshake: u64,
    /// Connections refused because of the connection limits.
    pub refused_limit: u64,
    /// Connections closed because of a truncated, oversized, replayed or unauthenticated frame.
    pub bad_frames: u64,
    /// Datagrams dropped because they were malformed or not authentic.
    pub bad_datagrams: u64,
    /// Connections closed because the peer sent nothing, not even a pong, while a message waited.
    pub silent_connections: u64,
    /// Failed attempts to open a connection, handshake included.
    pub failed_dials: u64,
    /// Connections open now.
    pub connections: u64,
}

impl Stats {
    /// Traffic of one channel.
    pub fn channel(&self, channel: Channel) -> ChannelStats {
        self.channels[channel.index()]
    }
}

#[derive(Debug, Default)]
pub(crate) struct ChannelCounters {
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    channels: [ChannelCounters; Channel::ALL.len()],
    pub(crate) heartbeats_in: AtomicU64,
    pub(crate) heartbeats_out: AtomicU64,
    pub(crate) handshakes: AtomicU64,
    pub(crate) refused_version: AtomicU64,
    pub(crate) refused_key: AtomicU64,
    pub(crate) refused_handshake: AtomicU64,
    pub(crate) refused_limit: AtomicU64,
    pub(crate) bad_frames: AtomicU64,
    pub(crate) bad_datagrams: AtomicU64,
    pub(crate) silent_connections: AtomicU64,
    pub(crate) failed_dials: AtomicU64,
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn received(&self, channel: Channel, bytes: usize, is_complete: bool) {
        let counters = &self.channels[channel.index()];
        counters.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
        counters
            .messages_in
            .fetch_add(u64::from(is_complete), Ordering::Relaxed);
    }

    pub(crate) fn sent(&self, channel: Channel, bytes: usize, is_complete: bool) {
        let counters = &self.channels[channel.index()];
        counters
            .bytes_out
            .fetch_add(bytes as u64, Ordering::Relaxed);
        counters
            .messages_out
            .fetch_add(u64::from(is_complete), Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self, connections: usize) -> Stats {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut channels = [ChannelStats::default(); Channel::ALL.len()];
        for (stats, counters) in channels.iter_mut().zip(&self.channels) {
            *stats = ChannelStats {
                messages_in: read(&counters.messages_in),
                messages_out: read(&counters.messages_out),
                bytes_in: read(&counters.bytes_in),
                bytes_out: read(&counters.bytes_out),
            };
        }
        Stats {
            channels,
            heartbeats_in: read(&self.heartbeats_in),
            heartbeats_out: read(&self.heartbeats_out),
            handshakes: read(&self.handshakes),
            refused_version: read(&self.refused_version),
            refused_key: read(&self.refused_key),
            refused_handshake: read(&self.refused_handshake),
            refused_limit: read(&self.refused_limit),
            bad_frames: read(&self.bad_frames),
            bad_datagrams: read(&self.bad_datagrams),
            silent_connections: read(&self.silent_connections),
            failed_dials: read(&self.failed_dials),
            connections: connections as u64,
        }
    }
}
