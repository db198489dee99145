//! The closed list of error kinds and the table from kind to answer.

mod kind;

pub use kind::{ErrorInfo, ErrorKind, Outcome};
