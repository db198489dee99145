//! The kinds of traffic that share a connection.

/// Each channel has its own handler, order and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Channel {
    /// Calls between entry and owner.
    Call,
    /// Membership.
    Gossip,
    /// Replicated log.
    Consensus,
    /// Profiles and drains, between nodes.
    Sync,
    /// Requests to control replicas.
    Control,
    /// Idempotency keys.
    Keeper,
    /// Load probes.
    Probe,
}

impl Channel {
    /// All channels, in the order of their wire numbers.
    pub const ALL: [Channel; 7] = [
        Channel::Call,
        Channel::Gossip,
        Channel::Consensus,
        Channel::Sync,
        Channel::Control,
        Channel::Keeper,
        Channel::Probe,
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
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }

    pub(crate) fn from_wire(number: u8) -> Option<Self> {
        Channel::ALL.get(usize::from(number)).copied()
    }
}
