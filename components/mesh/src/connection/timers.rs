//! Timers of a connection: deadlines of requests, pings, silent peers and unused connections.

use super::{Connection, DueCallbacks, State};
use crate::{FrameKind, inner::Inner};
use std::sync::{Arc, MutexGuard, atomic::Ordering};

/// Result of a connection's timer check.
pub(crate) enum TimerCheck {
    /// Check again at this time in microseconds.
    CheckAgain(u64),
    /// The peer was silent for too long while a message waited; close the connection.
    Silent,
    /// The connection was unused for too long; close it.
    Idle,
}

impl Connection {
    /// Expires requests, sends a ping if the peer is silent, and decides whether to close.
    pub(crate) fn check_timers(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        due: &mut DueCallbacks,
    ) -> TimerCheck {
        let now_us = inner.now_us();
        let mut state = self.state();
        state.expire(now_us, due);
        let inbound_us = self.last_inbound_us.load(Ordering::Acquire);
        match state.waiting_since_us(inbound_us) {
            None => self.check_idle(inner, &mut state, now_us, inbound_us),
            Some(waiting_us) => {
                let last_sign_us = inbound_us.max(waiting_us);
                self.check_silence(inner, state, now_us, last_sign_us)
            }
        }
    }

    /// Decides whether a connection without a waiting message has been unused for too long.
    fn check_idle(
        &self,
        inner: &Inner,
        state: &mut State,
        now_us: u64,
        inbound_us: u64,
    ) -> TimerCheck {
        let limits = &inner.limits;
        // The dialler closes unused connections. The acceptor waits twice as long, so that the
        // dialler closes first.
        let idle_at_us = match self.dialled {
            Some(_) => inbound_us.max(state.last_sent_us) + limits.idle_timeout_ms * 1_000,
            None => inbound_us + 2 * limits.idle_timeout_ms * 1_000,
        };
        if idle_at_us <= now_us && state.send_queue.is_empty() {
            state.is_closed = true;
            return TimerCheck::Idle;
        }
        TimerCheck::CheckAgain(idle_at_us.max(now_us + limits.ping_after_ms * 1_000))
    }

    /// Sends a ping to a peer that is silent while a message waits, or decides to close.
    fn check_silence<'a>(
        self: &'a Arc<Self>,
        inner: &Arc<Inner>,
        mut state: MutexGuard<'a, State>,
        now_us: u64,
        last_sign_us: u64,
    ) -> TimerCheck {
        let limits = &inner.limits;
        // The reader may not have run yet after a pause of this process.
        let silent_since_us = last_sign_us + inner.last_pause.after_us(last_sign_us);
        let close_at_us = silent_since_us + limits.silent_after_ms * 1_000;
        if close_at_us <= now_us {
            return TimerCheck::Silent;
        }
        let ping_at_us = silent_since_us + limits.ping_after_ms * 1_000;
        let is_pinged = state.pinged_us >= silent_since_us;
        let mut next_us = close_at_us;
        if !is_pinged && ping_at_us > now_us {
            next_us = ping_at_us;
        } else if !is_pinged {
            state.pinged_us = now_us;
            drop(state);
            self.send_heartbeat(inner, FrameKind::Ping);
            state = self.state();
        }
        let deadline_us = state.pending.values().map(|p| p.deadline_us).min();
        TimerCheck::CheckAgain(next_us.min(deadline_us.unwrap_or(u64::MAX)))
    }
}
