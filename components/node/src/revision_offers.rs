//! Queue of peers that gossip reported to hold a newer configuration than this node.

use crossbeam::channel::{Receiver, Sender, bounded};
use model::Revision;
use std::net::SocketAddr;

/// Capacity of the queue; further offers are dropped, since gossip repeats them.
const MAX_WAITING: usize = 16;

/// Passes offers from `gossip` to the thread of `sync` that pulls from peers.
pub(crate) struct RevisionOffers {
    sender: Sender<(SocketAddr, Revision)>,
    receiver: Receiver<(SocketAddr, Revision)>,
}

impl RevisionOffers {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(MAX_WAITING);
        RevisionOffers { sender, receiver }
    }

    /// Queues an offer: the peer at this address holds that revision.
    pub(crate) fn offer(&self, at: SocketAddr, revision: Revision) {
        // A full queue drops the offer; gossip repeats it.
        let _ = self.sender.try_send((at, revision));
    }

    /// The receiving end of the queue.
    pub(crate) fn receiver(&self) -> &Receiver<(SocketAddr, Revision)> {
        &self.receiver
    }
}
