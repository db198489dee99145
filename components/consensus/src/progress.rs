//! What a leader knows about one other replica.

use std::collections::VecDeque;

/// Most append messages in flight to one replica.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;

/// A snapshot has this many times the resend time, because it is far larger than a batch.
const SNAPSHOT_RESEND_FACTOR: u64 = 10;

/// Replication state of one replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index known to be equal and on the replica's disk.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Time of the last message from the replica.
    pub(crate) heard_us: u64,
    /// Highest heartbeat round that the replica confirmed.
    pub(crate) round: u64,
    /// Whether the match point is still searched for, one message at a time.
    pub(crate) probing: bool,
    /// Index of the snapshot in flight.
    pub(crate) snapshot: Option<u64>,
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    moved_us: u64,
}

impl Progress {
    pub(crate) fn new(now_us: u64, next: u64) -> Self {
        Progress {
            matched: 0,
            next,
            heard_us: now_us,
            round: 0,
            probing: true,
            snapshot: None,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            moved_us: now_us,
        }
    }

    /// Whether another batch of `bytes` may be sent.
    pub(crate) fn has_room(&self, bytes: usize, max_bytes: usize) -> bool {
        if self.in_flight.is_empty() {
            return true;
        }
        !self.probing
            && self.in_flight.len() < MAX_IN_FLIGHT_MESSAGES
            && self.in_flight_bytes + bytes <= max_bytes
    }

    pub(crate) fn sent(&mut self, now_us: u64, last_index: u64, bytes: usize) {
        if self.in_flight.is_empty() {
            self.moved_us = now_us;
        }
        self.in_flight.push_back((last_index, bytes));
        self.in_flight_bytes += bytes;
        self.next = last_index + 1;
    }

    pub(crate) fn sent_snapshot(&mut self, now_us: u64, index: u64) {
        self.clear_in_flight();
        self.snapshot = Some(index);
        self.moved_us = now_us;
    }

    /// Takes in an acknowledgement; true if it is news.
    pub(crate) fn accepted(&mut self, now_us: u64, matched: u64) -> bool {
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > matched {
                break;
            }
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
        if self.snapshot.is_some_and(|index| matched >= index) {
            self.snapshot = None;
        }
        let is_news = matched > self.matched;
        if is_news {
            self.moved_us = now_us;
            self.matched = matched;
        }
        self.next = self.next.max(self.matched + 1);
        if matched + 1 >= self.next || is_news {
            self.probing = false;
        }
        is_news
    }

    pub(crate) fn rejected(&mut self, prev_index: u64, hint_index: u64) {
        if prev_index <= self.matched || self.snapshot.is_some() {
            return;
        }
        self.next = prev_index.min(hint_index + 1).max(self.matched + 1);
        self.probing = true;
        self.clear_in_flight();
    }

    /// Sends again from the match point if nothing was acknowledged for `timeout_us`.
    pub(crate) fn resend_after(&mut self, now_us: u64, timeout_us: u64) {
        let waits = !self.in_flight.is_empty() || self.snapshot.is_some();
        let factor = self.snapshot.map_or(1, |_| SNAPSHOT_RESEND_FACTOR);
        let timeout_us = timeout_us * factor;
        if waits && now_us.saturating_sub(self.moved_us) >= timeout_us {
            self.next = self.matched + 1;
            self.probing = true;
            self.snapshot = None;
            self.clear_in_flight();
        }
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
