//! Replicated log: elections, log, snapshots and replica identities.
//!
//! A [`Replica`] is a pure state machine: the host feeds it [`Input`]s and carries out its
//! [`Output`]s. Disk writes are numbered; the host carries them out in order and confirms them
//! with [`Input::Persisted`]. Messages that promise something are held back until then.

mod election;
mod follower;
mod formation;
mod leader;
mod log;
mod membership;
mod message;
mod progress;
mod replica;
mod state;

pub use message::{Body, Message};
pub use replica::{Input, OpenGroup, Output, Replica, ReplicaConfig, Reply, Role, Write};
pub use state::{
    Entry, Formation, HardState, Membership, Payload, RecoveredState, ReplicaId, ReplicaNumber,
    Snapshot,
};
