//! The profile state machine that the replicated log drives.

mod answers;
mod change;
mod digest;
mod registry;
mod set;

pub use answers::{MAX_ANSWER_AGE_ENTRIES, MAX_KEPT_ACCEPTED, MAX_KEPT_REJECTED};
pub use change::{Applied, Change, ChangeId, ChangeIdError, Op};
pub use registry::{MAX_RETIRED, Registry};
pub use set::{Delta, ProfileSet, Record, RecordState, Standing};
