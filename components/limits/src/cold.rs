//! Limit on the calls that are sent to a cold upstream. It matters when an instance, or a whole
//! availability zone, restarts while callers send a burst: above a low rate a cold instance crashes,
//! and the calls that it can't take are better off at the other instances.

use model::LoadSignal;
use std::collections::VecDeque;

/// Length of the sliding window in which calls are counted, in microseconds.
const WINDOW_US: u64 = 1_000_000;
/// Time in which the limit doubles after the end of the cold period, in microseconds.
const RAMP_STEP_US: u64 = 250_000;
/// Steps of the ramp. There is no limit after them.
const RAMP_STEPS: u64 = 4;
/// Age of an upstream up to which a report of it counts as its first one. An upstream reports again
/// some 10 ms after a report without an acknowledgement, but about a second after an acknowledged one.
const MAX_FIRST_REPORT_AGE_US: u64 = 250_000;

/// Calls that a cold upstream may get in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Calls per second that the upstream can handle while it is cold.
    pub calls_per_s: f64,
    /// Share of calls beyond that rate, in percent.
    pub overage_percent: u32,
    /// Additional calls in each second.
    pub slack: u32,
    /// Time for which an upstream is cold after its start, if it is known.
    pub duration_us: Option<u64>,
}

impl ColdRate {
    /// Whole calls that may be sent in any second.
    pub fn max_per_window(&self) -> usize {
        let share = f64::from(100 + self.overage_percent) / 100.0;
        // The conversion saturates, so that a rate beyond every count means no limit.
        (self.calls_per_s * share + f64::from(self.slack)) as usize
    }
}

/// Sliding window over the calls that one owner sends to its upstream. It limits them while the
/// upstream is cold, and less and less for a second after that.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    /// Largest number of calls in a window; `None` without a limit.
    max_per_window: Option<usize>,
    cold_until_us: Option<u64>,
    /// Time until which the window counts as full, since calls before it are not known.
    unknown_until_us: u64,
    /// Rest of the cold period in the first report of an upstream that says it has just started.
    first_cold_left_us: Option<u64>,
    /// Time for which an upstream is cold after its start, if it is known.
    cold_duration_us: Option<u64>,
    /// Time of the last call that was sent while there was no limit; such calls are not counted.
    last_unlimited_us: Option<u64>,
    /// Times of the calls in the last window, in ascending order.
    sent_us: VecDeque<u64>,
}

impl ColdLimiter {
    /// Without a limit. Calls of another process before `started_us` may still be in the window.
    pub fn new(started_us: u64) -> Self {
        ColdLimiter {
            max_per_window: None,
            cold_until_us: None,
            unknown_until_us: started_us + WINDOW_US,
            first_cold_left_us: None,
            cold_duration_us: None,
            last_unlimited_us: None,
            sent_us: VecDeque::new(),
        }
    }

    /// Sets the limit or removes it. Calls sent without a limit were not counted, so the window
    /// counts as full for its length after the last of them.
    pub fn set_rate(&mut self, rate: Option<ColdRate>) {
        let max_per_window = rate.map(|rate| rate.max_per_window());
        // Before the calls sent without a limit are considered, which came after the first report.
        self.cold_duration_us = rate.and_then(|rate| rate.duration_us);
        self.apply_first_report();
        if self.max_per_window.is_none()
            && max_per_window.is_some()
            && let Some(last_us) = self.last_unlimited_us
        {
            self.unknown_until_us = self.unknown_until_us.max(last_us + WINDOW_US);
        }
        if max_per_window.is_none() {
            self.sent_us.clear();
        }
        self.max_per_window = max_per_window;
    }

    /// Records a call that was sent while there was no limit.
    pub fn record_unlimited(&mut self, sent_us: u64) {
        self.last_unlimited_us = self.last_unlimited_us.max(Some(sent_us));
    }

    /// The upstream has started after the owner, so no earlier process has sent calls to it.
    pub fn upstream_started(&mut self) {
        self.unknown_until_us = 0;
    }

    /// The first report that this owner gets is of an upstream that says it has just started and is
    /// cold for this time. If little of its cold period has passed, as after a start together with
    /// the owner, no earlier process has known of it and sent calls to it.
    pub fn record_first_report(&mut self, cold_left_us: u64) {
        self.first_cold_left_us = Some(cold_left_us);
        self.apply_first_report();
    }

