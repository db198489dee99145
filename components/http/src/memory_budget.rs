//! Memory that a process gives to requests: their heads and bodies, and the copies of both until
//! their response is sent.

use limits::MemoryShares;
use std::{
    net::IpAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Memory budget of the requests of all servers that share it.
#[derive(Debug)]
pub struct MemoryBudget {
    shares: Mutex<MemoryShares<IpAddr>>,
    released: Condvar,
    refused: AtomicU64,
}

impl MemoryBudget {
    /// A budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        MemoryBudget {
            shares: Mutex::new(MemoryShares::new(max_bytes)),
            released: Condvar::new(),
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
    /// Grows to `bytes` in total. If they don't fit, waits at most `wait` for other requests to
    /// return memory and tries once more; false if they still don't fit.
    pub(crate) fn grow_to(&mut self, bytes: usize, wait: Duration) -> bool {
        let Some(added) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) else {
            return true;
        };
        let budget = &self.budget;
        let mut shares = budget.lock();
        if !shares.try_grow(&self.peer, self.bytes, added) {
            if wait.is_zero() {
                return false;
            }
            let waited = budget.released.wait_timeout(shares, wait);
            shares = waited.unwrap_or_else(PoisonError::into_inner).0;
            if !shares.try_grow(&self.peer, self.bytes, added) {
                return false;
            }
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.budget.lock().release(&self.peer, self.bytes);
        self.budget.released.notify_all();
    }
}
