//! Memory that a process gives to requests: their heads and bodies, and the copies of both until
//! their response is sent.

use limits::MemoryShares;
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
    refused: AtomicU64,
}

impl MemoryBudget {
    /// A budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        MemoryBudget {
            shares: Mutex::new(MemoryShares::new(max_bytes)),
            refused: AtomicU64::new(0),
        }
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes()
    }

    /// Requests that were refused because their memory was not available in time.
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
    budget: Arc<MemoryBudget>,
    peer: IpAddr,
    bytes: usize,
}

impl Reservation {
    /// Grows to `bytes` in total; false if they don't fit.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(added) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) else {
            return true;
        };
        let fits = self.budget.lock().try_grow(&self.peer, self.bytes, added);
        if fits {
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.budget.lock().release(&self.peer, self.bytes);
    }
}