    /// Opens the window at the first report or, if it came earlier, when the duration of the cold
    /// period is known.
    fn apply_first_report(&mut self) {
        if let (Some(left_us), Some(duration_us)) = (self.first_cold_left_us, self.cold_duration_us)
        {
            let is_first_period = left_us <= duration_us;
            if is_first_period && left_us + MAX_FIRST_REPORT_AGE_US >= duration_us {
                self.unknown_until_us = 0;
            }
            self.first_cold_left_us = None;
        }
    }

    /// The upstream is cold until this time. Of several reports the latest end applies, since one
    /// that arrives late or is wrong must not end the limit early.
    pub fn extend(&mut self, cold_until_us: u64) {
        self.cold_until_us = self.cold_until_us.max(Some(cold_until_us));
    }

    /// Whether there is a limit for upstreams that are cold.
    pub fn has_rate(&self) -> bool {
        self.max_per_window.is_some()
    }

    /// Counts a call that is about to be sent, if it may be. Health checks don't count.
    pub fn try_send(&mut self, now_us: u64) -> bool {
        if self.max_per_window.is_none() {
            self.record_unlimited(now_us);
            return true;
        }
        // Threads may read the clock in another order than they get here.
        let now_us = now_us.max(self.sent_us.back().copied().unwrap_or(0));
        if self.room_in_us(now_us) > 0 {
            return false;
        }
        while self.sent_us.front().is_some_and(|at| is_past(now_us, *at)) {
            self.sent_us.pop_front();
        }
        self.sent_us.push_back(now_us);
        true
    }

    /// Time until another call may be sent; 0 if one may be sent now.
    pub fn room_in_us(&self, now_us: u64) -> u64 {
        let Some(max) = self.current_max(now_us) else {
            return 0;
        };
        if self.is_cold(now_us) && now_us < self.unknown_until_us {
            return self.unknown_until_us - now_us;
        }
        if max == 0 {
            return WINDOW_US;
        }
        let oldest_in_the_way = self.sent_us.len().checked_sub(max);
        let blocking_us = oldest_in_the_way.map(|index| self.sent_us[index]);
        match blocking_us {
            Some(at_us) if !is_past(now_us, at_us) => at_us + WINDOW_US + 1 - now_us,
            _ => 0,
        }
    }

    /// The load signal with the capacity that the limit leaves. Without it, entries would send to a
    /// cold upstream what it has slots for.
    pub fn limit_signal(&self, now_us: u64, signal: LoadSignal) -> LoadSignal {
        let Some(max) = self.current_max(now_us) else {
            return signal;
        };
        let service_us = u64::from(signal.service_time_us.max(1));
        let busy_slots = (max as u64).saturating_mul(service_us).div_ceil(WINDOW_US);
        let slots = u32::try_from(busy_slots).unwrap_or(u32::MAX);
        let room_in_us = self.room_in_us(now_us);
        let is_full = room_in_us > 0;
        LoadSignal {
            slots: slots.max(1).min(signal.slots),
            queued: signal.queued.max(u32::from(is_full)),
            service_time_us: u32::try_from(service_us + room_in_us).unwrap_or(u32::MAX),
            ..signal
        }
    }

    /// Whether the upstream counts as cold.
    pub fn is_cold(&self, now_us: u64) -> bool {
        self.cold_until_us.is_some_and(|until_us| now_us < until_us)
    }

    /// Time for which the upstream still counts as cold, in microseconds.
    pub fn cold_left_us(&self, now_us: u64) -> u64 {
        let cold_until_us = self.cold_until_us.unwrap_or(0);
        cold_until_us.saturating_sub(now_us)
    }

    /// Calls allowed in the window that ends now; `None` if there is no limit.
    pub fn current_max(&self, now_us: u64) -> Option<usize> {
        let max = self.max_per_window?;
        let cold_until_us = self.cold_until_us?;
        let steps = now_us.saturating_sub(cold_until_us) / RAMP_STEP_US;
        (steps < RAMP_STEPS).then(|| max.saturating_mul(1 << steps))
    }
}

/// Whether a call at `at_us` is no longer in the window that ends now.
fn is_past(now_us: u64, at_us: u64) -> bool {
    now_us > at_us + WINDOW_US
}
