//! Plug-ins of the control replica: replica, keeper and operator.

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

/// Makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
