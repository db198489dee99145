//! Call state machines: attempts, records, key claims and crash suspects.

mod budget;
mod claims;
mod entry;
mod fate;
mod records;
mod round;
mod suspects;

pub use budget::HedgeBudget;
pub use claims::{
    Claim, ClaimConfig, ClaimCopy, ClaimReply, ClaimStart, ClaimTable, CopiedClaim, Holder,
    MAX_KEYED_CALL_MS,
};
pub use entry::{Action, CallSpec, DEADLINE_GRACE_US, EntryCall, Event};
pub use fate::{Fate, Fingerprint, Key};
pub use records::{Arrival, Ask, Begin, CallRecords, RecordsConfig};
pub use round::{ClaimRound, ROUND_MAX_US, RoundResult};
pub use suspects::{IncidentId, SuspectConfig, SuspectReport, Suspects, Verdict};
