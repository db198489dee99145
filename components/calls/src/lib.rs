//! Call state machines: attempts, records, key claims and crash suspects.
//!
//! Nothing here reads a clock, sends a message or takes a lock. Every function takes `now_us`, the
//! monotonic time of the process that runs it; durations, never times, go between processes.
//!
//! # What is promised
//! - A call that is not repeatable runs at most once; a key runs at most once per claim retention.
//! - A call that ends with a not-run kind has not run and will not run.
//!
//! # How
//! - [`CallRecords`] decides at the owner. What it has refused, cancelled or reported as not started
//!   stays so: first by a tombstone, and after the tombstone by a bound on call sequences per entry.
//!   Messages of an older connection generation are refused, because the kernel may deliver them
//!   minutes after the entry gave the connection up.
//! - [`EntryCall`] sends a non-repeatable call again only after the owner, or the local send path,
//!   has said that the earlier attempt will not run.
//! - [`ClaimTable`] and [`ClaimRound`] give a key to one attempt at a time. A later attempt replaces
//!   the holder only after the holder's owner has left a tombstone for it.
//!
//! # Cost of keys
//! A keyed call takes one request and one reply per keeper (6 messages with 3 keepers, 10 with 5).
//! A repeated call adds one fate request and its reply, and one more round if the holder had not
//! started. An attempt refused by its owner takes a new round. A claim takes about 250 bytes at
//! each keeper for 10 minutes (measured: 253 with 500,000 claims, the default limit, which is 127 MB
//! and 830 new keys per second). A record without its answer takes about 190 bytes at its owner.
//!
//! # Limits of the promise
//! - A key may run again when its claims have expired, 10 minutes after the last grant.
//! - The loss of a majority of keepers within one copy period stops keyed calls for 10 minutes.
//! - Without a reply from an owner the outcome is unknown, even if the call never started.
//! - An owner drops tombstones after 5 seconds and marks after 30 (both later for long deadlines),
//!   and then refuses, or reports as forgotten, unknown attempts of calls that began before them at
//!   the same entry. A call that is still looking for an owner after that time may thus be refused
//!   as `Busy`, or end as unknown, without having run.

mod claim_round;
mod claim_table;
mod crash_suspects;
mod entry;
mod entry_states;
mod hedge_budget;
mod records;
mod status;

pub use claim_round::{ClaimRound, ROUND_MAX_US, RoundResult};
pub use claim_table::{
    Claim, ClaimConfig, ClaimCopy, ClaimReply, ClaimStart, ClaimTable, CopiedClaim, Holder,
    MAX_KEYED_CALL_MS,
};
pub use crash_suspects::{CrashSuspects, IncidentId, SuspectConfig, SuspectReport, Verdict};
pub use entry::{Action, CallSpec, DEADLINE_GRACE_US, EntryCall, Event};
pub use hedge_budget::HedgeBudget;
pub use records::{BeginResult, CallRecords, IncomingAttempt, RecordsConfig, StatusQuery};
pub use status::{AttemptStatus, Fingerprint, KeyHash};
