//! Time after which a refused caller is told to retry, for the `retry-after` header.
//!
//! It matters when all upstreams of a service are at capacity. Callers that retry before there is
//! capacity use up their few retries, and callers that were refused together would retry together.

use std::ops::Range;

/// Time until the retry as a share of the latency target; short enough for an answer within it.
const SHORT_SHARE: Range<f64> = 0.1..0.4;
/// The same share while this node starts. Nodes and upstreams take about a second to find each
/// other after a restart.
const STARTING_SHARE: Range<f64> = 1.0..2.0;
/// Time until the retry as a share of the time by which an answer would be late now.
const LATENESS_SHARE: Range<f64> = 0.5..1.0;
/// Longest lateness that is used, as a multiple of the latency target; estimates of long waits are
/// inexact.
const MAX_LATENESS_SHARE: f64 = 2.0;

/// Longest hold before the first trial of a crash suspect, in milliseconds.
const HOLD_MS: f64 = 3_000.0;

/// Interval at which a node asks the control group to confirm its configuration, in milliseconds.
const UNCONFIRMED_MS: f64 = 500.0;

/// Why a call was refused, as far as it matters for the time of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// This node has no configuration, or knows no upstream of the service that accepts calls, as
    /// after a start.
    Starting,
    /// No upstream has capacity.
    NoCapacity {
        /// Shortest expected time to an answer, in milliseconds.
        expected_ms: u64,
    },
    /// The request is held as a crash suspect until it is tried.
    Held,
    /// A cause that may disappear at once.
    Other,
    /// The node waits for the control group to confirm its configuration.
    Unconfirmed,
    /// The instance would call a service that is short of capacity for this time.
    Downstream {
        /// Time until the shortage is considered to have ended, in milliseconds.
        wait_ms: u64,
    },
}

/// Time after which the caller should retry, in milliseconds. `random`, a number from 0 to 1,
/// spreads the retries of callers that were refused together.
pub fn retry_after_ms(cause: RefusalCause, target_ms: u64, random: f64) -> f64 {
    let target_ms = target_ms as f64;
    let random_share = |share: &Range<f64>, of_ms: f64| {
        (share.start + (share.end - share.start) * random.clamp(0.0, 1.0)) * of_ms
    };
    match cause {
        RefusalCause::Starting => random_share(&STARTING_SHARE, target_ms),
        RefusalCause::Held => HOLD_MS + random_share(&SHORT_SHARE, target_ms),
        RefusalCause::Other => random_share(&SHORT_SHARE, target_ms),
        RefusalCause::Unconfirmed => UNCONFIRMED_MS,
        RefusalCause::Downstream { wait_ms } => {
            wait_ms as f64 + random_share(&SHORT_SHARE, target_ms)
        }
        RefusalCause::NoCapacity { expected_ms } => {
            let late_ms = (expected_ms as f64 - target_ms).max(0.0);
            let wait_ms =
                random_share(&LATENESS_SHARE, late_ms.min(MAX_LATENESS_SHARE * target_ms));
            wait_ms.max(random_share(&SHORT_SHARE, target_ms))
        }
    }
}
