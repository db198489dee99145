//! Raft consensus for the control replicas: elections, log replication, snapshots and membership
//! changes.
//!
//! A [`Replica`] is a state machine without I/O: its driver passes it [`Input`]s and executes the
//! returned [`Output`]s. Disk writes are numbered; the driver executes them in order and confirms
//! them with [`Input::Persisted`]. Votes, acknowledgements and other messages that rely on saved
//! state are held back until that state is on disk.

mod config;
mod contact;
mod election;
mod follower;
mod formation;
mod io;
mod leader;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod reads;
mod replica;
mod state;
mod transfer;

pub use config::{OpenGroup, ReplicaConfig};
pub use io::{Input, Output, Reply, Role, Write};
pub use message::{Body, Message};
pub use replica::Replica;
pub use state::{
    Entry, Formation, HardState, Membership, Payload, RecoveredState, ReplicaId, ReplicaNumber,
    Snapshot,
};
