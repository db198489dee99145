//! Short reports of other components, spread until their time to live ends.

use crate::{
    info::{MAX_REPORT_BYTES, MemberError},
    wire::Extra,
};
use std::collections::{BTreeSet, VecDeque};

/// Most reports in one datagram.
pub(crate) const MAX_PER_DATAGRAM: usize = 4;
/// Most reports being spread at once.
const MAX_ACTIVE: usize = 64;
/// Ids remembered so that a report is delivered once.
const MAX_SEEN: usize = 1_024;

#[derive(Debug)]
struct Active {
    id: u64,
    expires_us: u64,
    bytes: Vec<u8>,
    sent: u32,
    remote_rounds: u32,
}

/// Reports being spread and the ids of those already delivered.
#[derive(Debug, Default)]
pub(crate) struct Extras {
    active: Vec<Active>,
    seen: BTreeSet<u64>,
    seen_order: VecDeque<u64>,
}

impl Extras {
    fn mark_seen(&mut self, id: u64) -> bool {
        if !self.seen.insert(id) {
            return false;
        }
        self.seen_order.push_back(id);
        if self.seen_order.len() > MAX_SEEN
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }

    /// Starts spreading a local report.
    pub(crate) fn share(
        &mut self,
        now_us: u64,
        id: u64,
        bytes: Vec<u8>,
        ttl_ms: u32,
    ) -> Result<(), MemberError> {
        if bytes.len() > MAX_REPORT_BYTES {
            return Err(MemberError::ReportTooLong { bytes: bytes.len() });
        }
        self.expire(now_us);
        if self.active.len() >= MAX_ACTIVE {
            return Err(MemberError::TooManyReports);
        }
        self.mark_seen(id);
        self.push(now_us, id, bytes, ttl_ms);
        Ok(())
    }

    fn push(&mut self, now_us: u64, id: u64, bytes: Vec<u8>, ttl_ms: u32) {
        self.active.push(Active {
            id,
            expires_us: now_us + u64::from(ttl_ms) * 1_000,
            bytes,
            sent: 0,
            remote_rounds: 0,
        });
    }

    /// Takes a report from a peer; returns its bytes if it is new.
    pub(crate) fn receive(&mut self, now_us: u64, extra: Extra) -> Option<Vec<u8>> {
        if extra.bytes.len() > MAX_REPORT_BYTES || !self.mark_seen(extra.id) {
            return None;
        }
        if extra.ttl_ms > 0 && self.active.len() < MAX_ACTIVE {
            self.push(now_us, extra.id, extra.bytes.clone(), extra.ttl_ms);
        }
        Some(extra.bytes)
    }

    pub(crate) fn expire(&mut self, now_us: u64) {
        self.active.retain(|active| active.expires_us > now_us);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub(crate) fn has_remote(&self, rounds: u32) -> bool {
        self.active
            .iter()
            .any(|active| active.remote_rounds < rounds)
    }

    /// Reports for one datagram, least sent first.
    pub(crate) fn pick(&mut self, now_us: u64, limit: u32) -> Vec<Extra> {
        self.active.sort_by_key(|active| active.sent);
        let mut picked = Vec::new();
        for active in self.active.iter_mut().take(MAX_PER_DATAGRAM) {
            active.sent += 1;
            picked.push(active.extra(now_us));
        }
        self.active.retain(|active| active.sent < limit);
        picked
    }

    /// Reports for one round to other regions.
    pub(crate) fn pick_remote(&mut self, now_us: u64, rounds: u32) -> Vec<Extra> {
        let mut picked = Vec::new();
        let due = self
            .active
            .iter_mut()
            .filter(|active| active.remote_rounds < rounds);
        for active in due.take(MAX_PER_DATAGRAM) {
            active.remote_rounds += 1;
            picked.push(active.extra(now_us));
        }
        picked
    }
}

impl Active {
    fn extra(&self, now_us: u64) -> Extra {
        let left_ms = self.expires_us.saturating_sub(now_us) / 1_000;
        Extra {
            id: self.id,
            ttl_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
            bytes: self.bytes.clone(),
        }
    }
}
