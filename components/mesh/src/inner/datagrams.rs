//! Sending and receiving of datagrams.

use super::Inner;
use crate::{
    Channel, Inbound, ReplyTo, SendError,
    datagram::{self, MAX_DATAGRAM_BYTES},
    stats::increment,
};
use model::NodeId;
use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, PoisonError},
};

impl Inner {
    pub(crate) fn send_datagram(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: &[u8],
    ) -> Result<(), SendError> {
        if self.is_stopping() {
            return Err(SendError::Stopped);
        }
        let bytes = datagram::encode(&self.datagram_key, self.local, channel, payload);
        match self.udp().map(|udp| udp.send_to(&bytes, to)) {
            Some(Ok(_)) => {
                self.counters.sent(channel, bytes.len(), true);
                Ok(())
            }
            Some(Err(_)) => Err(SendError::Datagram),
            None => Err(SendError::Stopped),
        }
    }

    pub(super) fn udp(&self) -> Option<Arc<UdpSocket>> {
        self.udp
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn receive_datagrams(&self) {
        // One byte more than allowed, to detect datagrams that are too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let Some(udp) = self.udp() else {
            return;
        };
        loop {
            let received = udp.recv_from(&mut buffer);
            if self.is_stopping() {
                return;
            }
            // An error concerns an earlier datagram that could not be delivered, so it is ignored.
            let Ok((length, _)) = received else {
                continue;
            };
            match datagram::decode(&self.datagram_key, &buffer[..length]) {
                None => increment(&self.counters.bad_datagrams),
                Some((from, channel, payload)) => {
                    self.counters.received(channel, length, true);
                    self.deliver_datagram(from, channel, payload);
                }
            }
        }
    }

    fn deliver_datagram(&self, from: NodeId, channel: Channel, payload: &[u8]) {
        let reply = ReplyTo {
            connection: None,
            channel,
            id: 0,
        };
        self.call_handler(Inbound {
            from,
            channel,
            payload: payload.to_vec(),
            reply,
        });
    }
}
