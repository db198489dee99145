//! Outlier ejection: an upstream that fails repeatedly gets no calls for a while, and then single
//! trial calls until one succeeds.

use crate::AttemptResult;

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// First ejection time in microseconds; doubles with each failed trial.
const BASE_EJECTION_US: u64 = 100_000;
/// Longest ejection time in microseconds.
const MAX_EJECTION_US: u64 = 10_000_000;
/// Time after the end of the ejection before a call that is not idempotent may be the trial, in
/// microseconds.
const NON_IDEMPOTENT_GRACE_US: u64 = 1_000_000;

/// Ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    /// End of the ejection time; set until a trial call succeeds.
    ejected_until_us: Option<u64>,
    is_trial_running: bool,
}

impl Ejection {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until_us.is_some()
    }

    /// Whether a call may be the trial of the ejected upstream now.
    pub(crate) fn is_trial_due(&self, now_us: u64, idempotent: bool) -> bool {
        let grace_us = if idempotent {
            0
        } else {
            NON_IDEMPOTENT_GRACE_US
        };
        !self.is_trial_running
            && self
                .ejected_until_us
                .is_some_and(|until| now_us >= until + grace_us)
    }

    pub(crate) fn start_trial(&mut self) {
        self.is_trial_running = true;
    }

    /// Records the result of an attempt; `may_eject` is false while the limit on ejected upstreams
    /// is reached.
    pub(crate) fn record_result(&mut self, now_us: u64, result: AttemptResult, may_eject: bool) {
        match result {
            AttemptResult::Ok => *self = Ejection::default(),
            AttemptResult::Failed | AttemptResult::TimedOut => {
                self.record_failure(now_us, may_eject);
            }
            AttemptResult::Refused | AttemptResult::Cancelled => self.is_trial_running = false,
        }
    }

    fn record_failure(&mut self, now_us: u64, may_eject: bool) {
        self.consecutive_failures += 1;
        let trial_failed = std::mem::take(&mut self.is_trial_running);
        let is_new =
            !self.is_ejected() && self.consecutive_failures >= FAILURES_TO_EJECT && may_eject;
        if is_new || trial_failed {
            let doubled_us = BASE_EJECTION_US << self.consecutive_ejections.min(16);
            self.ejected_until_us = Some(now_us + doubled_us.min(MAX_EJECTION_US));
            self.consecutive_ejections += 1;
        }
    }
}
