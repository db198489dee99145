//! The kinds of traffic that share a connection.

/// Kind of traffic. Each channel has its own handler, message order and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Channel {
    /// Calls from the entry node to the node that owns the upstream.
    Call,
    /// Gossip of the membership protocol.
    Gossip,
    /// Messages between control replicas for the replicated log.
    Consensus,
    /// Pulls of configuration between nodes, and drain requests of control replicas to nodes.
    Sync,
    /// Requests to control replicas, from nodes and from other replicas.
    Control,
    /// Claims of idempotency keys, which control replicas store, and copies of these claims.
    Keeper,
    /// Load probes of upstreams.
    Probe,
    /// Requests that are suspected of crashing upstreams, between nodes.
    Suspects,
}

impl Channel {
    /// All channels, in the order of their wire numbers.
    pub const ALL: [Channel; 8] = [
        Channel::Call,
        Channel::Gossip,
        Channel::Consensus,
        Channel::Sync,
        Channel::Control,
        Channel::Keeper,
        Channel::Probe,
        Channel::Suspects,
    ];

    /// Name for logs and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Channel::Call => "call",
            Channel::Gossip => "gossip",
            Channel::Consensus => "consensus",
            Channel::Sync => "sync",
            Channel::Control => "control",
            Channel::Keeper => "keeper",
            Channel::Probe => "probe",
            Channel::Suspects => "suspects",
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }

    pub(crate) fn from_wire(number: u8) -> Option<Self> {
        Channel::ALL.get(usize::from(number)).copied()
    }
}
