//! Command line client for operators.
//!
//! Exit codes: 0 done, 1 refused or a failure with a log file or the output, 2 wrong usage,
//! 3 control group unreachable or change unconfirmed, 4 accepted but not in effect on every live
//! node when the time of `--wait` has passed.

mod change;
mod failure;
mod operator_client;
mod options;
mod output;
mod request_trace;
mod route;
mod route_output;
mod run;
mod wait;
mod zone;

pub use run::run;
