//! All errors that callers and operators can get: the list of error kinds, and for each its code,
//! HTTP status, outcome and texts.

mod kind;
mod outcome;
mod table;

pub use kind::ErrorKind;
pub use outcome::Outcome;
pub use table::ErrorInfo;
