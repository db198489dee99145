//! Refusals of calls on their arrival, before admission control.

use super::state::{Owner, incoming_attempt};
use calls::{AttemptStatus, BeginResult};
use errors::ErrorKind;
use model::UpstreamName;
use std::sync::atomic::Ordering;
use wire::RunCall;

impl Owner {
    /// Reason to refuse all calls to an upstream because it isn't here or this node is not ready for
    /// them, with the rule for the log. Reads only.
    pub(super) fn readiness_refusal(&self, upstream: &UpstreamName) -> Option<(ErrorKind, String)> {
        if self.is_refusing.load(Ordering::Acquire) {
            return Some((ErrorKind::Stopping, "this node stops".to_owned()));
        }
        let is_here = self
            .lock_instance()
            .as_ref()
            .is_some_and(|i| i.upstream.name == *upstream);
        if !is_here {
            let rule = format!("instance {upstream} is not announced here");
            return Some((ErrorKind::NoUpstream, rule));
        }
        if !self.context.knows_suspects.load(Ordering::Acquire) {
            let rule = "the crash suspects of other nodes are not known yet";
            return Some((ErrorKind::NoUpstream, rule.to_owned()));
        }
        None
    }

    /// Reason to refuse a call regardless of its record, if there is one. Logs the rule that decided.
    pub(super) fn refusal_reason(
        &self,
        now_us: u64,
        deadline_us: u64,
        call: &RunCall,
    ) -> Option<ErrorKind> {
        let refuse = |kind: ErrorKind, rule: &str| {
            log::info!("owner: call {} refused, {kind}: {rule}.", call.attempt);
            Some(kind)
        };
        if let Some((kind, rule)) = self.readiness_refusal(&call.upstream) {
            return refuse(kind, &rule);
        }
        let logged = self
            .evacuation_refusal(now_us, call)
            .or_else(|| self.congestion_refusal(now_us, call));
        if logged.is_some() {
            return logged;
        }
        let kind = self.suspect_refusal(now_us, deadline_us, call)?;
        let evidence = self.context.count_refused(now_us, &call.fingerprint);
        refuse(kind, &evidence)
    }

    /// Records a refused attempt so that it can't start later. Returns its status if the attempt
    /// was known before.
    pub(super) fn record_refusal(
        &self,
        now_us: u64,
        deadline_us: u64,
        call: &RunCall,
    ) -> Option<AttemptStatus> {
        let mut records = self.lock_records();
        match records.begin(now_us, &incoming_attempt(call, deadline_us)) {
            BeginResult::New => {
                records.refuse(now_us, call.attempt);
                None
            }
            BeginResult::Duplicate(status) => Some(status),
            BeginResult::Refused(_) => None,
        }
    }
}
