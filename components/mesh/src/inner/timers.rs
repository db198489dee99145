//! Timer checks of all connections.

use super::{Inner, run_callbacks};
use crate::{
    connection::{DueCallbacks, TimerCheck},
    stats::increment,
};
use std::sync::Arc;

/// Longest time between two timer checks of a connection.
const MAX_CHECK_INTERVAL_US: u64 = 10_000_000;

impl Inner {
    pub(crate) fn run_timer(self: &Arc<Self>) {
        while !self.is_stopping() {
            self.timer.clear();
            let next_us = self.check_connections();
            self.timer.wake_at(next_us);
            let late_us = self.timer.sleep(|| self.now_us());
            let shortest_pause_us = self.limits.ping_after_ms * 1_000;
            self.last_pause
                .record(self.now_us(), late_us, shortest_pause_us);
        }
    }

    /// Checks the timers of all connections; returns the time of the next check.
    fn check_connections(self: &Arc<Self>) -> u64 {
        let connections = self.open_connections();
        let mut next_us = self.now_us() + MAX_CHECK_INTERVAL_US;
        for connection in connections {
            let mut due = DueCallbacks::new();
            match connection.check_timers(self, &mut due) {
                TimerCheck::CheckAgain(at_us) => next_us = next_us.min(at_us),
                TimerCheck::Idle => self.close(&connection),
                TimerCheck::Silent => {
                    increment(&self.counters.silent_connections);
                    log::warn!("mesh: connection to {} went silent", connection.peer);
                    self.close(&connection);
                }
            }
            run_callbacks(due);
        }
        next_us
    }
}
