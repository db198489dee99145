//! Load probes, sent as datagrams.

use model::LoadSignal;
use serde::{Deserialize, Serialize};

/// Bytes that one probe and its reply are charged for, with tag and UDP/IP headers.
pub const PROBE_COST_BYTES: u32 = 160;

/// A probe or its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for the load of the upstream beside the receiver.
    Request {
        /// Number of the probe at its sender.
        number: u64,
    },
    /// The answer.
    Reply {
        /// Number of the probe that this answers.
        number: u64,
        /// Load of the upstream.
        signal: LoadSignal,
    },
}
