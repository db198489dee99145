//! Answers to recent changes, kept so that a resent change gets its first answer and isn't applied
//! again.

use crate::change::{Change, ChangeId, ChangeResult};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of kept answers to accepted changes: seven days at 3,400 changes per day.
pub const MAX_KEPT_ACCEPTED: usize = 24_000;
/// Maximum number of kept answers to rejected changes. Separate, so that a script that keeps
/// sending rejected changes can't evict the answers to accepted ones.
pub const MAX_KEPT_REJECTED: usize = 4_096;
/// Age, in log entries, after which an answer is dropped even if there is room.
pub const MAX_ANSWER_AGE_ENTRIES: u64 = 100_000;

/// The kept answer to one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Log index of the change.
    index: u64,
    change_id: ChangeId,
    pub(crate) fingerprint: u32,
    pub(crate) result: ChangeResult,
}

/// Kept answers by change id. The oldest in log order are dropped first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Answer>", into = "Vec<Answer>")]
pub(crate) struct Answers {
    by_id: HashMap<ChangeId, Answer>,
    /// Accepted changes by log index.
    accepted: BTreeMap<u64, ChangeId>,
    /// Rejected changes by log index.
    rejected: BTreeMap<u64, ChangeId>,
}

impl From<Vec<Answer>> for Answers {
    fn from(list: Vec<Answer>) -> Self {
        let mut answers = Answers::default();
        for answer in list {
            answers.insert(answer);
        }
        answers
    }
}

impl From<Answers> for Vec<Answer> {
    fn from(answers: Answers) -> Self {
        let mut list: Vec<Answer> = answers.by_id.into_values().collect();
        list.sort_unstable_by_key(|answer| answer.index);
        list
    }
}

impl Answers {
    pub(crate) fn get(&self, change_id: &ChangeId) -> Option<&Answer> {
        self.by_id.get(change_id)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Keeps the answer to the change at a log index and drops answers beyond the limits.
    pub(crate) fn keep(&mut self, index: u64, change: &Change, result: ChangeResult) {
        self.insert(Answer {
            index,
            change_id: change.change_id,
            fingerprint: change.fingerprint(),
            result,
        });
        self.drop_expired(index);
    }

    fn insert(&mut self, answer: Answer) {
        let order = match answer.result {
            ChangeResult::Accepted { .. } => &mut self.accepted,
            ChangeResult::Rejected(..) => &mut self.rejected,
        };
        order.insert(answer.index, answer.change_id);
        self.by_id.insert(answer.change_id, answer);
    }

    fn drop_expired(&mut self, index: u64) {
        let oldest_kept = index.saturating_sub(MAX_ANSWER_AGE_ENTRIES);
        let orders = [
            (&mut self.accepted, MAX_KEPT_ACCEPTED),
            (&mut self.rejected, MAX_KEPT_REJECTED),
        ];
        for (order, limit) in orders {
            while let Some(entry) = order.first_entry() {
                let is_too_old = *entry.key() < oldest_kept;
                let change_id = *entry.get();
                if !is_too_old && order.len() <= limit {
                    break;
                }
                order.pop_first();
                self.by_id.remove(&change_id);
            }
        }
    }
}
