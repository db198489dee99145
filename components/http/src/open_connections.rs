//! Table of a server's open connections, and the choice of the one that is closed when a further
//! one needs its place.

use crate::{
    reply_queue::ReplyQueue,
    reply_state::Phase,
    socket::{Peeked, peek},
};
use std::{
    collections::HashMap,
    net::{IpAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

/// Shortest time without progress after which a connection with a body or an unread reply may be
/// closed to make room.
const MIN_STALL: Duration = Duration::from_secs(1);

/// An open connection.
pub(crate) struct Connection {
    pub(crate) stream: Arc<TcpStream>,
    pub(crate) replies: Arc<ReplyQueue>,
    pub(crate) peer: IpAddr,
}

/// Why a further connection has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Full {
    /// The peer has as many connections as it may have.
    Peer(IpAddr),
    Server,
}

/// Open connections by their number.
#[derive(Default)]
pub(crate) struct OpenConnections {
    by_id: HashMap<u64, Connection>,
    by_peer: HashMap<IpAddr, usize>,
}

impl OpenConnections {
    pub(crate) fn insert(&mut self, id: u64, connection: Connection) {
        *self.by_peer.entry(connection.peer).or_default() += 1;
        self.by_id.insert(id, connection);
    }

    pub(crate) fn remove(&mut self, id: u64) {
        let Some(connection) = self.by_id.remove(&id) else {
            return;
        };
        if let Some(count) = self.by_peer.get_mut(&connection.peer) {
            *count -= 1;
            if *count == 0 {
                self.by_peer.remove(&connection.peer);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Connection> {
        self.by_id.values()
    }

    /// Why a connection of this peer has no place; `None` if it has one.
    pub(crate) fn full_for(&self, peer: IpAddr, max: usize, max_per_peer: usize) -> Option<Full> {
        let of_peer = self.by_peer.get(&peer).copied().unwrap_or(0);
        if of_peer >= max_per_peer {
            return Some(Full::Peer(peer));
        }
        (self.by_id.len() >= max).then_some(Full::Server)
    }

    /// Closes the connection that is least in use; false if all are in use.
    pub(crate) fn close_least_used(&self, full: Full) -> bool {
        let now = Instant::now();
        let mut candidates: Vec<_> = self
            .by_id
            .values()
            .filter(|connection| match full {
                Full::Peer(peer) => connection.peer == peer,
                Full::Server => true,
            })
            .filter_map(|connection| {
                let (phase, since) = connection.replies.phase()?;
                let may_close = match phase {
                    Phase::Lingering | Phase::Idle | Phase::ReadingHead => true,
                    Phase::ReadingBody | Phase::Unread => now.duration_since(since) >= MIN_STALL,
                };
                may_close.then_some((phase, since, connection))
            })
            .collect();
        candidates.sort_by_key(|(phase, since, _)| (*phase, *since));
        // A connection on which bytes wait that the loop has not read yet is not idle.
        let has_bytes = |phase, connection: &Connection| {
            phase == Phase::Idle && peek(&connection.stream) == Peeked::Unread
        };
        let mut later = Vec::new();
        for (phase, _, connection) in candidates {
            if has_bytes(phase, connection) {
                later.push((phase, connection));
            } else if connection.replies.close_in_phase(phase) {
                return true;
            }
        }
        later
            .into_iter()
            .any(|(phase, connection)| connection.replies.close_in_phase(phase))
    }
}
