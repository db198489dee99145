//! The entry's side of a key claim: one question to all keepers and the count of their replies.

use crate::{ClaimReply, Fingerprint, Holder};

/// Longest duration of a round. A restarted keeper waits longer than this before it copies claims,
/// so every grant that its earlier run contributed to a round is visible at the other keepers.
pub const ROUND_MAX_US: u64 = 1_000_000;

/// Result of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundResult {
    /// A majority granted the claim; the attempt may be sent.
    Granted,
    /// Another attempt holds the key; its owner must be asked before the next round.
    Held(Holder),
    /// The key is held for a different request.
    Reused,
    /// No majority granted the claim, and no keeper named a holder.
    Unconfirmed,
}

/// Counts the replies of the keepers to one claim. Replies to the claim of another round, even for
/// the same attempt, must not be passed to it.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    ends_us: u64,
    fingerprint: Fingerprint,
    replies: Vec<Option<Option<ClaimReply>>>,
    decided: bool,
}

impl ClaimRound {
    /// A round that asks `keepers` keepers; the caller sends the claim to each of them.
    pub fn new(now_us: u64, keepers: usize, fingerprint: Fingerprint) -> Self {
        ClaimRound {
            ends_us: now_us + ROUND_MAX_US,
            fingerprint,
            replies: vec![None; keepers],
            decided: false,
        }
    }

    /// When `tick` must be called if the round is not decided earlier.
    pub fn ends_us(&self) -> u64 {
        self.ends_us
    }

    /// Counts a keeper's reply, `None` if the keeper can't be reached. The first reply of a keeper
    /// counts. Returns the result once, when it is decided.
    pub fn on_reply(
        &mut self,
        now_us: u64,
        keeper: usize,
        reply: Option<ClaimReply>,
    ) -> Option<RoundResult> {
        if now_us >= self.ends_us {
            return self.tick(now_us);
        }
        let slot = self.replies.get_mut(keeper)?;
        if slot.is_none() {
            *slot = Some(reply);
        }
        self.decide(false)
    }

    /// Ends the round when its time is over.
    pub fn tick(&mut self, now_us: u64) -> Option<RoundResult> {
        self.decide(now_us >= self.ends_us)
    }

    /// Grants count only before the end of the round, see `ROUND_MAX_US`.
    fn decide(&mut self, over: bool) -> Option<RoundResult> {
        if self.decided {
            return None;
        }
        let majority = self.replies.len() / 2 + 1;
        let silent = self.replies.iter().filter(|r| r.is_none()).count();
        let granted = self.count_granted();
        let result = if granted >= majority && !over {
            RoundResult::Granted
        } else if over || granted + silent < majority {
            self.refusal()
        } else {
            return None;
        };
        self.decided = true;
        Some(result)
    }

    fn count_granted(&self) -> usize {
        self.replies
            .iter()
            .filter(|r| matches!(r, Some(Some(ClaimReply::Granted))))
            .count()
    }

    /// Names the holder that most keepers report: a majority's holder is the one that may have run,
    /// a minority's is mostly left over from a lost race.
    fn refusal(&self) -> RoundResult {
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
