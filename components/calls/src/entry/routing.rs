//! The part of the call state machine that chooses upstreams and sends attempts.

use super::{Action, Attempt, EntryCall, Pending, State, attempt::is_lack_of_capacity};
use errors::ErrorKind;

impl<U: Copy + Eq> EntryCall<U> {
    pub(super) fn route(&mut self) {
        self.pending = Pending::Route;
        let mut exclude: Vec<U> = Vec::new();
        for attempt in &self.attempts {
            // An owner without capacity may have some by now; the choice decides by the load signal
            // that came with its refusal.
            let may_be_chosen_again =
                self.spec.moves > 0 && attempt.refusal.is_some_and(is_lack_of_capacity);
            if !may_be_chosen_again && !exclude.contains(&attempt.upstream) {
                exclude.push(attempt.upstream);
            }
        }
        self.actions.push(Action::Route { exclude });
    }

    pub(super) fn on_routed(&mut self, now_us: u64, upstream: U) {
        if now_us >= self.spec.deadline_us || !self.take_pending(Pending::Route) {
            return;
        }
        let index = self.attempts.len();
        self.attempts.push(Attempt {
            upstream,
            state: State::Claiming,
            refusal: None,
            queries: 0,
        });
        if self.spec.keyed {
            self.claim(index);
        } else {
            self.send(now_us, index);
        }
    }

    pub(super) fn on_no_route(&mut self, kind: ErrorKind) {
        if self.take_pending(Pending::Route) && !self.has_open() {
            self.query_lost_or_fail(kind);
        }
    }

    pub(super) fn send(&mut self, now_us: u64, index: usize) {
        if index == 0 && self.spec.idempotent && !self.spec.suspected {
            self.hedge_due_us = self.spec.hedge_after_us.map(|after_us| now_us + after_us);
        }
        let attempt = self.attempt_id(index);
        let upstream = self.attempts[index].upstream;
        self.attempts[index].state = State::Sent;
        self.actions.push(Action::Send { attempt, upstream });
    }
}
