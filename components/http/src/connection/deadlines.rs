//! Deadlines of a connection.

use super::{Next, ReadEnd, ServedConnection, Stage};
use crate::{RequestLimits, server::Shared};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest time in which a caller may read the reply that closes its connection, and close its side.
const CLOSE_LINGER: Duration = Duration::from_secs(5);

/// Deadline of a head or body whose first byte has arrived now.
pub(crate) fn read_deadline(limits: &RequestLimits) -> Instant {
    Instant::now() + Duration::from_millis(limits.head_timeout_ms)
}

impl ServedConnection {
    /// Handles the deadlines that have passed. Returns what to wait for: `deadline` is that of the
    /// bytes of the stage, and `check_at` when to look again without any. `None` if the stage may
    /// have changed.
    pub(super) fn check_deadlines(
        &mut self,
        shared: &Arc<Shared>,
        deadline: Option<Instant>,
        check_at: Option<Instant>,
        has_more: bool,
    ) -> Option<Next> {
        let now = Instant::now();
        if deadline.is_some_and(|deadline| deadline <= now) {
            return self.handle_timeout(shared);
        }
        let write_deadline = self.write_deadline(shared);
        if write_deadline.is_some_and(|deadline| deadline <= now) {
            self.replies.close_now();
            self.handle_stream_end(shared);
            return None;
        }
        if has_more {
            return Some(Next::Again);
        }
        let deadlines = [deadline, check_at, write_deadline];
        Some(Next::Wait(deadlines.into_iter().flatten().min()))
    }

    /// When a connection without a request is closed or checked again.
    pub(super) fn idle_deadline(&mut self, shared: &Shared) -> Instant {
        let status = self.replies.status();
        let idle = Duration::from_millis(shared.limits().idle_timeout_ms.max(1));
        if status.is_busy {
            // Not idle; the end of the last handler is not reported.
            return Instant::now() + idle;
        }
        if status.is_closing {
            // After a reply that closes the connection, the caller gets some time to close its side.
            let since = self.closing_since.get_or_insert_with(Instant::now);
            return *since + CLOSE_LINGER.min(idle);
        }
        status.idle_since + idle
    }

    /// Called when what the stage waits for has not come in time; `None` if the stage has changed.
    fn handle_timeout(&mut self, shared: &Arc<Shared>) -> Option<Next> {
        let end = match self.stage {
            Stage::Head(None) if self.replies.status().is_busy => {
                return Some(Next::Wait(Some(self.idle_deadline(shared))));
            }
            Stage::Head(None) => ReadEnd::Closed,
            Stage::Head(Some(_)) => {
                log::debug!("http: a request head did not arrive before its deadline");
                ReadEnd::TimedOut
            }
            Stage::Body(_) => ReadEnd::TimedOut,
            Stage::Handler(_) | Stage::Replies(_) | Stage::Close(_) => return Some(Next::End),
        };
        self.end_reading(shared, end);
        None
    }

    /// When the connection is closed because the caller does not read its replies.
    fn write_deadline(&self, shared: &Shared) -> Option<Instant> {
        let since = self.replies.status().unwritten_since?;
        Some(since + Duration::from_millis(shared.limits().head_timeout_ms.max(1)))
    }
}
