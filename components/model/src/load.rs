//! The load signal that an owner attaches to its messages.

use serde::{Deserialize, Serialize};

/// Load of an upstream, as its owner knew it when it sent a message. Entries choose upstreams by
/// it.
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
    /// Pace: time that work takes on the upstream's host now, in percent of the usual time; 0 if
    /// unknown.
    pub pace_percent: u32,
    /// Counter of the signals of one owner incarnation, so that older signals can be ignored.
    pub sequence: u64,
}
