//! Plug-ins of the control replica: `replica` takes part in consensus, `keeper` stores claims of
//! idempotency keys, `operator` serves operators over HTTP.

mod confirm;
mod context;
mod customers;
mod keeper;
mod operator;
mod operator_api;
mod pulls;
mod replica;
mod replica_threads;
mod reports;
mod submit;

pub use context::Refusal;
pub use operator_api::OperatorApi;
pub use pulls::{HeldPulls, Pull, SendReply};

/// Does nothing; a call to it makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
