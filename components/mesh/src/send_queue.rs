//! Queue of the messages that wait to be written to a connection.

use crate::{
    Channel, FrameEncoder, FrameKind, HEADER_BYTES, MAX_FRAGMENT_BYTES, SendError, stats::Counters,
};
use std::collections::VecDeque;

/// Size at which a batch is complete and has to be written.
const BATCH_BYTES: usize = MAX_FRAGMENT_BYTES;

/// A message to be written.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) kind: FrameKind,
    pub(crate) channel: Channel,
    pub(crate) id: u64,
    pub(crate) payload: Vec<u8>,
}

/// A message and how many bytes of its payload are already in a batch.
#[derive(Debug)]
struct QueuedMessage {
    message: Message,
    written_bytes: usize,
}

/// A request in a batch and the offset of its first byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestOffset {
    pub(crate) id: u64,
    pub(crate) start: usize,
}

/// Messages waiting for a connection. Requests and one-way messages keep their order per channel.
/// Replies need no order, so the fragments of several large ones are interleaved.
#[derive(Debug)]
pub(crate) struct SendQueue {
    encoder: FrameEncoder,
    heartbeats: VecDeque<FrameKind>,
    channel_queues: [VecDeque<QueuedMessage>; Channel::ALL.len()],
    replies: VecDeque<QueuedMessage>,
    queued_bytes: usize,
    max_queued_bytes: usize,
}

impl SendQueue {
    pub(crate) fn new(key: [u8; 32], max_queued_bytes: usize) -> Self {
        SendQueue {
            encoder: FrameEncoder::new(key),
            heartbeats: VecDeque::new(),
            channel_queues: Default::default(),
            replies: VecDeque::new(),
            queued_bytes: 0,
            max_queued_bytes,
        }
    }

    pub(crate) fn push(&mut self, message: Message) -> Result<(), (Message, SendError)> {
        let cost = HEADER_BYTES + message.payload.len();
        if self.queued_bytes + cost > self.max_queued_bytes {
            return Err((message, SendError::QueueFull));
        }
        self.queued_bytes += cost;
        let queue = match message.kind {
            FrameKind::Reply | FrameKind::NoReply => &mut self.replies,
            _ => &mut self.channel_queues[message.channel.index()],
        };
        queue.push_back(QueuedMessage {
            message,
            written_bytes: 0,
        });
        Ok(())
    }

    /// Queues a ping or pong, unless four are waiting: a peer that sends many pings must not fill
    /// the queue.
    pub(crate) fn push_heartbeat(&mut self, kind: FrameKind) {
        if self.heartbeats.len() < 4 {
            self.heartbeats.push_back(kind);
        }
    }

    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued_bytes == 0 && self.heartbeats.is_empty()
    }

    /// Removes a request if none of its bytes are in a batch yet; false otherwise.
    pub(crate) fn withdraw(&mut self, channel: Channel, id: u64) -> bool {
        let queue = &mut self.channel_queues[channel.index()];
        let unsent = |q: &QueuedMessage| {
            q.message.kind == FrameKind::Request && q.message.id == id && q.written_bytes == 0
        };
        let Some(queued) = queue
            .iter()
            .position(unsent)
            .and_then(|index| queue.remove(index))
        else {
            return false;
        };
        self.queued_bytes -= HEADER_BYTES + queued.message.payload.len();
        true
    }

    /// Fills a batch: first the heartbeats, then one frame from each queue in turn. The offsets of
    /// requests that start in the batch go to `requests`.
    pub(crate) fn fill_batch(
        &mut self,
        batch: &mut Vec<u8>,
        requests: &mut Vec<RequestOffset>,
        counters: &Counters,
    ) {
        batch.clear();
        requests.clear();
        while let Some(kind) = self.heartbeats.pop_front() {
            self.encoder
                .encode(batch, kind, Channel::Call, 0, &[], false);
            crate::stats::increment(&counters.heartbeats_out);
        }
        while self.queued_bytes > 0 && batch.len() < BATCH_BYTES {
            for index in 0..=self.channel_queues.len() {
                let queue = match self.channel_queues.get_mut(index) {
                    Some(queue) => queue,
                    None => &mut self.replies,
                };
                let Some(mut queued) = queue.pop_front() else {
                    continue;
                };
                let message = &queued.message;
                if message.kind == FrameKind::Request && queued.written_bytes == 0 {
                    requests.push(RequestOffset {
                        id: message.id,
                        start: batch.len(),
                    });
                }
                let end = message
                    .payload
                    .len()
                    .min(queued.written_bytes + MAX_FRAGMENT_BYTES);
                let has_more = end < message.payload.len();
                let fragment = &message.payload[queued.written_bytes..end];
                self.encoder.encode(
                    batch,
                    message.kind,
                    message.channel,
                    message.id,
                    fragment,
                    has_more,
                );
                counters.sent(message.channel, HEADER_BYTES + fragment.len(), !has_more);
                if !has_more {
                    // A message counts with its whole size until its last fragment, so that the
                    // receiver never holds more than the limit in incomplete messages.
                    self.queued_bytes -= HEADER_BYTES + message.payload.len();
                    continue;
                }
                queued.written_bytes = end;
                match self.channel_queues.get_mut(index) {
                    Some(queue) => queue.push_front(queued),
                    None => self.replies.push_back(queued),
                }
            }
        }
    }
}
