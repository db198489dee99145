//! All errors that callers and operators can get: the list of error kinds, and for each its code,
//! HTTP status, outcome and texts.

mod kind;

pub use kind::{ErrorInfo, ErrorKind, Outcome};
