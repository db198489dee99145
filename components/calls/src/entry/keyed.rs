//! The part of the call state machine that claims idempotency keys and queries their holders.

use super::{Action, EntryCall, State, backoff_us};
use crate::{AttemptStatus, Holder};
use errors::ErrorKind;
use model::{AttemptId, CallId};

/// First delay before the status of a key's holder is queried: a few round trips between
/// availability zones.
const HOLDER_DELAY_US: u64 = 10_000;

/// Range of the jitter that is added to `HOLDER_DELAY_US`.
const HOLDER_JITTER_US: u64 = 10_000;

/// Odd factor near 2^64 divided by the golden ratio; it spreads the jitter of consecutive calls.
const JITTER_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Maximum number of attempts listed in a claim: own attempts (at most 10) and holders of the key
/// that never started.
const MAX_NEVER_STARTED: usize = 24;

impl<U: Copy + Eq> EntryCall<U> {
    /// Claims the key for an attempt.
    pub(super) fn claim(&mut self, index: usize) {
        if self.never_started.len() > MAX_NEVER_STARTED {
            self.attempts[index].state = State::NotRun;
            self.fail(ErrorKind::KeyUnconfirmed);
            return;
        }
        self.attempts[index].state = State::Claiming;
        self.actions.push(Action::Claim {
            attempt: self.attempt_id(index),
            upstream: self.attempts[index].upstream,
            never_started: self.never_started.clone(),
        });
    }

    pub(super) fn on_claimed(&mut self, now_us: u64, attempt: AttemptId) {
        let Some(index) = self.index_if(attempt, |s| s == State::Claiming) else {
            return;
        };
        if now_us < self.spec.deadline_us {
            self.send(now_us, index);
        }
    }

    pub(super) fn on_claim_held(&mut self, now_us: u64, attempt: AttemptId, holder: Holder) {
        let Some(index) = self.index_if(attempt, |s| s == State::Claiming) else {
            return;
        };
        self.wait_for_holder(now_us, index, holder);
    }

    /// Delays the status query so that the holder's message reaches its owner first; a query that
    /// overtakes the message keeps the holder from ever starting. The jitter keeps two entries from
    /// stopping each other's attempts again and again.
    pub(super) fn wait_for_holder(&mut self, now_us: u64, index: usize, holder: Holder) {
        let CallId { origin, sequence } = self.spec.call;
        let mixed = origin.wrapping_add(sequence).wrapping_mul(JITTER_FACTOR) >> 32;
        let jitter_us = mixed % HOLDER_JITTER_US;
        let due_us = now_us + backoff_us(HOLDER_DELAY_US + jitter_us, self.attempts[index].queries);
        self.attempts[index].queries += 1;
        self.attempts[index].state = State::HolderWait { holder, due_us };
    }

    pub(super) fn on_claim_failed(&mut self, attempt: AttemptId, kind: ErrorKind) {
        if let Some(index) = self.index_if(attempt, |s| s == State::Claiming) {
            self.attempts[index].state = State::NotRun;
            self.fail(kind);
        }
    }

    /// The attempt that waits for the status of a holder, and that holder.
    pub(super) fn waiting_for_status_of(&self, holder: AttemptId) -> Option<(usize, Holder)> {
        self.attempts
            .iter()
            .enumerate()
            .find_map(|(index, attempt)| match attempt.state {
                State::HolderQueried(h) if h.attempt == holder => Some((index, h)),
                _ => None,
            })
    }

    pub(super) fn on_holder_status(&mut self, holder: AttemptId, status: AttemptStatus) {
        let Some((index, _)) = self.waiting_for_status_of(holder) else {
            return;
        };
        if status == AttemptStatus::NotStarted {
            self.never_started.push(holder);
            self.claim(index);
            return;
        }
        self.attempts[index].state = State::NotRun;
        match status {
            AttemptStatus::Answered(answer) => self.deliver(holder, answer),
            AttemptStatus::Running => self.fail(ErrorKind::KeyInProgress),
            _ => self.fail(ErrorKind::KeyOutcomeUnknown),
        }
    }

    pub(super) fn on_holder_status_unavailable(&mut self, now_us: u64, holder: AttemptId) {
        if let Some((index, holder)) = self.waiting_for_status_of(holder) {
            self.wait_for_holder(now_us, index, holder);
        }
    }
}
