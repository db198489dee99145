//! State of a connection behind its lock: the send queue and the requests without a reply.

use super::Purpose;
use crate::{
    Channel, FrameKind, RequestError,
    inner::{Inner, OnReply},
    send_queue::{RequestOffset, SendQueue},
};
use std::collections::HashMap;

/// Most buffer space that a connection keeps allocated between messages.
pub(super) const MAX_KEPT_BUFFER_BYTES: usize = 32 * 1024;

/// A request that has no reply yet.
pub(super) struct PendingRequest {
    pub(super) on_reply: OnReply,
    channel: Channel,
    pub(super) deadline_us: u64,
    submitted_us: u64,
    pub(super) is_sent: bool,
}

impl PendingRequest {
    pub(super) fn error(&self) -> RequestError {
        if self.is_sent {
            RequestError::ConnectionLost
        } else {
            RequestError::NotSent
        }
    }
}

/// Callbacks of requests that have failed, with their errors; run without any lock held.
pub(crate) type DueCallbacks = Vec<(OnReply, RequestError)>;

/// Encoded frames that are written together, and the requests that start in them.
pub(super) struct Batch {
    pub(super) bytes: Vec<u8>,
    pub(super) requests: Vec<RequestOffset>,
}

/// Mutable state of a connection.
pub(super) struct State {
    pub(super) send_queue: SendQueue,
    pub(super) pending: HashMap<u64, PendingRequest>,
    /// Buffers that are reused for the next batch.
    batch: Vec<u8>,
    requests: Vec<RequestOffset>,
    last_message_id: u64,
    /// Whether a thread is writing the queue; other threads then only add to it.
    pub(super) is_writing: bool,
    pub(super) is_closed: bool,
    /// Time of the first one-way message since the last received frame.
    one_way_since_us: Option<u64>,
    pub(super) pinged_us: u64,
    pub(super) last_sent_us: u64,
}

impl State {
    pub(super) fn new(send_queue: SendQueue, now_us: u64) -> Self {
        State {
            send_queue,
            pending: HashMap::new(),
            batch: Vec::new(),
            requests: Vec::new(),
            last_message_id: 0,
            is_writing: false,
            is_closed: false,
            one_way_since_us: None,
            pinged_us: 0,
            last_sent_us: now_us,
        }
    }

    /// Kind and id of the frames that carry a message.
    pub(super) fn frame_kind(&mut self, purpose: &Purpose) -> (FrameKind, u64) {
        match purpose {
            Purpose::OneWay => (FrameKind::OneWay, self.next_message_id()),
            Purpose::Request { .. } => (FrameKind::Request, self.next_message_id()),
            Purpose::Reply(id) => (FrameKind::Reply, *id),
            Purpose::NoReply(id) => (FrameKind::NoReply, *id),
        }
    }

    fn next_message_id(&mut self) -> u64 {
        self.last_message_id += 1;
        self.last_message_id
    }

    /// Records what a queued message waits for. Returns the time of its first timer check; `None`
    /// if it waits for nothing.
    pub(super) fn track(
        &mut self,
        now_us: u64,
        ping_us: u64,
        (channel, id): (Channel, u64),
        purpose: Purpose,
    ) -> Option<u64> {
        match purpose {
            Purpose::Request {
                deadline_us,
                on_reply,
            } => {
                let pending = PendingRequest {
                    on_reply,
                    channel,
                    deadline_us,
                    submitted_us: now_us,
                    is_sent: false,
                };
                self.pending.insert(id, pending);
                Some(ping_us.min(deadline_us))
            }
            Purpose::OneWay => {
                self.one_way_since_us.get_or_insert(now_us);
                Some(ping_us)
            }
            Purpose::Reply(_) | Purpose::NoReply(_) => None,
        }
    }

    /// Time since which a message waits for a sign of life from the peer, whose last frame arrived
    /// at `inbound_us`.
    pub(super) fn waiting_since_us(&mut self, inbound_us: u64) -> Option<u64> {
        if self.one_way_since_us.is_some_and(|at| at <= inbound_us) {
            self.one_way_since_us = None;
        }
        let oldest = self.pending.values().map(|p| p.submitted_us).min();
        match (oldest, self.one_way_since_us) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Takes the next batch from the queue; `None` if there is nothing to write, which ends the
    /// writing by this thread.
    pub(super) fn next_batch(&mut self, inner: &Inner) -> Option<Batch> {
        if self.is_closed || self.send_queue.is_empty() {
            self.is_writing = false;
            return None;
        }
        let mut batch = Batch {
            bytes: std::mem::take(&mut self.batch),
            requests: std::mem::take(&mut self.requests),
        };
        self.send_queue
            .fill_batch(&mut batch.bytes, &mut batch.requests, &inner.counters);
        for request in &batch.requests {
            // Marked before the write, because part of a request may arrive even if the connection
            // ends during the write.
            if let Some(pending) = self.pending.get_mut(&request.id) {
                pending.is_sent = true;
            }
        }
        Some(batch)
    }

    /// Keeps the buffers of a written batch for the next one.
    pub(super) fn keep_buffers(&mut self, batch: Batch) {
        self.batch = batch.bytes;
        self.batch.clear();
        self.batch.shrink_to(MAX_KEPT_BUFFER_BYTES);
        self.requests = batch.requests;
    }

    /// Removes the requests whose deadline has passed and adds their callbacks to `due`.
    pub(super) fn expire(&mut self, now_us: u64, due: &mut DueCallbacks) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline_us <= now_us)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(pending) = self.pending.remove(&id) {
                let withdrawn = !pending.is_sent && self.send_queue.withdraw(pending.channel, id);
                let error = if withdrawn {
                    RequestError::NotSent
                } else {
                    RequestError::TimedOut
                };
                due.push((pending.on_reply, error));
            }
        }
    }
}
