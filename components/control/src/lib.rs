//! Plug-ins of the control replica: replica, keeper and operator.

mod host;
mod keeper;
mod operator;
mod pulls;
mod replica;
mod reports;
mod shared;

/// Makes the linker keep this crate, whose plug-ins register themselves.
pub fn register() {}
