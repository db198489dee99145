//! The profile state machine that the replicated log drives.

mod answers;
mod change;
mod digest;
mod profile_set;
mod registry;

pub use answers::{MAX_ANSWER_AGE_ENTRIES, MAX_KEPT_ACCEPTED, MAX_KEPT_REJECTED};
pub use change::{Change, ChangeId, ChangeIdError, ChangeResult, Op};
pub use profile_set::{Comparison, Delta, ProfileSet, Record, RecordState};
pub use registry::{MAX_RETIRED, Registry};
