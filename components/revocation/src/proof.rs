//! The node's proof that its configuration was the newest at some moment.
//!
//! Workload: a key is taken back while any node may be cut off from the control group, frozen for
//! seconds, or connected to a deposed leader. Times are readings of a clock that counts suspension.

use model::Revision;
use std::collections::VecDeque;

/// Most questions whose answers are awaited, and most answers that wait for their revision.
const MAX_KEPT: usize = 16;
/// Part of the bound that is kept back, since the clocks of two hosts may run at different rates.
const RATE_MARGIN_DIVISOR: u64 = 50;

/// A question of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AskId(u64);

/// A question that was sent, with the time before its sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Ask {
    id: AskId,
    asked_us: u64,
}

/// An answer: `revision` was the group's at some moment after `asked_us`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Answer {
    asked_us: u64,
    revision: Revision,
}

/// Whether this node may accept keys: only while it holds an answer younger than the bound whose
/// revision it has. A key that was taken back before the question is then missing in its
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevocationProof {
    bound_us: u64,
    next_id: u64,
    asks: VecDeque<Ask>,
    /// Answers whose revision this node doesn't have yet.
    waiting: VecDeque<Answer>,
    /// Time of the question of the newest valid answer.
    dated_us: Option<u64>,
}

impl RevocationProof {
    /// A node without a proof. A revoked key must not be accepted later than `bound_us` after the
    /// revocation.
    pub fn new(bound_us: u64) -> Self {
        RevocationProof {
            bound_us: bound_us - bound_us / RATE_MARGIN_DIVISOR,
            next_id: 0,
            asks: VecDeque::new(),
            waiting: VecDeque::new(),
            dated_us: None,
        }
    }

    /// Records a question; call it before the question is sent, with the time before that.
    pub fn ask(&mut self, now_us: u64) -> AskId {
        let id = AskId(self.next_id);
        self.next_id += 1;
        push_bounded(
            &mut self.asks,
            Ask {
                id,
                asked_us: now_us,
            },
        );
        id
    }

    /// Applies the answer to a question: the group's revision was `revision` after the question had
    /// arrived, and `own` is this node's. Returns whether this node lacks that revision.
    pub fn on_answer(&mut self, ask: AskId, revision: Revision, own: Revision) -> bool {
        let Some(index) = self.asks.iter().position(|known| known.id == ask) else {
            return false;
        };
        let Some(Ask { asked_us, .. }) = self.asks.remove(index) else {
            return false;
        };
        push_bounded(&mut self.waiting, Answer { asked_us, revision });
        self.on_revision(own);
        revision > own
    }

    /// Forgets a question that gets no answer.
    pub fn on_failure(&mut self, ask: AskId) {
        self.asks.retain(|known| known.id != ask);
    }

    /// Applies the answers that waited for a revision up to `own`, which must be in effect.
    pub fn on_revision(&mut self, own: Revision) {
        let has_revision = |answer: &&Answer| answer.revision <= own;
        let newest = self.waiting.iter().filter(has_revision);
        self.dated_us = newest
            .map(|answer| answer.asked_us)
            .chain(self.dated_us)
            .max();
        let dated_us = self.dated_us;
        self.waiting
            .retain(|answer| answer.revision > own && Some(answer.asked_us) > dated_us);
    }

    /// Whether keys may be accepted now. The table of keys must be read after this check: one that
    /// was read before it may be older than the proof.
    pub fn is_fresh(&self, now_us: u64) -> bool {
        self.age_us(now_us)
            .is_some_and(|age_us| age_us < self.bound_us)
    }

    /// Age of the proof; `None` before the first one.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.dated_us
            .map(|dated_us| now_us.saturating_sub(dated_us))
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == MAX_KEPT {
        queue.pop_front();
    }
    queue.push_back(item);
}
