//! Strict revocation of customers' keys: what shows a node that its configuration is the newest, whom
//! it asks for that and when, and how a control replica answers many nodes with one quorum read.

mod proof;
mod reads;
mod schedule;

pub use proof::{AskId, RevocationProof};
pub use reads::RevisionReads;
pub use schedule::AskSchedule;
