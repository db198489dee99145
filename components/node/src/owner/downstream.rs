//! Refuses calls on arrival for which the instance would call a service that is short of capacity.

use super::state::Owner;
use crate::refusal_log::is_logged;
use errors::ErrorKind;
use limits::DownstreamRefusal;
use wire::{RunCall, RunResult};

impl Owner {
    /// Refusal of a call on its arrival. The trial of a crash suspect is not refused, since all nodes
    /// wait for its result.
    pub(super) fn downstream_refusal(&self, now_us: u64, call: &RunCall) -> Option<RunResult> {
        let downstream = self.context.downstream.as_ref()?;
        if self.is_trial(call.attempt) {
            return None;
        }
        let admitted = downstream
            .lock()
            .admit(now_us, &call.profile, call.priority);
        let refusal = admitted.err()?;
        let refused = self.context.kernel.metrics.downstream_refused.inc() + 1;
        if is_logged(refused) {
            log::info!(
                "owner: call {} refused, overloaded: {}; {refused} refused so far.",
                call.attempt,
                describe_rule(call, &refusal)
            );
        }
        Some(RunResult::RefusedFor {
            kind: ErrorKind::Overloaded,
            wait_us: refusal.retry_after_us,
        })
    }

    /// The rule by which `downstream_refusal` would refuse a call now.
    pub(super) fn upcoming_downstream_refusal(
        &self,
        now_us: u64,
        call: &RunCall,
    ) -> Option<String> {
        let downstream = self.context.downstream.as_ref()?;
        let refusal = downstream
            .lock()
            .preview(now_us, &call.profile, call.priority)?;
        Some(describe_rule(call, &refusal))
    }
}

fn describe_rule(call: &RunCall, refusal: &DownstreamRefusal) -> String {
    format!(
        "service {} is short of capacity, which {:.0} % of the calls of profile {} call; seen {} ms \
         ago, next probe in {} ms",
        refusal.service,
        refusal.share * 100.0,
        call.profile,
        refusal.age_us / 1_000,
        refusal.next_probe_in_us.div_ceil(1_000)
    )
}
