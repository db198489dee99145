//! The part of the replicated log that is kept in memory.

use crate::state::{Entry, Membership, Payload};
use std::collections::VecDeque;

/// Entries after the base index, and the memberships among them. Entries up to the base are
/// covered by a snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    base_membership: Membership,
    entries: VecDeque<Entry>,
    /// Membership entries with their indexes, in log order.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64, base_membership: Membership) -> Self {
        Log {
            base_index,
            base_term,
            base_membership,
            entries: VecDeque::new(),
            memberships: Vec::new(),
        }
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at `index`; `None` before the base and after the end.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The latest membership; it applies even before its entry is committed.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships
            .last()
            .map_or(&self.base_membership, |(_, membership)| membership)
    }

    /// Index of the entry with the latest membership; 0 if the membership comes from the base.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// The membership as of the entry at `index`.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.base_membership, |(_, membership)| membership)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Entries starting at `from`, limited to `max_bytes` in total but at least one, and their size
    /// in bytes.
    pub(crate) fn slice(&self, from: u64, max_bytes: usize) -> (Vec<Entry>, usize) {
        let mut slice = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            if !slice.is_empty() && bytes + entry.size_bytes() > max_bytes {
                break;
            }
            bytes += entry.size_bytes();
            slice.push(entry.clone());
            index += 1;
        }
        (slice, bytes)
    }

    /// Drops the entry at `index` and all later ones.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Drops entries up to `index` and makes it the base; does nothing if `index` is not in the
    /// log.
    pub(crate) fn compact_to(&mut self, index: u64) {
        let Some(term) = self.term(index).filter(|_| index > self.base_index) else {
            return;
        };
        self.base_membership = self.membership_at(index).clone();
        self.memberships.retain(|(at, _)| *at > index);
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
    }

    /// Highest index at which this log may equal one that has another entry at `index`. Skips all
    /// entries of the term found there, so that the leader needs one message per term.
    pub(crate) fn conflict_hint(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else {
            return self.last_index().min(index);
        };
        let mut hint = index;
        while hint > self.base_index && self.term(hint) == Some(term) {
            hint -= 1;
        }
        hint
    }
}
