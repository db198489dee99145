//! What the coordinator knows about the share of one customer at one node.

use crate::share::max_held;

/// Share of a node. Until the node has confirmed a grant, both the former and the new share count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Holding {
    /// Share granted last.
    pub(crate) share: u32,
    /// Largest share that the node may be using.
    pub(crate) committed: u32,
    /// Most tokens that the node may be holding.
    pub(crate) reserved: u32,
    /// Tokens in an answer that the node has not confirmed.
    pub(crate) lent: u32,
    /// Demand reported last.
    pub(crate) demand: u32,
}

impl Holding {
    /// A share that the node is known to use.
    pub(crate) fn applied(share: u32) -> Self {
        Holding {
            share,
            committed: share,
            reserved: max_held(share),
            lent: 0,
            demand: 0,
        }
    }

    /// Grants another share.
    pub(crate) fn grant(&mut self, share: u32) {
        self.share = share;
        self.committed = self.committed.max(share);
        self.reserved = self.reserved.max(max_held(share));
    }
}
