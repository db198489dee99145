//! Plug-ins of the control replica: `replica` takes part in consensus, `keeper` stores claims of
//! idempotency keys, `operator` serves operators over HTTP.

mod confirm;
mod context;
mod customers;
mod keeper;
mod latest_by_node;
mod node_proofs;
mod operator;
mod operator_api;
mod operator_zones;
mod pulls;
mod quotas;
mod replica;
mod replica_threads;
mod reports;
mod submit;
mod zones;

pub use context::Refusal;
pub use operator_api::OperatorApi;
pub use pulls::{HeldPulls, Pull, SendReply};
pub use zones::EvacuatedZones;

/// Does nothing; a call to it makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
