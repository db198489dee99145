//! Shares of a memory budget between peers.
//!
//! Workload: hundreds of callers send bodies of the largest legal size at once, most of which stop
//! short of their end. The memory that they hold stays under the budget, one peer can't take all of
//! it, and ordinary small requests are accepted beside them.

use std::{collections::HashMap, hash::Hash};

/// Memory of a request up to this size counts as small, in bytes. It may also use the reserve.
pub const SMALL_BYTES: usize = 32 * 1024;
/// Divisor of the budget that gives the reserve for small requests, which is added to the budget.
const RESERVE_DIVISOR: usize = 4;
/// Divisor of the budget that gives the part that one peer leaves to the others.
const OTHERS_DIVISOR: usize = 4;

/// Memory held by each peer, and what may be held in total.
#[derive(Debug)]
pub struct MemoryShares<K> {
    max_bytes: usize,
    held_bytes: usize,
    by_peer: HashMap<K, usize>,
}

impl<K: Clone + Eq + Hash> MemoryShares<K> {
    /// A budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        MemoryShares {
            max_bytes,
            held_bytes: 0,
            by_peer: HashMap::new(),
        }
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds `bytes` to a request of `peer` that holds `own_bytes` already; false if they don't fit.
    ///
    /// A request that is the only holder may be of any size, so that a budget below the largest
    /// legal request does not rule it out.
    pub fn try_grow(&mut self, peer: &K, own_bytes: usize, bytes: usize) -> bool {
        let peer_bytes = self.by_peer.get(peer).copied().unwrap_or(0);
        let max_of_peer = self.max_bytes - self.max_bytes / OTHERS_DIVISOR;
        // A peer that holds nothing else may use all that is left.
        let is_peer_under =
            peer_bytes == own_bytes || self.is_under(peer_bytes, max_of_peer, own_bytes, bytes);
        let is_only_holder = self.held_bytes == own_bytes;
        if !is_only_holder && (self.is_full_for(own_bytes, bytes) || !is_peer_under) {
            return false;
        }
        self.held_bytes += bytes;
        *self.by_peer.entry(peer.clone()).or_default() += bytes;
        true
    }

    /// Whether the whole budget has no room for `bytes` more of a request that holds `own_bytes`,
    /// whatever its peer holds.
    pub fn is_full_for(&self, own_bytes: usize, bytes: usize) -> bool {
        !self.is_under(self.held_bytes, self.max_bytes, own_bytes, bytes)
    }

    /// Whether `held_bytes` and `bytes` more of a request that holds `own_bytes` are within a bound,
    /// with the reserve if the request is small.
    fn is_under(&self, held_bytes: usize, max: usize, own_bytes: usize, bytes: usize) -> bool {
        let is_small = own_bytes.saturating_add(bytes) <= SMALL_BYTES;
        let reserve_bytes = if is_small {
            self.max_bytes / RESERVE_DIVISOR
        } else {
            0
        };
        held_bytes
            .checked_add(bytes)
            .is_some_and(|total| total <= max.saturating_add(reserve_bytes))
    }

    /// Returns bytes of a peer.
    pub fn release(&mut self, peer: &K, bytes: usize) {
        self.held_bytes -= bytes;
        if let Some(peer_bytes) = self.by_peer.get_mut(peer) {
            *peer_bytes -= bytes;
            if *peer_bytes == 0 {
                self.by_peer.remove(peer);
            }
        }
    }
}
