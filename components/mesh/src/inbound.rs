//! Received messages as handlers see them.

use crate::{
    Bytes, Channel, SendError,
    connection::{Connection, Outgoing, Purpose},
    inner::Inner,
};
use model::NodeId;
use std::{fmt, sync::Arc};

/// A message from a peer.
#[derive(Debug)]
pub struct Inbound {
    /// Authenticated identity of the sender.
    pub from: NodeId,
    /// Channel on which it was sent.
    pub channel: Channel,
    /// Content of the whole message or datagram, as the sender passed it.
    pub payload: Bytes,
    /// Handle for the reply; has no effect for one-way messages and datagrams.
    pub reply: ReplyTo,
}

/// Sends the reply to one request. If this is dropped without a reply, the sender of the request is
/// told at once that none follows.
pub struct ReplyTo {
    pub(crate) connection: Option<(Arc<Inner>, Arc<Connection>)>,
    pub(crate) channel: Channel,
    pub(crate) id: u64,
}

impl ReplyTo {
    /// Whether the message is a request, whose sender waits for a reply.
    pub fn is_expected(&self) -> bool {
        self.connection.is_some()
    }

    /// Bytes that wait to be written on the connection of the request.
    pub fn queued_bytes(&self) -> usize {
        let connection = self.connection.as_ref();
        connection.map_or(0, |(_, connection)| connection.queued_bytes())
    }

    /// Sends the reply; does nothing if none is expected.
    pub fn send(mut self, payload: impl Into<Bytes>) -> Result<(), SendError> {
        let payload = payload.into();
        match &self.connection {
            Some((inner, _)) if payload.len() > inner.limits.max_message_bytes => {
                // Dropping `self` tells the sender that no reply follows.
                Err(SendError::TooLarge)
            }
            Some(_) => self.submit(payload, Purpose::Reply(self.id)),
            None => Ok(()),
        }
    }

    fn submit(&mut self, payload: Bytes, purpose: Purpose) -> Result<(), SendError> {
        let Some((inner, connection)) = self.connection.take() else {
            return Ok(());
        };
        let outgoing = Outgoing {
            channel: self.channel,
            payload,
            purpose,
        };
        connection
            .submit(&inner, outgoing)
            .map_err(|(_, error)| error)
    }
}

impl Drop for ReplyTo {
    fn drop(&mut self) {
        // Fails if the connection is closed, which has failed the request already.
        let _ = self.submit(Bytes::new(), Purpose::NoReply(self.id));
    }
}

impl fmt::Debug for ReplyTo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ReplyTo({})", self.id)
    }
}
