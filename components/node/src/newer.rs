//! Peers that hold a newer configuration than this node.

use crossbeam::channel::{Receiver, Sender, bounded};
use model::Revision;
use std::net::SocketAddr;

/// Most offers that wait; further ones are dropped, since gossip repeats them.
const MAX_WAITING: usize = 16;

/// Hands offers from gossip to the thread that pulls profiles.
pub(crate) struct NewerOffers {
    sender: Sender<(SocketAddr, Revision)>,
    receiver: Receiver<(SocketAddr, Revision)>,
}

impl NewerOffers {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(MAX_WAITING);
        NewerOffers { sender, receiver }
    }

    /// Notes that the peer holds that revision.
    pub(crate) fn offer(&self, at: SocketAddr, revision: Revision) {
        // A full queue drops the offer; the peer repeats it.
        let _ = self.sender.try_send((at, revision));
    }

    /// The offers.
    pub(crate) fn receiver(&self) -> &Receiver<(SocketAddr, Revision)> {
        &self.receiver
    }
}
