//! Memory that a process gives to requests: their heads and bodies, and the copies of both until
//! their response is sent.

use crate::{reply_memory::ReplyMemory, reply_queue::ReplyQueue};
use limits::{MemoryShares, SMALL_BYTES};
use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Memory budget of the requests of all servers that share it.
#[derive(Debug)]
pub struct MemoryBudget {
    shares: Mutex<MemoryShares<IpAddr>>,
    refused: Arc<AtomicU64>,
    /// Connections whose stalled bodies make room for small requests.
    connections: Arc<ReplyMemory>,
    /// Budget of other servers that requests use first. This one is the part that they can't take.
    shared: Option<Arc<MemoryBudget>>,
}

impl MemoryBudget {
    /// A budget of this size for requests on these connections.
    pub(crate) fn new(max_bytes: usize, connections: &Arc<ReplyMemory>) -> Self {
        MemoryBudget {
            shares: Mutex::new(MemoryShares::new(max_bytes)),
            refused: Arc::default(),
            connections: Arc::clone(connections),
            shared: None,
        }
    }

    /// A budget whose requests use the shared one, and this many bytes more once that is full.
    pub(crate) fn with_own_part(shared: &Arc<MemoryBudget>, own_bytes: usize) -> Self {
        MemoryBudget {
            refused: Arc::clone(&shared.refused),
            shared: Some(Arc::clone(shared)),
            ..MemoryBudget::new(own_bytes, &shared.connections)
        }
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes()
    }

    /// Requests that were refused because their memory was not available in time, also those of
    /// servers with a part of their own.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a refused request.
    pub(crate) fn count_refusal(&self) -> u64 {
        self.refused.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// An empty reservation for a request of this peer.
    pub(crate) fn reservation(self: &Arc<Self>, peer: IpAddr) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            holder: Arc::clone(self.shared.as_ref().unwrap_or(self)),
            peer,
            bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryShares<IpAddr>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory reserved for one request; returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Budget of the server.
    budget: Arc<MemoryBudget>,
    /// Budget that the bytes are reserved in: the shared one, or that of the server.
    holder: Arc<MemoryBudget>,
    peer: IpAddr,
    bytes: usize,
}

impl Reservation {
    /// Grows to `bytes` in total; false if they don't fit. If the whole budget is full for a small
    /// request, the body of another connection than `requester` that has stalled loses its memory, so
    /// that a later try succeeds.
    pub(crate) fn grow_to(&mut self, bytes: usize, requester: &ReplyQueue) -> bool {
        if bytes <= self.bytes || self.try_grow_to(bytes) {
            return true;
        }
        // No connection has reserved bytes in an own part that would be closed for others.
        let is_shared = self.holder.shared.is_none();
        if bytes <= SMALL_BYTES && is_shared && self.is_holder_full_for(bytes) {
            self.holder.connections.close_stalled_body(requester);
        }
        false
    }

    /// Whether bytes are missing in the whole budget, and not only in the part of the peer.
    fn is_holder_full_for(&self, bytes: usize) -> bool {
        let shares = self.holder.lock();
        shares.is_full_for(self.bytes, bytes - self.bytes)
    }

    /// Bytes reserved now.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn try_grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes - self.bytes;
        if self.holder.lock().try_grow(&self.peer, self.bytes, added) {
            self.bytes = bytes;
            return true;
        }
        let has_own_part = !Arc::ptr_eq(&self.holder, &self.budget);
        if !has_own_part || !self.budget.lock().try_grow(&self.peer, 0, bytes) {
            return false;
        }
        self.release();
        self.holder = Arc::clone(&self.budget);
        self.bytes = bytes;
        true
    }

    fn release(&mut self) {
        if self.bytes > 0 {
            self.holder.lock().release(&self.peer, self.bytes);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
