//! Timer of the pool: deadlines of calls and idle connections.

use super::{Inner, State, connection::PendingCall, lock};
use crate::wake_timer::WakeTimer;
use std::{
    sync::Weak,
    time::{Duration, Instant},
};

/// How often a closed pool checks whether its last call has ended.
const CLOSING_CHECK: Duration = Duration::from_millis(500);

/// Result of a timer check.
struct TimerCheck {
    /// Time of the next check, if any call or connection needs one.
    next: Option<Instant>,
    /// Queued calls that were cancelled or whose deadline has passed.
    abandoned: Vec<PendingCall>,
    /// Whether the pool is closed and has no connection.
    is_finished: bool,
}

/// Ends calls at their deadline and closes connections that reach the idle timeout.
pub(super) fn run_timer(timer: &WakeTimer, pool: &Weak<Inner>) {
    loop {
        timer.wait();
        let Some(inner) = pool.upgrade() else { return };
        let check = inner.expire(Instant::now());
        check
            .abandoned
            .into_iter()
            .for_each(PendingCall::fail_unsent);
        if check.is_finished {
            return;
        }
        if let Some(next) = check.next {
            timer.wake_at(next);
        }
    }
}

impl Inner {
    /// Ends calls at their deadline and closes connections at the idle timeout.
    fn expire(&self, now: Instant) -> TimerCheck {
        let mut state = lock(&self.state);
        let next_deadline = state.expire_busy(now);
        let abandoned = state.take_abandoned();
        let next_waiting = state.waiting.iter().map(|call| call.deadline).min();
        let next_idle = state.expire_idle(now, self.idle_timeout());
        let is_finished = state.is_closed && state.open_count == 0;
        let closing_check = (state.is_closed && !is_finished).then(|| now + CLOSING_CHECK);
        let next = [next_deadline, next_waiting, next_idle, closing_check]
            .into_iter()
            .flatten()
            .min();
        TimerCheck {
            next,
            abandoned,
            is_finished,
        }
    }
}

impl State {
    /// Shuts down the connections whose call has reached its deadline; returns the next deadline.
    fn expire_busy(&self, now: Instant) -> Option<Instant> {
        let mut next: Option<Instant> = None;
        for connection in self.busy.values() {
            let mut connection_state = connection.state();
            if let Some(deadline) = connection_state.call.as_ref().map(|call| call.deadline) {
                if deadline <= now {
                    connection_state.has_timed_out = true;
                    connection.shut_down();
                } else {
                    next = Some(next.map_or(deadline, |other| other.min(deadline)));
                }
            }
        }
        next
    }

    /// Takes the queued calls that were cancelled or whose deadline has passed.
    fn take_abandoned(&mut self) -> Vec<PendingCall> {
        let (abandoned, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(PendingCall::is_abandoned);
        self.waiting = waiting.into();
        abandoned
    }

    /// Closes the connections that were idle for `timeout`; returns when the next one will be.
    fn expire_idle(&mut self, now: Instant, timeout: Duration) -> Option<Instant> {
        self.idle.retain(|(connection, since)| {
            let is_expired = now.saturating_duration_since(*since) >= timeout;
            if is_expired {
                connection.shut_down();
            }
            !is_expired
        });
        self.idle.iter().map(|(_, since)| *since + timeout).min()
    }
}
