//! A keeper's table of claims of idempotency keys.
//!
//! A keeper is a control replica in its role of storing claims. It keeps them in memory; after a
//! restart it copies them from the other keepers.

use crate::{KeyHash, ROUND_MAX_US};
use model::{AttemptId, Fingerprint, NodeId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Longest deadline of a keyed call in milliseconds. With the retention of call records it stays
/// below the retention of claims, so that a claim outlives the call that it protects.
pub const MAX_KEYED_CALL_MS: u64 = 540_000;

/// How long a restarted keeper waits before it copies claims: by then every round that counted a
/// grant of its earlier run has ended, and the grants of the other keepers are in the copies.
const COPY_WAIT_US: u64 = 2 * ROUND_MAX_US;

/// The attempt that a key is granted to; it may have run under the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Attempt that the key was granted to.
    pub attempt: AttemptId,
    /// Owner of the attempt, which knows its status.
    pub owner: NodeId,
}

/// An entry's request to a keeper to grant a key to one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of service and idempotency key.
    pub key: KeyHash,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that will run.
    pub attempt: AttemptId,
    /// The owner that the attempt will be sent to.
    pub owner: NodeId,
    /// Attempts whose owners have confirmed that they never started and never will; they no longer
    /// hold the key.
    pub never_started: Vec<AttemptId>,
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
    /// The keeper has restarted and has not yet copied its earlier claims.
    Warming,
    /// The keeper holds its maximum number of claims.
    Full,
}

/// One key in a copy of a keeper's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedClaim {
    /// Hash of service and idempotency key.
    pub key: KeyHash,
    /// Attempts that may run under the key, each with the hash of its request.
    pub holders: Vec<(Holder, Fingerprint)>,
    /// Rest of the retention; a duration because keepers share no clock.
    pub remaining_us: u64,
}

/// One page of a copy of a keeper's table, for a keeper that has restarted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCopy {
    /// Whether the sender has all its claims; a warming keeper has not.
    pub complete: bool,
    /// Key after which this page starts; `None` on the first page.
    pub after: Option<KeyHash>,
    /// Key to pass to the next `export`; `None` after the last page.
    pub next: Option<KeyHash>,
    /// The keys of this page, in order.
    pub claims: Vec<CopiedClaim>,
}

/// Whether a keeper that starts may have granted claims before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStart {
    /// The control group is new and has granted no claim yet.
    NewGroup,
    /// An earlier run of this keeper, or of its replaced host, may have granted claims.
    Restarted,
}

/// Limits of a [`ClaimTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Number of keepers in the control group.
    pub keepers: usize,
    /// How long a claim is kept after its last grant.
    pub retention_ms: u64,
    /// Maximum number of claimed keys.
    pub max_claims: usize,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        ClaimConfig {
            keepers: 3,
            retention_ms: 600_000,
            max_claims: 500_000,
        }
    }
}

/// A holder and the hash of its request.
type HolderRequest = (Holder, Fingerprint);

/// A key and its holders. More than one holder is rare: it occurs if the copies of two keepers name
/// different ones.
#[derive(Debug)]
struct KeyState {
    holder: HolderRequest,
    other_holders: Vec<HolderRequest>,
    expires_us: u64,
}

impl KeyState {
    fn holders(&self) -> impl Iterator<Item = &HolderRequest> {
        std::iter::once(&self.holder).chain(&self.other_holders)
    }

    /// The holder that prevents the grant of `claim`, if any.
    fn conflicting_holder(&self, claim: &Claim) -> Option<&HolderRequest> {
        self.holders().find(|(holder, fingerprint)| {
            let may_be_replaced =
                holder.attempt == claim.attempt || claim.never_started.contains(&holder.attempt);
            !may_be_replaced || *fingerprint != claim.fingerprint
        })
    }
}

/// Progress of a restarted keeper with copying its claims from the other keepers.
#[derive(Debug)]
struct Warming {
    /// Time from which copies may be requested.
    copy_from_us: u64,
    /// Time at which all claims of the earlier run have expired.
    until_us: u64,
    /// Keepers whose tables have been copied completely.
    copied: BTreeSet<usize>,
    /// Next page expected of each keeper.
    pages: BTreeMap<usize, Option<KeyHash>>,
}

/// Claims of one keeper: which attempt may run under which idempotency key.
#[derive(Debug)]
pub struct ClaimTable {
    config: ClaimConfig,
    /// Ordered by key, so that it can be exported in pages.
    claims: BTreeMap<KeyHash, KeyState>,
    expiry: BTreeSet<(u64, KeyHash)>,
    warming: Option<Warming>,
}

impl ClaimTable {
    /// An empty table; after `ClaimStart::Restarted` it replies `Warming` until it has copied its
    /// claims.
    pub fn new(now_us: u64, config: ClaimConfig, start: ClaimStart) -> Self {
        let warming = (start == ClaimStart::Restarted).then(|| Warming {
            copy_from_us: now_us + COPY_WAIT_US,
            until_us: now_us + config.retention_ms * 1_000,
            copied: BTreeSet::new(),
            pages: BTreeMap::new(),
        });
        ClaimTable {
            config,
            claims: BTreeMap::new(),
            expiry: BTreeSet::new(),
            warming,
        }
    }

