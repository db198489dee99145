//! When a refused caller may come back.
//!
//! Answers a service that is full everywhere: callers that return before there is room use up their
//! few tries, and callers that were refused together return together.

use std::ops::Range;

/// Soon enough for an answer within the latency target, as a share of it.
const SOON_SHARE: Range<f64> = 0.1..0.4;
/// Nodes and upstreams take about a second to find each other after a restart.
const STARTING_SHARE: Range<f64> = 1.0..2.0;
/// Part of the time by which an answer would be late now, after which callers return.
const LATENESS_SHARE: Range<f64> = 0.5..1.0;
/// Longest time as a multiple of the latency target; estimates of long waits are rough.
const LONGEST_SHARE: f64 = 2.0;

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// This node knows no configuration or no upstream yet.
    Starting,
    /// No upstream has room.
    NoCapacity {
        /// Shortest expected time to an answer, in milliseconds.
        expected_ms: u64,
    },
    /// Something that may be over at once.
    Other,
}

/// Time after which the caller may come back, in milliseconds. `draw` from 0 to 1 spreads callers
/// that were refused together.
pub fn retry_after_ms(reason: RefusalCause, target_ms: u64, draw: f64) -> f64 {
    let target_ms = target_ms as f64;
    let between = |share: &Range<f64>, of_ms: f64| {
        (share.start + (share.end - share.start) * draw.clamp(0.0, 1.0)) * of_ms
    };
    match reason {
        RefusalCause::Starting => between(&STARTING_SHARE, target_ms),
        RefusalCause::Other => between(&SOON_SHARE, target_ms),
        RefusalCause::NoCapacity { expected_ms } => {
            let late_ms = (expected_ms as f64 - target_ms).max(0.0);
            let wait_ms = between(&LATENESS_SHARE, late_ms.min(LONGEST_SHARE * target_ms));
            wait_ms.max(between(&SOON_SHARE, target_ms))
        }
    }
}
