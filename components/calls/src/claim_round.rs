//! The entry's side of a key claim: one request to all keepers and the count of their replies.

use crate::{ClaimReply, Holder};
use model::Fingerprint;

/// Longest duration of a round. A restarted keeper waits longer than this before it copies claims,
/// so that a round which counted a grant of its earlier run has ended by then, and the grants of
/// the other keepers to that round are in the copies.
pub const ROUND_MAX_US: u64 = 1_000_000;

/// How a [`ClaimRound`] ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundResult {
    /// A majority granted the claim; the attempt may be sent.
    Granted,
    /// Another attempt holds the key; the status of that attempt must be queried at its owner
    /// before the next round.
    Held(Holder),
    /// The key is held for a different request.
    Reused,
    /// No majority granted the claim, and no keeper named a holder.
    Unconfirmed,
}

/// Counts the replies of the keepers to one claim until a majority has granted it or no longer can.
/// Replies to the claim of another round, even for the same attempt, must not be passed to it.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    ends_us: u64,
    fingerprint: Fingerprint,
    replies: Vec<Option<Option<ClaimReply>>>,
    is_decided: bool,
}

impl ClaimRound {
    /// A new round over `keepers` keepers; the caller sends the claim to each of them.
    pub fn new(now_us: u64, keepers: usize, fingerprint: Fingerprint) -> Self {
        ClaimRound {
            ends_us: now_us + ROUND_MAX_US,
            fingerprint,
            replies: vec![None; keepers],
            is_decided: false,
        }
    }

    /// Time at which `tick` must be called if the round is not decided earlier.
    pub fn ends_us(&self) -> u64 {
        self.ends_us
    }

    /// Counts the reply of the keeper with index `keeper`, `None` if it can't be reached. Only the
    /// first reply of each keeper counts. Returns the result once, when the round is decided.
    pub fn on_reply(
        &mut self,
        now_us: u64,
        keeper: usize,
        reply: Option<ClaimReply>,
    ) -> Option<RoundResult> {
        if now_us >= self.ends_us {
            return self.tick(now_us);
        }
        let first_reply = self.replies.get_mut(keeper)?;
        if first_reply.is_none() {
            *first_reply = Some(reply);
        }
        self.decide(false)
    }

    /// Ends the round if `ROUND_MAX_US` have passed since its start.
    pub fn tick(&mut self, now_us: u64) -> Option<RoundResult> {
        self.decide(now_us >= self.ends_us)
    }

    /// Grants count only before the end of the round, see `ROUND_MAX_US`.
    fn decide(&mut self, has_timed_out: bool) -> Option<RoundResult> {
        if self.is_decided {
            return None;
        }
        let majority = self.replies.len() / 2 + 1;
        let pending = self.replies.iter().filter(|r| r.is_none()).count();
        let granted = self.count_granted();
        let result = if granted >= majority && !has_timed_out {
            RoundResult::Granted
        } else if has_timed_out || granted + pending < majority {
            self.not_granted()
        } else {
            return None;
        };
        self.is_decided = true;
        Some(result)
    }

    fn count_granted(&self) -> usize {
        self.replies
            .iter()
            .filter(|r| matches!(r, Some(Some(ClaimReply::Granted))))
            .count()
    }

    /// The result of a round without a majority. It names the holder that most keepers report: the
    /// holder at a majority may have run, while the holder at a minority mostly lost a race for the
    /// key.
    fn not_granted(&self) -> RoundResult {
        let holders = || {
            self.replies
                .iter()
                .flatten()
                .filter_map(|reply| match reply {
                    Some(ClaimReply::Held {
                        holder,
                        fingerprint,
                    }) => Some((*holder, *fingerprint)),
                    _ => None,
                })
        };
        let Some((holder, fingerprint)) =
            holders().max_by_key(|held| holders().filter(|h| h == held).count())
        else {
            return RoundResult::Unconfirmed;
        };
        if fingerprint == self.fingerprint {
            RoundResult::Held(holder)
        } else {
            RoundResult::Reused
        }
    }
}
