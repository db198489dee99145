//! Replication progress of one follower or learner, as tracked by the leader.

use std::collections::VecDeque;

/// Maximum number of unacknowledged append messages to one replica.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;

/// Multiplies the resend timeout while a snapshot is in flight, because a snapshot is far larger
/// than a batch of entries.
const SNAPSHOT_RESEND_FACTOR: u64 = 10;

/// What the leader knows about another replica's log, and what is in flight to it.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index up to which the replica's log is known to be equal and on its disk.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Time of the last message from the replica.
    pub(crate) last_heard_us: u64,
    /// Highest heartbeat round that the replica confirmed.
    pub(crate) round: u64,
    /// Time of the last notice that the replica is about to stop.
    pub(crate) leaving_at_us: Option<u64>,
    /// Whether the leader still searches for the last equal index; meanwhile it sends one message
    /// at a time.
    pub(crate) is_probing: bool,
    /// Index of the snapshot in flight.
    pub(crate) pending_snapshot: Option<u64>,
    /// Last index and size in bytes of each unacknowledged append message.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    /// Time of the last acknowledgement that advanced `matched`, or of the first message in flight.
    last_progress_us: u64,
}

impl Progress {
    pub(crate) fn new(now_us: u64, next: u64) -> Self {
        Progress {
            matched: 0,
            next,
            last_heard_us: now_us,
            round: 0,
            leaving_at_us: None,
            is_probing: true,
            pending_snapshot: None,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_progress_us: now_us,
        }
    }

    /// Whether a batch of `bytes` may be sent now. With nothing in flight any size may be sent.
    pub(crate) fn can_send(&self, bytes: usize, max_bytes: usize) -> bool {
        if self.in_flight.is_empty() {
            return true;
        }
        !self.is_probing
            && self.in_flight.len() < MAX_IN_FLIGHT_MESSAGES
            && self.in_flight_bytes + bytes <= max_bytes
    }

    pub(crate) fn record_sent(&mut self, now_us: u64, last_index: u64, bytes: usize) {
        if self.in_flight.is_empty() {
            self.last_progress_us = now_us;
        }
        self.in_flight.push_back((last_index, bytes));
        self.in_flight_bytes += bytes;
        self.next = last_index + 1;
    }

    pub(crate) fn record_snapshot_sent(&mut self, now_us: u64, index: u64) {
        self.clear_in_flight();
        self.pending_snapshot = Some(index);
        self.last_progress_us = now_us;
    }

    /// Handles a notice that the replica has the entries up to `index`, though not yet on its disk.
    /// If it loses them, it rejects the next message.
    pub(crate) fn record_received(&mut self, now_us: u64, index: u64) {
        self.remove_in_flight(index);
        self.last_progress_us = now_us;
        self.next = self.next.max(index + 1);
        if index + 1 == self.next {
            self.is_probing = false;
        }
    }

    /// Handles an acknowledgement up to `matched`; true if it advances the known index.
    pub(crate) fn record_accepted(&mut self, now_us: u64, matched: u64) -> bool {
        self.remove_in_flight(matched);
        if self.pending_snapshot.is_some_and(|index| matched >= index) {
            self.pending_snapshot = None;
        }
        let has_advanced = matched > self.matched;
        if has_advanced {
            self.last_progress_us = now_us;
            self.matched = matched;
        }
        self.next = self.next.max(self.matched + 1);
        if matched + 1 >= self.next || has_advanced {
            self.is_probing = false;
        }
        has_advanced
    }

    /// Moves back to where the logs may still be equal, unless the rejection is outdated.
    pub(crate) fn record_rejected(&mut self, prev_index: u64, hint_index: u64) {
        if prev_index <= self.matched || self.pending_snapshot.is_some() {
            return;
        }
        self.next = prev_index.min(hint_index + 1).max(self.matched + 1);
        self.is_probing = true;
        self.clear_in_flight();
    }

    /// Restarts after the last matched index if nothing was acknowledged for `timeout_us`.
    pub(crate) fn restart_if_stalled(&mut self, now_us: u64, timeout_us: u64) {
        let is_waiting = !self.in_flight.is_empty() || self.pending_snapshot.is_some();
        let factor = self.pending_snapshot.map_or(1, |_| SNAPSHOT_RESEND_FACTOR);
        let timeout_us = timeout_us * factor;
        if is_waiting && now_us.saturating_sub(self.last_progress_us) >= timeout_us {
            self.next = self.matched + 1;
            self.is_probing = true;
            self.pending_snapshot = None;
            self.clear_in_flight();
        }
    }

    /// Frees the window of the messages up to `index`.
    fn remove_in_flight(&mut self, index: u64) {
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > index {
                break;
            }
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
