//! Outlier ejection of one upstream and its readmission by trial calls.

use crate::AttemptResult;

/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// First ejection time in microseconds; doubles with each failed trial.
const BASE_EJECTION_US: u64 = 100_000;
/// Longest ejection time in microseconds.
const MAX_EJECTION_US: u64 = 10_000_000;
/// Wait beyond the ejection time before a non-idempotent call makes the trial, in microseconds.
const NON_IDEMPOTENT_GRACE_US: u64 = 1_000_000;

/// Failure record of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    failures_in_row: u32,
    ejections_in_row: u32,
    until_us: Option<u64>,
    trial_running: bool,
}

impl Ejection {
    pub(crate) fn is_ejected(&self) -> bool {
        self.until_us.is_some()
    }

    /// Whether a call may try the ejected upstream now.
    pub(crate) fn wants_trial(&self, now_us: u64, idempotent: bool) -> bool {
        let grace_us = if idempotent {
            0
        } else {
            NON_IDEMPOTENT_GRACE_US
        };
        !self.trial_running
            && self
                .until_us
                .is_some_and(|until| now_us >= until + grace_us)
    }

    pub(crate) fn trial_started(&mut self) {
        self.trial_running = true;
    }

    /// Records how a call ended; `may_eject` is false while the cap on ejections is reached.
    pub(crate) fn finished(&mut self, now_us: u64, finish: AttemptResult, may_eject: bool) {
        match finish {
            AttemptResult::Ok => *self = Ejection::default(),
            AttemptResult::Failed | AttemptResult::TimedOut => self.failed(now_us, may_eject),
            AttemptResult::Refused | AttemptResult::Cancelled => self.trial_running = false,
        }
    }

    fn failed(&mut self, now_us: u64, may_eject: bool) {
        self.failures_in_row += 1;
        let trial_failed = std::mem::take(&mut self.trial_running);
        let is_new = !self.is_ejected() && self.failures_in_row >= FAILURES_TO_EJECT && may_eject;
        if is_new || trial_failed {
            let doubled_us = BASE_EJECTION_US << self.ejections_in_row.min(16);
            self.until_us = Some(now_us + doubled_us.min(MAX_EJECTION_US));
            self.ejections_in_row += 1;
        }
    }
}
