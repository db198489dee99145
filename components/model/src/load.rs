//! The load figures that an owner attaches to its messages.

use serde::{Deserialize, Serialize};

/// An owner's view of its upstream at the moment it sent a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSignal {
    /// Calls running at the upstream.
    pub in_flight: u32,
    /// Calls waiting at the owner.
    pub queued: u32,
    /// Calls that the upstream can run at once.
    pub slots: u32,
    /// Recent service time of one call, in microseconds.
    pub service_time_us: u32,
    /// Time that work takes on the upstream's host now, in percent of the usual; 0 if not known.
    pub pace_percent: u32,
    /// Counter that grows with each signal of one owner incarnation.
    pub sequence: u64,
}
