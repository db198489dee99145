//! State machines that make sure that a call doesn't run more often than it may: the entry's
//! attempts and retries, the owner's records of attempts, and claims of idempotency keys.
//!
//! Nothing here reads a clock, sends a message or takes a lock. Every function takes `now_us`, the
//! monotonic time of the process that runs it. Messages between processes carry durations, never
//! times, because the processes share no clock.
//!
//! # Terms
//! - The entry is the node that took the call from its caller; the owner is the node beside the
//!   chosen upstream, which runs the call. Each try of a call at an owner is an attempt.
//! - A call is idempotent if running it twice has the effect of running it once. A keyed call is
//!   not, but carries an idempotency key.
//! - A keeper is a control replica in its role of storing claims of idempotency keys. A claim
//!   grants a key to one attempt, which is then the holder of the key.
//! - A tombstone is the record of an attempt that has not started and must never start.
//!
//! # Guarantees
//! - A call that is not idempotent runs at most once. The calls with one key together run at most
//!   once within the retention of its claims.
//! - A call that ends with an error kind whose outcome is not-run has not run and will not run.
//!
//! # Design
//! - [`CallRecords`] decides at the owner which attempts may start. An attempt that it has refused,
//!   cancelled or reported as not started stays so: first by a tombstone, and after the tombstone
//!   has expired by a lower bound on the call sequences of its entry. Messages of an older
//!   connection generation are refused, because the operating system may deliver them minutes after
//!   the entry has given up the connection.
//! - [`EntryCall`] sends a call that is not idempotent again only after the owner, or the local
//!   send path, has confirmed that the earlier attempt will not run.
//! - [`ClaimTable`] and [`ClaimRound`] grant a key to one attempt at a time. A later attempt
//!   replaces the holder only after the holder's owner has left a tombstone for it.
//!
//! # Cost of keys
//! A keyed call takes one request and one reply per keeper (6 messages with 3 keepers, 10 with 5).
//! A repeated call adds one status query and its reply, and one more round if the holder had not
//! started. An attempt refused by its owner takes a new round. A claim takes about 250 bytes at
//! each keeper for 10 minutes (measured: 253 with 500,000 claims, the default limit, which is
//! 127 MB and 830 new keys per second). A record without its answer takes about 190 bytes at its
//! owner.
//!
//! # Limits of the guarantees
//! - A key may run again when its claims have expired, 10 minutes after the last grant.
//! - If a majority of the keepers restarts before the first of them has copied its claims back,
//!   keyed calls fail for 10 minutes.
//! - Without a reply from an owner the outcome is unknown, even if the call never started.
//! - An owner drops tombstones after 5 seconds and the records of started attempts after 30 (both
//!   later for long deadlines). From then on it refuses, or reports as forgotten, unknown attempts
//!   of calls that began before them at the same entry. A call that is still looking for an owner
//!   after that time may thus be refused as `Busy`, or end as unknown, without having run.

mod claim_round;
mod claim_table;
mod entry;
mod entry_states;
mod hedge_budget;
mod parent_calls;
mod records;
mod status;

pub use claim_round::{ClaimRound, ROUND_MAX_US, RoundResult};
pub use claim_table::{
    Claim, ClaimConfig, ClaimCopy, ClaimReply, ClaimStart, ClaimTable, CopiedClaim, Holder,
    MAX_KEYED_CALL_MS,
};
pub use entry::{Action, CallSpec, DEADLINE_GRACE_US, EntryCall, Event};
pub use hedge_budget::HedgeBudget;
pub use parent_calls::{ParentCall, ParentCalls};
pub use records::{BeginResult, CallRecords, IncomingAttempt, RecordsConfig, StatusQuery};
pub use status::{AttemptStatus, KeyHash};
