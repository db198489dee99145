//! Limits on probes, which are messages that an entry sends to an owner only to get its load
//! signal.

use limits::TokenBucket;
use model::ProbeMode;

/// Messages of one probe: the request and its reply.
const MESSAGES_PER_PROBE: u32 = 2;
const CREDIT_PER_MESSAGE: u32 = 10;
/// Credit that one call earns in mode `Economical`: a tenth of a message.
const ECONOMICAL_CREDIT: u32 = 1;
/// Credit that one call earns in mode `Fast`: one message.
const FAST_CREDIT: u32 = 10;
/// Maximum credit that is saved, in probes, so that earlier calls can't pay for a burst of probes.
const MAX_SAVED_PROBES: u32 = 4;

/// Decides when a probe may be sent: calls must have earned its credit, and it must be within the
/// budget per second.
#[derive(Clone, Debug)]
pub(crate) struct ProbeBudget {
    credit: u32,
    bucket: TokenBucket,
}

impl ProbeBudget {
    pub(crate) fn new(messages_per_s: u32) -> Self {
        ProbeBudget {
            credit: 0,
            bucket: TokenBucket::new(messages_per_s, messages_per_s),
        }
    }

    /// Adds the credit of one call.
    pub(crate) fn add_credit(&mut self, mode: ProbeMode) {
        let earned = match mode {
            ProbeMode::None => 0,
            ProbeMode::Economical => ECONOMICAL_CREDIT,
            ProbeMode::Fast => FAST_CREDIT,
        };
        let max_credit = MAX_SAVED_PROBES * MESSAGES_PER_PROBE * CREDIT_PER_MESSAGE;
        self.credit = (self.credit + earned).min(max_credit);
    }

    /// Takes the credit and budget of one probe if there is enough of both.
    pub(crate) fn try_probe(&mut self, now_us: u64) -> bool {
        let cost = MESSAGES_PER_PROBE * CREDIT_PER_MESSAGE;
        if self.credit < cost || !self.bucket.try_take(now_us, MESSAGES_PER_PROBE) {
            return false;
        }
        self.credit -= cost;
        true
    }
}