    /// Grants or refuses a claim. It is granted if the key is free, or if every holder is for the
    /// same request and is either the claiming attempt itself or listed in `never_started`.
    pub fn claim(&mut self, now_us: u64, claim: &Claim) -> ClaimReply {
        self.purge(now_us);
        if self.is_warming(now_us) {
            return ClaimReply::Warming;
        }
        match self.claims.get(&claim.key) {
            Some(state) => {
                if let Some(&(holder, fingerprint)) = state.conflicting_holder(claim) {
                    return ClaimReply::Held {
                        holder,
                        fingerprint,
                    };
                }
            }
            None if self.claims.len() >= self.config.max_claims => return ClaimReply::Full,
            None => {}
        }
        let holder = Holder {
            attempt: claim.attempt,
            owner: claim.owner,
        };
        let state = KeyState {
            holder: (holder, claim.fingerprint),
            other_holders: Vec::new(),
            expires_us: now_us + self.config.retention_ms * 1_000,
        };
        self.insert(claim.key, state);
        ClaimReply::Granted
    }

    /// One page of at most `max` keys for a restarted keeper, starting after the key `after`.
    pub fn export(&mut self, now_us: u64, after: Option<KeyHash>, max: usize) -> ClaimCopy {
        self.purge(now_us);
        let complete = !self.is_warming(now_us);
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let claims: Vec<CopiedClaim> = self
            .claims
            .range((start, Bound::Unbounded))
            .take(max.max(1))
            .map(|(key, state)| CopiedClaim {
                key: *key,
                holders: state.holders().copied().collect(),
                remaining_us: state.expires_us.saturating_sub(now_us),
            })
            .collect();
        let is_last = claims.len() < max.max(1);
        ClaimCopy {
            complete,
            after,
            next: claims.last().filter(|_| !is_last).map(|c| c.key),
            claims,
        }
    }

    /// Merges one page that was requested at `requested_us` from the keeper with index `from`. A
    /// page that was requested before `copy_from_us`, or arrives out of order, is merged but
    /// doesn't count towards a complete copy.
    pub fn import(&mut self, now_us: u64, requested_us: u64, from: usize, copy: &ClaimCopy) {
        self.purge(now_us);
        for claim in &copy.claims {
            self.merge(now_us, claim);
        }
        let copies_needed = (self.config.keepers.saturating_sub(1)) / 2 + 1;
        let Some(warming) = &mut self.warming else {
            return;
        };
        if requested_us < warming.copy_from_us || !copy.complete {
            return;
        }
        if copy.after.is_some() && warming.pages.get(&from) != Some(&copy.after) {
            return;
        }
        warming.pages.insert(from, copy.next);
        if copy.next.is_none() {
            warming.copied.insert(from);
        }
        if warming.copied.len() >= copies_needed {
            self.warming = None;
        }
    }

    /// Whether the table still replies `Warming`. That ends once the tables of a majority of the
    /// other keepers have been copied, or once every claim of the earlier run has expired.
    pub fn is_warming(&mut self, now_us: u64) -> bool {
        if self.warming.as_ref().is_some_and(|w| now_us >= w.until_us) {
            self.warming = None;
        }
        self.warming.is_some()
    }

    /// Time from which a warming table may request copies from the other keepers; `None` if it is
    /// not warming.
    pub fn copy_from_us(&self) -> Option<u64> {
        self.warming.as_ref().map(|w| w.copy_from_us)
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds the holders of a copied key. If the copies disagree, all holders are kept: dropping one
    /// could lose the only record of an attempt that ran.
    fn merge(&mut self, now_us: u64, copied: &CopiedClaim) {
        let mut expires_us = now_us + copied.remaining_us;
        let mut holders: Vec<HolderRequest> = Vec::new();
        if let Some(state) = self.claims.get(&copied.key) {
            expires_us = expires_us.max(state.expires_us);
            holders.extend(state.holders());
        }
        for holder in &copied.holders {
            if !holders.contains(holder) {
                holders.push(*holder);
            }
        }
        if holders.is_empty() {
            return;
        }
        let holder = holders.remove(0);
        let state = KeyState {
            holder,
            other_holders: holders,
            expires_us,
        };
        self.insert(copied.key, state);
    }

    fn insert(&mut self, key: KeyHash, state: KeyState) {
        let expires_us = state.expires_us;
        if let Some(old) = self.claims.insert(key, state) {
            self.expiry.remove(&(old.expires_us, key));
        }
        self.expiry.insert((expires_us, key));
    }

    /// Drops claims whose retention has ended.
    fn purge(&mut self, now_us: u64) {
        while let Some(&(expires_us, key)) = self.expiry.first() {
            if expires_us > now_us {
                return;
            }
            self.expiry.pop_first();
            self.claims.remove(&key);
        }
    }
}
