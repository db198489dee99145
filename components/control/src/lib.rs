//! Plug-ins of the control replica: `replica` takes part in consensus, `keeper` stores claims of
//! idempotency keys, `operator` serves operators over HTTP.

mod host;
mod keeper;
mod operator;
mod operator_api;
mod pulls;
mod replica;
mod reports;
mod shared;
mod submit;

pub use operator_api::OperatorApi;
pub use shared::Refusal;

/// Does nothing; a call to it makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
