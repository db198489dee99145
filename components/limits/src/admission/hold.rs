//! Calls wait while the upstream's host is slow. It matters when a noisy neighbour slows the host for
//! some hundred milliseconds: a call that starts meanwhile stays slow to its end.

use super::{Admission, QueueDecision};

impl Admission {
    /// Starts no calls for `for_us` because the host is slow. They start at the end of that time,
    /// or with `resume`. Has no effect while calls are already held.
    pub fn hold(&mut self, now_us: u64, for_us: u64) {
        if now_us >= self.held_until_us {
            self.held_until_us = now_us + for_us;
        }
    }

    /// Whether no calls start because the host is slow.
    pub fn is_held(&self, now_us: u64) -> bool {
        now_us < self.held_until_us
    }

    /// Ends a hold and starts waiting calls as far as there are free slots.
    pub fn resume(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.held_until_us = 0;
        self.start_waiting(now_us)
    }
}
