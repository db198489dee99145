//! Answers kept for resent changes.

use crate::change::{Change, ChangeId, ChangeResult};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Answers to accepted changes that are kept: seven days at 3,400 changes a day.
pub const MAX_KEPT_ACCEPTED: usize = 24_000;
/// Answers to rejected changes that are kept; counted apart, so that a script that keeps sending
/// rejected changes can't push out the answers to accepted ones.
pub const MAX_KEPT_REJECTED: usize = 4_096;
/// Age, in log entries, after which an answer is dropped even if there is room.
pub const MAX_ANSWER_AGE_ENTRIES: u64 = 100_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    index: u64,
    change_id: ChangeId,
    pub(crate) fingerprint: u32,
    pub(crate) applied: ChangeResult,
}

/// Bounded answers, found by change id and dropped in the order of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Answer>", into = "Vec<Answer>")]
pub(crate) struct Answers {
    by_id: HashMap<ChangeId, Answer>,
    accepted: BTreeMap<u64, ChangeId>,
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

    pub(crate) fn keep(&mut self, index: u64, change: &Change, applied: ChangeResult) {
        self.insert(Answer {
            index,
            change_id: change.change_id,
            fingerprint: change.fingerprint(),
            applied,
        });
        self.drop_old(index);
    }

    fn insert(&mut self, answer: Answer) {
        let order = match answer.applied {
            ChangeResult::Accepted { .. } => &mut self.accepted,
            ChangeResult::Rejected(..) => &mut self.rejected,
        };
        order.insert(answer.index, answer.change_id);
        self.by_id.insert(answer.change_id, answer);
    }

    fn drop_old(&mut self, index: u64) {
        let oldest_kept = index.saturating_sub(MAX_ANSWER_AGE_ENTRIES);
        let limits = [
            (&mut self.accepted, MAX_KEPT_ACCEPTED),
            (&mut self.rejected, MAX_KEPT_REJECTED),
        ];
        for (order, limit) in limits {
            while let Some(entry) = order.first_entry() {
                let too_old = *entry.key() < oldest_kept;
                let change_id = *entry.get();
                if !too_old && order.len() <= limit {
                    break;
                }
                order.pop_first();
                self.by_id.remove(&change_id);
            }
        }
    }
}
