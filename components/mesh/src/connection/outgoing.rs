//! Messages handed to a connection by their senders.

use crate::{Channel, RequestError, inner::OnReply};

/// What a message is for, and what its sender needs for the reply.
pub(crate) enum Purpose {
    OneWay,
    Request { deadline_us: u64, on_reply: OnReply },
    Reply(u64),
    NoReply(u64),
}

/// A message handed to the transport by its sender.
pub(crate) struct Outgoing {
    pub(crate) channel: Channel,
    pub(crate) payload: Vec<u8>,
    pub(crate) purpose: Purpose,
}

impl Outgoing {
    /// Fails a request whose message was not sent; does nothing for other messages.
    pub(crate) fn fail_not_sent(self) {
        if let Purpose::Request { on_reply, .. } = self.purpose {
            on_reply(Err(RequestError::NotSent));
        }
    }
}
