//! Plug-ins of the node: entry, owner, platform, gossip and sync.

mod announce;
mod context;
mod entry;
mod generations;
mod gossip;
mod instance_api;
mod local;
mod newer;
mod owner;
mod platform;
mod probes;
mod sync;

pub use announce::Announcement;
pub use instance_api::InstanceApi;

/// Makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
