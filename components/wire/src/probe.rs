//! Load probes, sent as datagrams.

use model::LoadSignal;
use serde::{Deserialize, Serialize};

/// Bytes that one probe and its reply are charged for, including tag and UDP/IP headers.
pub const PROBE_COST_BYTES: u32 = 160;

/// A load probe or its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for the load of the upstream beside the receiver.
    Request {
        /// Number of the probe, unique at its sender.
        number: u64,
    },
    /// Returns the load of the upstream beside the sender.
    Reply {
        /// Number of the probe that this is the reply to.
        number: u64,
        /// Load of the upstream.
        signal: LoadSignal,
    },
}
