//! Credit and budget for probes.

use limits::TokenBucket;
use model::ProbeMode;

/// Messages of one probe: the request and its reply.
const MESSAGES_PER_PROBE: u32 = 2;
/// Credit of one message.
const CREDIT_PER_MESSAGE: u32 = 10;
/// Credit that one call earns in the economical setting: a tenth of a message.
const ECONOMICAL_CREDIT: u32 = 1;
/// Credit that one call earns in the fast setting: one message.
const FAST_CREDIT: u32 = 10;
/// Most credit saved up, in probes, so that a quiet period earns no later flood.
const MAX_SAVED_PROBES: u32 = 4;

/// Decides when a probe may be sent: earned by calls, and within the budget of each second.
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

    pub(crate) fn earn(&mut self, measure: ProbeMode) {
        let earned = match measure {
            ProbeMode::None => 0,
            ProbeMode::Economical => ECONOMICAL_CREDIT,
            ProbeMode::Fast => FAST_CREDIT,
        };
        let most = MAX_SAVED_PROBES * MESSAGES_PER_PROBE * CREDIT_PER_MESSAGE;
        self.credit = (self.credit + earned).min(most);
    }

    pub(crate) fn try_probe(&mut self, now_us: u64) -> bool {
        let cost = MESSAGES_PER_PROBE * CREDIT_PER_MESSAGE;
        if self.credit < cost || !self.bucket.try_take(now_us, MESSAGES_PER_PROBE) {
            return false;
        }
        self.credit -= cost;
        true
    }
}
