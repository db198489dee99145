//! The end of attempts and the expiry of their records, marks and answers.

use super::{CallRecords, MESSAGE_DELAY_US, State};
use model::AttemptId;
use std::collections::BTreeSet;

impl CallRecords {
    /// Sets the final state of an attempt and schedules the expiry of its record.
    pub(super) fn end(&mut self, awake_us: u64, attempt: AttemptId, state: State) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let retention_us = self.config.retention_ms * 1_000;
        let due_us = match state {
            State::Answered(_) => awake_us + retention_us,
            State::NotStarted => record.messages_until_us.max(awake_us + MESSAGE_DELAY_US),
            _ => record.messages_until_us.max(awake_us + retention_us),
        };
        record.state = state;
        record.mark_ends_us = awake_us + self.config.keyed_retention_ms * 1_000;
        self.schedule(attempt, due_us);
    }

    fn schedule(&mut self, attempt: AttemptId, due_us: u64) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Some(old_us) = record.due_us.replace(due_us) {
            self.timers.remove(&(old_us, attempt));
        }
        self.timers.insert((due_us, attempt));
    }

    /// Advances the clock to `now_us`, applies all expiries that are due and returns the awake
    /// time.
    pub(super) fn advance(&mut self, now_us: u64) -> u64 {
        let awake_us = self.clock.advance(now_us);
        while let Some(attempt) = pop_due(&mut self.timers, awake_us) {
            self.on_expired(awake_us, attempt);
        }
        while let Some(attempt) = pop_due(&mut self.evictable_marks, awake_us) {
            self.drop_record(attempt);
        }
        awake_us
    }

    /// Drops the answer of an expired record, then the record itself. The mark of a keyed attempt
    /// stays, because a claim may still name the attempt.
    fn on_expired(&mut self, awake_us: u64, attempt: AttemptId) {
        self.drop_answer(attempt);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        record.due_us = None;
        if awake_us < record.messages_until_us {
            let due_us = record.messages_until_us;
            self.schedule(attempt, due_us);
            return;
        }
        let is_tombstone = matches!(record.state, State::NotStarted);
        if record.keyed && !is_tombstone && awake_us < record.mark_ends_us {
            record.state = State::Forgotten;
            self.evictable_marks.insert((record.mark_ends_us, attempt));
            return;
        }
        self.drop_record(attempt);
    }

    pub(super) fn drop_record(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.remove(&attempt) {
            let started = !matches!(record.state, State::NotStarted);
            let call = attempt.call;
            self.entries
                .drop_record(call.origin, call.sequence, started, record.keyed);
        }
    }

    /// Drops a kept answer and leaves a mark.
    fn drop_answer(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt)
            && let State::Answered(answer) = &record.state
        {
            self.answer_bytes -= answer.len();
            record.state = State::Forgotten;
        }
        while let Some(front) = self.answers.front() {
            let is_kept = self
                .records
                .get(front)
                .is_some_and(|r| matches!(r.state, State::Answered(_)));
            if is_kept {
                break;
            }
            self.answers.pop_front();
        }
    }

    /// Drops the oldest answers while they exceed the byte limit; their marks stay.
    pub(super) fn limit_answer_bytes(&mut self) {
        while self.answer_bytes > self.config.max_bytes {
            let Some(&oldest) = self.answers.front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }
}

/// Takes the first attempt whose time has been reached.
fn pop_due(times: &mut BTreeSet<(u64, AttemptId)>, awake_us: u64) -> Option<AttemptId> {
    let &(due_us, attempt) = times.first()?;
    if due_us > awake_us {
        return None;
    }
    times.pop_first();
    Some(attempt)
}
