//! Messages as handlers see them.

use crate::{
    Bytes, Channel, SendError,
    connection::{Link, Outgoing, Purpose},
    inner::Inner,
};
use model::NodeId;
use std::{fmt, sync::Arc};

/// A message from a peer.
#[derive(Debug)]
pub struct Inbound {
    /// Authenticated identity of the sender.
    pub from: NodeId,
    /// Channel that it was sent on.
    pub channel: Channel,
    /// Content.
    pub payload: Bytes,
    /// Way back; replies to one-way messages and datagrams go nowhere.
    pub reply: ReplyTo,
}

/// Answers one request. Dropped without an answer, it tells the sender at once that none follows.
pub struct ReplyTo {
    pub(crate) back: Option<(Arc<Inner>, Arc<Link>)>,
    pub(crate) channel: Channel,
    pub(crate) id: u64,
}

impl ReplyTo {
    /// Whether the sender waits for a reply.
    pub fn is_expected(&self) -> bool {
        self.back.is_some()
    }

    /// Sends the reply.
    pub fn send(mut self, payload: impl Into<Bytes>) -> Result<(), SendError> {
        let payload = payload.into();
        match &self.back {
            Some((inner, _)) if payload.len() > inner.limits.max_message_bytes => {
                // Dropping it tells the sender that no reply follows.
                Err(SendError::TooLarge)
            }
            Some(_) => self.submit(payload, Purpose::Reply(self.id)),
            None => Ok(()),
        }
    }

    fn submit(&mut self, payload: Bytes, purpose: Purpose) -> Result<(), SendError> {
        let Some((inner, link)) = self.back.take() else {
            return Ok(());
        };
        let out = Outgoing {
            channel: self.channel,
            payload,
            purpose,
        };
        link.submit(&inner, out).map_err(|(_, error)| error)
    }
}

impl Drop for ReplyTo {
    fn drop(&mut self) {
        // If the connection is closed, its requests have ended already.
        let _ = self.submit(Bytes::new(), Purpose::NoReply(self.id));
    }
}

impl fmt::Debug for ReplyTo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ReplyTo({})", self.id)
    }
}
