//! Plug-ins of the node: `entry` accepts calls, `owner` runs them at the local instance, `platform`
//! serves that instance and metrics, `quotas` admits calls within
//! the limits of customers, `gossip` tracks the other nodes, `suspects` exchanges crash
//! suspects with them, `sync` pulls configuration.

mod announce;
mod context;
mod downstream;
mod entry;
mod generations;
mod gossip;
mod health_request;
mod instance_api;
mod instance_starts;
mod local;
mod owner;
mod parents;
mod platform;
mod probes;
mod quotas;
mod refusal_log;
mod revision_offers;
mod revocation;
mod route_query;
mod start_wait;
mod suspects;
mod sync;
#[cfg(test)]
#[path = "../tests/inside/test_node.rs"]
mod test_node;

pub use announce::Announcement;
pub use instance_api::InstanceApi;
pub use quotas::{QuotaGate, QuotaPermit, QuotaRefusal};

/// Does nothing; a call to it makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
