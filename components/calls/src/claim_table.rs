//! The keeper's table of idempotency keys.

use crate::{Fingerprint, KeyHash, ROUND_MAX_US};
use model::{AttemptId, NodeId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Longest deadline of a keyed call in milliseconds. With the life of the call records it stays
/// below the retention of claims, so a claim outlives the call that it protects.
pub const MAX_KEYED_CALL_MS: u64 = 540_000;

/// How long a restarted keeper waits before it copies claims: a round that counts a grant of its
/// earlier run has ended by then at every entry, and the other grants are in the copies.
const COPY_WAIT_US: u64 = 2 * ROUND_MAX_US;

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
    pub key: KeyHash,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that will run.
    pub attempt: AttemptId,
    /// The owner that the attempt will be sent to.
    pub owner: NodeId,
    /// Attempts that are confirmed as not started and never to be started.
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
    /// The keeper restarted and does not know its earlier claims yet.
    Warming,
    /// The table is full.
    Full,
}

/// One claim in a copy of a keeper's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedClaim {
    /// Hash of service and idempotency key.
    pub key: KeyHash,
    /// Attempts that may run under the key, each with the hash of its request.
    pub holders: Vec<(Holder, Fingerprint)>,
    /// Rest of the retention; a duration, because keepers share no clock.
    pub remaining_us: u64,
}

/// One page of a keeper's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCopy {
    /// Whether the sender knows all its claims; a warming keeper does not.
    pub complete: bool,
    /// Key after which this page starts; `None` on the first page.
    pub after: Option<KeyHash>,
    /// Key to pass to the next `export`; `None` after the last page.
    pub next: Option<KeyHash>,
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
            max_claims: 500_000,
        }
    }
}

/// An attempt that may run under a key, with the request that it stands for.
type Tenant = (Holder, Fingerprint);

/// One key. A second tenant is rare: it appears if copies of two keepers name different ones.
#[derive(Debug)]
struct Held {
    tenant: Tenant,
    others: Vec<Tenant>,
    expires_us: u64,
}

impl Held {
    fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        std::iter::once(&self.tenant).chain(&self.others)
    }

    /// The tenant that keeps `claim` from being granted, if any.
    fn blocking(&self, claim: &Claim) -> Option<&Tenant> {
        self.tenants().find(|(holder, fingerprint)| {
            let is_settled =
                holder.attempt == claim.attempt || claim.never_started.contains(&holder.attempt);
            !is_settled || *fingerprint != claim.fingerprint
        })
    }
}

/// Progress of the copies that a restarted keeper needs.
#[derive(Debug)]
struct Warming {
    copy_from_us: u64,
    until_us: u64,
    /// Keepers copied in full.
    copied: BTreeSet<usize>,
    /// Next page expected of each keeper.
    pages: BTreeMap<usize, Option<KeyHash>>,
}

/// Claims of one keeper.
#[derive(Debug)]
pub struct ClaimTable {
    config: ClaimConfig,
    /// Ordered, so that copies can be taken in pages.
    claims: BTreeMap<KeyHash, Held>,
    expiry: BTreeSet<(u64, KeyHash)>,
    warming: Option<Warming>,
}

impl ClaimTable {
    /// An empty table; after `ClaimStart::Restarted` it replies `Warming` until it has copies.
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

    /// Grants or refuses a claim. It is granted if the key is free, or if every holder is the same
    /// attempt or listed in `over`.
    pub fn claim(&mut self, now_us: u64, claim: &Claim) -> ClaimReply {
        self.purge(now_us);
        if self.is_warming(now_us) {
            return ClaimReply::Warming;
        }
        match self.claims.get(&claim.key) {
            Some(held) => {
                if let Some(&(holder, fingerprint)) = held.blocking(claim) {
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
        let held = Held {
            tenant: (holder, claim.fingerprint),
            others: Vec::new(),
            expires_us: now_us + self.config.retention_ms * 1_000,
        };
        self.put(claim.key, held);
        ClaimReply::Granted
    }

    /// One page of at most `max` claims for a restarted keeper, after the key `after`.
    pub fn export(&mut self, now_us: u64, after: Option<KeyHash>, max: usize) -> ClaimCopy {
        self.purge(now_us);
        let complete = !self.is_warming(now_us);
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let claims: Vec<CopiedClaim> = self
            .claims
            .range((start, Bound::Unbounded))
            .take(max.max(1))
            .map(|(key, held)| CopiedClaim {
                key: *key,
                holders: held.tenants().copied().collect(),
                remaining_us: held.expires_us.saturating_sub(now_us),
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

    /// Takes over one page that was requested at `requested_us` from the keeper with index `from`.
    /// A page that was requested before `copy_from_us` or comes out of order is merged but does
    /// not count as part of a complete copy.
    pub fn import(&mut self, now_us: u64, requested_us: u64, from: usize, copy: &ClaimCopy) {
        self.purge(now_us);
        for claim in &copy.claims {
            self.merge(now_us, claim);
        }
        let needed = (self.config.keepers.saturating_sub(1)) / 2 + 1;
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
        if warming.copied.len() >= needed {
            self.warming = None;
        }
    }

    /// Whether the table still replies `Warming`. It ends with the copies of a majority of the
    /// other keepers, or when every claim of the earlier run has expired.
    pub fn is_warming(&mut self, now_us: u64) -> bool {
        if self.warming.as_ref().is_some_and(|w| now_us >= w.until_us) {
            self.warming = None;
        }
        self.warming.is_some()
    }

    /// When a warming table may ask the other keepers for copies; `None` if it is not warming.
    pub fn copy_from_us(&self) -> Option<u64> {
        self.warming.as_ref().map(|w| w.copy_from_us)
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds the holders of a copied claim. Holders that the copies disagree on are all kept:
    /// dropping one of them could drop the only trace of an attempt that ran.
    fn merge(&mut self, now_us: u64, copied: &CopiedClaim) {
        let mut expires_us = now_us + copied.remaining_us;
        let mut tenants: Vec<Tenant> = Vec::new();
        if let Some(held) = self.claims.get(&copied.key) {
            expires_us = expires_us.max(held.expires_us);
            tenants.extend(held.tenants());
        }
        for tenant in &copied.holders {
            if !tenants.contains(tenant) {
                tenants.push(*tenant);
            }
        }
        if tenants.is_empty() {
            return;
        }
        let tenant = tenants.remove(0);
        let held = Held {
            tenant,
            others: tenants,
            expires_us,
        };
        self.put(copied.key, held);
    }

    fn put(&mut self, key: KeyHash, held: Held) {
        let expires_us = held.expires_us;
        if let Some(old) = self.claims.insert(key, held) {
            self.expiry.remove(&(old.expires_us, key));
        }
        self.expiry.insert((expires_us, key));
    }

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
