//! Memory budget of the servers of a process.

use crate::{memory_budget::MemoryBudget, reply_memory::ReplyMemory};
use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Budget of a process that has no setting for it, in bytes.
const DEFAULT_BYTES: usize = 512 << 20;

/// Divisor of the budget that gives the own part of a port for its requests, which are small.
const OWN_DIVISOR: usize = 32;
/// Divisor of the budget that gives the memory of a port with its own part for unread responses, such
/// as pages with metrics.
const OWN_REPLIES_DIVISOR: usize = 8;

/// Connections that had no place, in all servers that share a budget.
#[derive(Debug, Default)]
pub struct PlaceCounters {
    closed_for_room: AtomicU64,
    refused: AtomicU64,
}

impl PlaceCounters {
    /// Connections that were closed to make room for others.
    pub fn closed_for_room(&self) -> u64 {
        self.closed_for_room.load(Ordering::Relaxed)
    }

    /// Connections that were refused, because all others were in use.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(crate) fn count_closed(&self) -> u64 {
        self.closed_for_room.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn count_refused(&self) -> u64 {
        self.refused.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Memory of the requests and of the unread responses of all servers that share it, half of the
/// budget each, so that neither kind can take the memory of the other.
#[derive(Clone)]
pub struct ServerMemory {
    /// Memory of requests.
    pub requests: Arc<MemoryBudget>,
    /// Memory of unread responses.
    pub replies: Arc<ReplyMemory>,
    /// Connections that had no place.
    pub places: Arc<PlaceCounters>,
    max_bytes: usize,
}

impl ServerMemory {
    /// A budget of this size in total.
    pub fn new(max_bytes: usize) -> Self {
        let replies = Arc::new(ReplyMemory::new(max_bytes / 2));
        ServerMemory {
            requests: Arc::new(MemoryBudget::new(max_bytes / 2, &replies)),
            replies,
            places: Arc::default(),
            max_bytes,
        }
    }

    /// The same memory with a small part in addition that only the servers with the result use, once
    /// the rest is in use. Their connections are not closed for small requests of others.
    #[must_use]
    pub fn with_own_part(&self) -> Self {
        let requests = MemoryBudget::with_own_part(&self.requests, self.max_bytes / OWN_DIVISOR);
        ServerMemory {
            requests: Arc::new(requests),
            replies: Arc::new(ReplyMemory::new(self.max_bytes / OWN_REPLIES_DIVISOR)),
            ..self.clone()
        }
    }
}

impl Default for ServerMemory {
    fn default() -> Self {
        ServerMemory::new(DEFAULT_BYTES)
    }
}

impl fmt::Debug for ServerMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerMemory")
            .field("requests_bytes", &self.requests.held_bytes())
            .field("replies_bytes", &self.replies.held_bytes())
            .finish()
    }
}
