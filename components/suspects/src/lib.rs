//! Requests that are suspected of crashing upstreams, and how nodes share what they know of them.
//! Pure: no clock, socket, lock or log.

mod digest;
mod exchange;
mod table;

pub use digest::{Digest, Parts, trial_upstream};
pub use exchange::{
    MAX_MESSAGE_BYTES, MAX_REPORTS, Outgoing, Received, SuspectExchange, SuspectMessage,
};
pub use table::{
    CrashSuspects, Evidence, IncidentId, IncidentState, SuspectConfig, SuspectReport, Verdict,
};
