//! A service that is short of capacity: for which priorities, until when, and when calls are admitted
//! as probes.

use model::Priority;

/// Shortest and longest time for which a refused call shows a shortage. The shortest one doesn't apply
/// to the rest of a shortage that an owner named.
const MIN_SHORTAGE_US: u64 = 50_000;
const MAX_SHORTAGE_US: u64 = 1_000_000;
/// Interval at which one call is admitted as a probe.
const PROBE_INTERVAL_US: u64 = 100_000;
/// Time for which calls of lower priorities are not probes after a call was refused. It is as long as
/// the longest shortage that one call shows.
const LOWER_PROBE_DELAY_US: u64 = MAX_SHORTAGE_US;
/// Number of priorities.
const PRIORITIES: usize = 3;

/// Time for which the service is short of capacity for one priority.
#[derive(Clone, Copy, Debug)]
pub(super) struct Period {
    /// Time of the last call to the service that was refused.
    pub(super) last_seen_us: u64,
    /// Time at which the shortage ends, unless a later refused call extends it.
    pub(super) until_us: u64,
}

/// What is known of the shortage of one service. The entries of the arrays are by priority, lowest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortage {
    /// A priority that is short is so no longer than all lower ones.
    periods: [Option<Period>; PRIORITIES],
    /// Time of the last call of the local instance that was refused because of this shortage.
    refused_us: [Option<u64>; PRIORITIES],
    next_probe_us: u64,
    last_probe: Option<Priority>,
}

impl Shortage {
    /// Adds a call to the service that was refused, for priorities up to `highest`.
    pub(super) fn extend(&mut self, now_us: u64, highest: Priority, until_us: u64) {
        if !self.is_active(now_us) {
            *self = Shortage {
                next_probe_us: now_us + PROBE_INTERVAL_US,
                ..Shortage::default()
            };
        }
        let until_us = until_us.min(now_us + MAX_SHORTAGE_US);
        for period in &mut self.periods[..=index(highest)] {
            *period = Some(Period {
                last_seen_us: now_us,
                until_us: period.map_or(until_us, |before| until_us.max(before.until_us)),
            });
        }
    }

    /// Ends the shortage for this priority and higher ones, if a call that was sent at `sent_us`, after
    /// the last refusal, was answered.
    pub(super) fn end_from(&mut self, priority: Priority, sent_us: u64) {
        for period in &mut self.periods[index(priority)..] {
            if period.is_some_and(|period| period.last_seen_us <= sent_us) {
                *period = None;
            }
        }
    }

    pub(super) fn is_active(&self, now_us: u64) -> bool {
        self.period(now_us, Priority::Low).is_some()
    }

    /// The shortage for a priority, if it lasts.
    pub(super) fn period(&self, now_us: u64, priority: Priority) -> Option<Period> {
        self.periods[index(priority)].filter(|period| now_us < period.until_us)
    }

    /// Whether a call of this priority is admitted as a probe. A lower priority gets no probe while
    /// calls of a higher one are refused, and a call of a higher one is admitted beside it.
    pub(super) fn is_probe_due(&self, now_us: u64, priority: Priority) -> bool {
        let is_recent = |at_us: &u64| now_us < *at_us + LOWER_PROBE_DELAY_US;
        let is_higher_refused = self.refused_us[index(priority) + 1..]
            .iter()
            .flatten()
            .any(is_recent);
        if now_us >= self.next_probe_us {
            return !is_higher_refused;
        }
        self.last_probe.is_some_and(|last| last < priority)
    }

    /// Time until the next probe.
    pub(super) fn next_probe_in_us(&self, now_us: u64) -> u64 {
        self.next_probe_us.saturating_sub(now_us)
    }

    pub(super) fn take_probe(&mut self, now_us: u64, priority: Priority) {
        if now_us >= self.next_probe_us {
            self.next_probe_us = now_us + PROBE_INTERVAL_US;
        }
        self.last_probe = Some(priority);
    }

    pub(super) fn record_refusal(&mut self, now_us: u64, priority: Priority) {
        self.refused_us[index(priority)] = Some(now_us);
    }
}

/// Time for which a call shows a shortage whose caller was told to retry after this time.
pub(super) fn shortage_us(retry_after_us: u64) -> u64 {
    retry_after_us.clamp(MIN_SHORTAGE_US, MAX_SHORTAGE_US)
}

fn index(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
    }
}
