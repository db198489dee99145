//! How fast an upstream's host works at the moment.
//!
//! Answers noisy neighbours: for some hundred milliseconds at a time, all work that starts on a host
//! takes several times as long. The figure is only worth something while it is fresh, so it is asked
//! for when a call is about to start, within a budget.

use crate::TokenBucket;

/// Age up to which a figure is used, in microseconds; short against the time that a host stays
/// slow or fast.
const FRESH_US: u64 = 20_000;
/// Time after which an unanswered question no longer holds up calls, in microseconds.
const ASK_TIMEOUT_US: u64 = 30_000;
/// Factor over the host's calm pace from which work is better started elsewhere.
const SLOW_FACTOR: u32 = 2;
/// Slowest pace that can pass for calm, in percent: an instance that has just started takes twice
/// as long for some seconds, and holding its calls back for all of them serves nobody.
const SLOWEST_CALM_PERCENT: u32 = 200;
/// Time after which a calm pace is forgotten unless it is seen again, in microseconds; long against
/// the time that a neighbour slows the host.
const CALM_WINDOW_US: u64 = 500_000;
/// HostPace of a host without disturbance, in percent.
pub const USUAL_PACE_PERCENT: u32 = 100;

/// What to do with a call that could start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceStatus {
    /// The host works as usual, or nothing is known to the contrary.
    Usual,
    /// Work takes much longer than usual.
    Slow,
    /// The last figure is too old; ask for a new one.
    QueryDue,
    /// A question is on its way.
    QueryPending,
}

/// Freshest figure of one upstream and the budget for asking for more.
#[derive(Clone, Debug)]
pub struct HostPace {
    percent: u32,
    at_us: u64,
    /// Calmest pace of the present window and of the one before.
    calmest_percent: [u32; 2],
    window_from_us: u64,
    /// Whether the upstream has ever told a figure; one that tells none is asked only once.
    is_told: bool,
    is_asked_once: bool,
    asked_us: Option<u64>,
    budget: TokenBucket,
}

impl HostPace {
    /// Nothing is known yet; at most `asks_per_s` questions are sent in any second.
    pub fn new(asks_per_s: u32) -> Self {
        HostPace {
            percent: USUAL_PACE_PERCENT,
            at_us: 0,
            calmest_percent: [u32::MAX; 2],
            window_from_us: 0,
            is_told: false,
            is_asked_once: false,
            asked_us: None,
            budget: TokenBucket::new(asks_per_s, asks_per_s),
        }
    }

    /// Takes in a figure from any of the upstream's messages.
    pub fn record(&mut self, now_us: u64, percent: u32) {
        self.percent = percent;
        self.at_us = now_us;
        self.is_told = true;
        let [present, _] = self.calmest_percent;
        if now_us >= self.window_from_us + CALM_WINDOW_US {
            self.window_from_us = now_us;
            self.calmest_percent = [percent, present];
        } else {
            self.calmest_percent[0] = present.min(percent);
        }
    }

    /// A question was answered, or failed.
    pub fn end_query(&mut self) {
        self.asked_us = None;
    }

    /// What is known now; a question must follow `PaceStatus::QueryDue`.
    pub fn check(&mut self, now_us: u64) -> PaceStatus {
        if !self.is_told && self.is_asked_once && self.asked_us.is_none() {
            return PaceStatus::Usual;
        }
        if self.is_told && now_us < self.at_us + FRESH_US {
            return self.last();
        }
        if let Some(asked_us) = self.asked_us
            && now_us < asked_us + ASK_TIMEOUT_US
        {
            return PaceStatus::QueryPending;
        }
        if self.budget.try_take(now_us, 1) {
            self.asked_us = Some(now_us);
            self.is_asked_once = true;
            return PaceStatus::QueryDue;
        }
        self.last()
    }

    /// Whether the last figure, of whatever age, was slow for this host.
    pub fn is_slow(&self) -> bool {
        let [present, before] = self.calmest_percent;
        let calm = present
            .min(before)
            .clamp(USUAL_PACE_PERCENT, SLOWEST_CALM_PERCENT);
        self.is_told && self.percent >= calm * SLOW_FACTOR
    }

    /// The last figure in percent of the usual time.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    fn last(&self) -> PaceStatus {
        if self.is_slow() {
            PaceStatus::Slow
        } else {
            PaceStatus::Usual
        }
    }
}
