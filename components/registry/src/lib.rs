//! Profiles and the configuration as a replicated state machine.
//!
//! Each control replica applies the changes in the replicated log to its [`Registry`]. Nodes hold a
//! [`ProfileSet`], which they update with [`Delta`]s from control replicas or other nodes.

mod answers;
mod change;
mod digest;
mod holders;
mod profile_set;
mod registry;
mod settings;
mod stored;

pub use answers::{MAX_ANSWER_AGE_ENTRIES, MAX_KEPT_ACCEPTED, MAX_KEPT_REJECTED};
pub use change::{Change, ChangeId, ChangeIdError, ChangeResult, Op};
pub use holders::{HolderUpdate, QuotaHolders};
pub use profile_set::{Comparison, Delta, ProfileSet, Record, RecordState};
pub use registry::{MAX_RETIRED, Registry};
pub use settings::GroupSettings;
