//! Whether a failed call may have run.

use serde::{Deserialize, Serialize};

/// Whether an upstream may have run a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// No upstream has run or will run the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl Outcome {
    /// The value of the `x-gyard-outcome` header.
    pub fn header_value(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}
