//! Limits the log lines about refused calls, which callers can cause at a high rate.

use errors::ErrorKind;
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// Interval of the lines about refused calls.
const INTERVAL_US: u64 = 1_000_000;

/// Of the calls that an owner refuses by one rule, one in this number is logged.
const LOG_DIVISOR: u64 = 20;

/// Whether the refusal of a call by a rule of the owner is logged, by its number from 1 on.
pub(crate) fn is_logged(refused: u64) -> bool {
    refused % LOG_DIVISOR == 1
}

/// Time of the next line, and the refusals without a line.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    next_us: u64,
    suppressed: u64,
}

impl RefusalLog {
    /// The number of refusals without a line since the last one, if a line is due now.
    pub(crate) fn take_turn(&mut self, now_us: u64) -> Option<u64> {
        if now_us < self.next_us {
            self.suppressed += 1;
            return None;
        }
        self.next_us = now_us + INTERVAL_US;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Lines for each reason on its own, so that many refusals for one don't hide those for another.
#[derive(Debug, Default)]
pub(crate) struct RefusalLogs {
    by_code: Mutex<HashMap<&'static str, RefusalLog>>,
}

impl RefusalLogs {
    /// As [`RefusalLog::take_turn`], for refusals of this kind.
    pub(crate) fn take_turn(&self, now_us: u64, kind: ErrorKind) -> Option<u64> {
        let mut logs = self.by_code.lock().unwrap_or_else(PoisonError::into_inner);
        logs.entry(kind.info().code).or_default().take_turn(now_us)
    }
}
