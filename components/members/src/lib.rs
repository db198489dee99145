//! Gossip membership and failure detection.
//!
//! The protocol is of the SWIM family: members probe each other, spread updates by gossip, and a
//! suspected member can refute the suspicion. Digests of whole tables repair what gossip missed.
//!
//! `Members` is a state machine without I/O: the caller passes in the time, datagrams and local
//! changes, and executes the returned actions. It should call `Members::tick` every `TICK_MS`.

mod config;
mod control_replicas;
mod dissemination;
mod info;
mod introductions;
mod members;
mod parts;
mod probes;
mod report_order;
mod rumors;
mod size;
mod sync;
mod table;
mod views;
mod wire;

pub use config::MemberConfig;
pub use control_replicas::ControlReplicas;
pub use info::{MemberAction, MemberError, MemberState, NodeInfo};
pub use introductions::{Introduction, IntroductionReply, Introductions};
pub use members::{Members, TICK_MS};
pub use report_order::{Moment, ReportOrder, ReportPosition, ReportVerdict};
pub use wire::{Datagram, MAX_DATAGRAM_BYTES};
