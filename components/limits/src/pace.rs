//! Pace of an upstream's host: the time that work takes on it now, in percent of the usual time.
//!
//! It serves to avoid noisy neighbours. They slow a host for some hundred milliseconds at a time,
//! in which all work that starts on it takes several times as long. A pace is useful only while it
//! is fresh. It is therefore queried by a health check of the upstream, within a budget, when a
//! call is about to start.

use crate::TokenBucket;

/// Age up to which a pace is used, in microseconds; short compared to the time that a host stays
/// slow or fast.
const FRESH_US: u64 = 20_000;
/// Time after which calls no longer wait for an unanswered query, in microseconds.
const QUERY_TIMEOUT_US: u64 = 30_000;
/// Factor over the host's calm pace from which the host counts as slow, and work had better start
/// elsewhere.
const SLOW_FACTOR: u32 = 2;
/// Slowest pace that can count as calm, in percent. An upstream that has just started takes twice
/// as long for some seconds, and its calls must not be held back for all that time.
const SLOWEST_CALM_PERCENT: u32 = 200;
/// Time after which a calm pace expires unless it is recorded again, in microseconds; long compared
/// to the time that a neighbour slows the host.
const CALM_WINDOW_US: u64 = 500_000;
/// Pace of a host that works at its usual speed, in percent.
pub const USUAL_PACE_PERCENT: u32 = 100;

/// Whether a call can start now, in view of the host's pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceStatus {
    /// The host works at its usual pace, or its pace is unknown.
    Usual,
    /// Work takes much longer than usual.
    Slow,
    /// The last pace is too old; query a new one.
    QueryDue,
    /// A query has been sent and not yet answered.
    QueryPending,
}

/// Latest pace of the host of one upstream, and the budget for querying it.
#[derive(Clone, Debug)]
pub struct HostPace {
    percent: u32,
    recorded_us: u64,
    /// Lowest pace of the current window and of the one before.
    lowest_percent: [u32; 2],
    window_start_us: u64,
    /// Whether the upstream has ever reported a pace; one that reports none is queried only once.
    has_reported: bool,
    was_queried: bool,
    /// Time of the open query.
    queried_us: Option<u64>,
    budget: TokenBucket,
}

impl HostPace {
    /// A host whose pace is unknown; at most `max_queries_per_s` queries are sent in any second.
    pub fn new(max_queries_per_s: u32) -> Self {
        HostPace {
            percent: USUAL_PACE_PERCENT,
            recorded_us: 0,
            lowest_percent: [u32::MAX; 2],
            window_start_us: 0,
            has_reported: false,
            was_queried: false,
            queried_us: None,
            budget: TokenBucket::new(max_queries_per_s, max_queries_per_s),
        }
    }

    /// Records a pace from any message of the upstream.
    pub fn record(&mut self, now_us: u64, percent: u32) {
        self.percent = percent;
        self.recorded_us = now_us;
        self.has_reported = true;
        let [current, _] = self.lowest_percent;
        if now_us >= self.window_start_us + CALM_WINDOW_US {
            self.window_start_us = now_us;
            self.lowest_percent = [percent, current];
        } else {
            self.lowest_percent[0] = current.min(percent);
        }
    }

    /// Ends the open query, after its answer or failure.
    pub fn end_query(&mut self) {
        self.queried_us = None;
    }

    /// Ends a query that was due and could not be sent; returns the status by the last pace.
    pub fn cancel_query(&mut self) -> PaceStatus {
        self.queried_us = None;
        self.last_status()
    }

    /// Checks the pace before a call starts. After `PaceStatus::QueryDue` the caller must send a
    /// query, which is counted against the budget.
    pub fn check(&mut self, now_us: u64) -> PaceStatus {
        if !self.has_reported && self.was_queried && self.queried_us.is_none() {
            return PaceStatus::Usual;
        }
        if self.has_reported && now_us < self.recorded_us + FRESH_US {
            return self.last_status();
        }
        if let Some(queried_us) = self.queried_us
            && now_us < queried_us + QUERY_TIMEOUT_US
        {
            return PaceStatus::QueryPending;
        }
        if self.budget.try_take(now_us, 1) {
            self.queried_us = Some(now_us);
            self.was_queried = true;
            return PaceStatus::QueryDue;
        }
        self.last_status()
    }

    /// Whether the last pace, however old, was slow for this host.
    pub fn is_slow(&self) -> bool {
        let [current, previous] = self.lowest_percent;
        let calm_percent = current
            .min(previous)
            .clamp(USUAL_PACE_PERCENT, SLOWEST_CALM_PERCENT);
        self.has_reported && self.percent >= calm_percent * SLOW_FACTOR
    }

    /// The last pace, in percent of the usual time.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    fn last_status(&self) -> PaceStatus {
        if self.is_slow() {
            PaceStatus::Slow
        } else {
            PaceStatus::Usual
        }
    }
}
