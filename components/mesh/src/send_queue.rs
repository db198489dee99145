//! Order in which queued messages of a connection are written.

use crate::{
    Channel, FrameEncoder, FrameKind, HEADER_BYTES, MAX_FRAGMENT_BYTES, SendError, stats::Counters,
};
use std::collections::VecDeque;

/// Bytes after which a batch is written before more is added.
const BATCH_BYTES: usize = MAX_FRAGMENT_BYTES;

#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) kind: FrameKind,
    pub(crate) channel: Channel,
    pub(crate) id: u64,
    pub(crate) payload: Vec<u8>,
}

#[derive(Debug)]
struct Queued {
    message: Message,
    written: usize,
}

/// A request in a batch and where its first byte is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) id: u64,
    pub(crate) start: usize,
}

/// Requests and one-way messages keep their order per channel. Replies have no order among each
/// other, so large ones take turns.
#[derive(Debug)]
pub(crate) struct Outbox {
    encoder: FrameEncoder,
    heartbeats: VecDeque<FrameKind>,
    lanes: [VecDeque<Queued>; Channel::ALL.len()],
    replies: VecDeque<Queued>,
    queued_bytes: usize,
    max_queued_bytes: usize,
}

impl Outbox {
    pub(crate) fn new(key: [u8; 32], max_queued_bytes: usize) -> Self {
        Outbox {
            encoder: FrameEncoder::new(key),
            heartbeats: VecDeque::new(),
            lanes: Default::default(),
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
        let lane = match message.kind {
            FrameKind::Reply | FrameKind::NoReply => &mut self.replies,
            _ => &mut self.lanes[message.channel.index()],
        };
        lane.push_back(Queued {
            message,
            written: 0,
        });
        Ok(())
    }

    /// At most one ping and a few pongs wait, whatever the peer does.
    pub(crate) fn push_heartbeat(&mut self, kind: FrameKind) {
        if self.heartbeats.len() < 4 {
            self.heartbeats.push_back(kind);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued_bytes == 0 && self.heartbeats.is_empty()
    }

    /// Takes a request out again if none of its bytes was put into a batch.
    pub(crate) fn withdraw(&mut self, channel: Channel, id: u64) -> bool {
        let lane = &mut self.lanes[channel.index()];
        let unsent = |q: &Queued| {
            q.message.kind == FrameKind::Request && q.message.id == id && q.written == 0
        };
        let Some(queued) = lane
            .iter()
            .position(unsent)
            .and_then(|place| lane.remove(place))
        else {
            return false;
        };
        self.queued_bytes -= HEADER_BYTES + queued.message.payload.len();
        true
    }

    /// Fills a batch, one envelope of each lane in turn; heartbeats go first.
    pub(crate) fn fill(
        &mut self,
        batch: &mut Vec<u8>,
        requests: &mut Vec<Placed>,
        counters: &Counters,
    ) {
        batch.clear();
        requests.clear();
        while let Some(kind) = self.heartbeats.pop_front() {
            self.encoder
                .encode(batch, kind, Channel::Call, 0, &[], false);
            crate::stats::count(&counters.heartbeats_out);
        }
        while self.queued_bytes > 0 && batch.len() < BATCH_BYTES {
            for lane in 0..=self.lanes.len() {
                let queue = match self.lanes.get_mut(lane) {
                    Some(queue) => queue,
                    None => &mut self.replies,
                };
                let Some(mut queued) = queue.pop_front() else {
                    continue;
                };
                let message = &queued.message;
                if message.kind == FrameKind::Request && queued.written == 0 {
                    requests.push(Placed {
                        id: message.id,
                        start: batch.len(),
                    });
                }
                let end = message
                    .payload
                    .len()
                    .min(queued.written + MAX_FRAGMENT_BYTES);
                let more = end < message.payload.len();
                let fragment = &message.payload[queued.written..end];
                self.encoder.encode(
                    batch,
                    message.kind,
                    message.channel,
                    message.id,
                    fragment,
                    more,
                );
                counters.sent(message.channel, HEADER_BYTES + fragment.len(), !more);
                if !more {
                    // Counted whole until its end, so that the receiver holds no more than this.
                    self.queued_bytes -= HEADER_BYTES + message.payload.len();
                    continue;
                }
                queued.written = end;
                match self.lanes.get_mut(lane) {
                    Some(queue) => queue.push_front(queued),
                    None => self.replies.push_back(queued),
                }
            }
        }
    }
}
