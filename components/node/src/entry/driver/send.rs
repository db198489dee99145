//! Claims idempotency keys for attempts and sends attempts to owners.

use super::{CallDriver, DriverState, REPLY_GRACE_US};
use crate::entry::{call::PreparedCall, key_claims, reply::PendingAttempt};
use calls::Event;
use errors::ErrorKind;
use kernel::KindLabels;
use mesh::Channel;
use model::{AttemptId, Profile, Upstream};
use routing::UpstreamKey;
use std::sync::Arc;
use wire::{CallRequest, RunCall, encode};

impl CallDriver {
    /// Starts a claim round that claims the call's idempotency key for an attempt.
    pub(super) fn claim_key(
        self: &Arc<Self>,
        state: &mut DriverState,
        attempt: AttemptId,
        upstream: UpstreamKey,
        never_started: Vec<AttemptId>,
    ) -> Option<Event<UpstreamKey>> {
        let Some(target) = self.upstream(upstream) else {
            return Some(Event::SendFailed(attempt));
        };
        let Some(key) = self.call.key else {
            return Some(Event::ClaimFailed(attempt, ErrorKind::Internal));
        };
        let claim = calls::Claim {
            key,
            fingerprint: self.call.fingerprint,
            attempt,
            owner: target.node,
            never_started,
        };
        let claim_round = key_claims::new_claim_round(&self.entry.context, &claim);
        let ends_us = claim_round.ends_us();
        self.set_wake_time(self.wake_us().min(ends_us));
        state.next_round += 1;
        let round = state.next_round;
        state.claim_rounds.insert(round, (attempt, claim_round));
        key_claims::send_claim(&self.entry.context, &claim, ends_us, round, self);
        None
    }

    /// Sends an attempt to the owner of the chosen upstream.
    pub(super) fn send_attempt(
        self: &Arc<Self>,
        state: &mut DriverState,
        attempt: AttemptId,
        key: UpstreamKey,
    ) -> Option<Event<UpstreamKey>> {
        let Some(upstream) = self.upstream(key) else {
            return Some(Event::SendFailed(attempt));
        };
        let kernel = &self.entry.context.kernel;
        let now_us = kernel.clock.now_us();
        let kind = if std::mem::take(&mut state.is_hedge) {
            "hedge"
        } else {
            "retry"
        };
        if attempt.attempt > 0 {
            kernel
                .metrics
                .extra_attempts
                .get_or_create(&KindLabels { kind })
                .inc();
        }
        state.owners.insert(attempt, upstream.node);
        let message = self.encode_run_request(state, attempt, key, &upstream, now_us);
        self.routes.router().record_sent(now_us, key);
        let pending = PendingAttempt {
            attempt,
            key,
            owner: upstream.node,
            sent_us: now_us,
            deadline_us: self.call.deadline_us,
            routes: Arc::clone(&self.routes),
            driver: Arc::clone(self),
            context: Arc::clone(&self.entry.context),
        };
        kernel.mesh.request(
            upstream.node.mesh,
            Channel::Call,
            message,
            kernel.clock.instant(self.call.deadline_us + REPLY_GRACE_US),
            move |outcome| pending.handle_reply(outcome),
        );
        None
    }

    /// Encodes the request to run an attempt. An attempt that may still go to another owner gets a
    /// limit of its queue wait: it must start at once while the call has free moves, or it gets the
    /// longest wait of the routing choice, for which a retry is reserved.
    pub(super) fn encode_run_request(
        &self,
        state: &mut DriverState,
        attempt: AttemptId,
        key: UpstreamKey,
        upstream: &Upstream,
        now_us: u64,
    ) -> Vec<u8> {
        let profile = &self.call.profile;
        let max_moves = self.entry.context.kernel.node_settings().moves;
        let max_queue_wait = state.max_queue_wait.take();
        let max_queue_wait_us = max_queue_wait
            .filter(|(chosen, _)| *chosen == key)
            .map(|(_, max_queue_wait_us)| max_queue_wait_us);
        let QueueWait {
            start_now,
            max_queue_wait_us,
        } = queue_wait(profile, max_moves, attempt.attempt, max_queue_wait_us);
        if start_now {
            state.capacity_search.record_start_now(attempt);
        }
        let until_stop_us = self.entry.context.max_start_delay_at_stop_us(now_us);
        let max_queue_wait_us = max_queue_wait_us
            .filter(|_| self.routes.with_budgets(profile, |b| b.retry.try_reserve()));
        if max_queue_wait_us.is_some() {
            state.reserved_retries.insert(attempt);
        }
        let call = RunCall {
            attempt,
            owner: upstream.node,
            generation: self.entry.context.generations.current(upstream.node),
            upstream: upstream.name.clone(),
            keyed: self.call.key.is_some(),
            idempotent: profile.idempotent,
            profile: profile.name.clone(),
            priority: profile.priority,
            queue_limit: profile.queue_limit,
            remaining_us: self.call.deadline_us.saturating_sub(now_us),
            max_queue_wait_us: match (max_queue_wait_us, until_stop_us) {
                (Some(max_queue_wait_us), Some(stop_us)) => Some(max_queue_wait_us.min(stop_us)),
                (max_queue_wait_us, stop_us) => max_queue_wait_us.or(stop_us),
            },
            start_now,
            target_us: self.call.target_us.saturating_sub(now_us),
            fingerprint: self.call.identity,
            request: self.call.request.clone(),
        };
        let done_us = self
            .call
            .parent
            .as_ref()
            .map(|p| now_us.saturating_sub(p.started_us));
        encode(&match (customer_of(&self.call), done_us) {
            (customer, Some(done_us)) => CallRequest::RunNested {
                call,
                customer,
                done_us,
            },
            (Some(customer), None) => CallRequest::RunFor { call, customer },
            (None, None) => CallRequest::Run(call),
        })
    }
}

/// How an attempt may wait in the queue of its owner.
pub(in crate::entry) struct QueueWait {
    /// Whether it is refused unless it can start at once.
    pub(in crate::entry) start_now: bool,
    /// Longest wait, if a retry can be reserved for it.
    pub(in crate::entry) max_queue_wait_us: Option<u64>,
}

/// How an attempt may wait, by the number of the attempt and the longest wait of its routing choice.
pub(in crate::entry) fn queue_wait(
    profile: &Profile,
    max_moves: u16,
    attempt: u16,
    max_queue_wait_us: Option<u64>,
) -> QueueWait {
    let may_move = attempt + 1 < profile.attempts.max(max_moves);
    let max_queue_wait_us = max_queue_wait_us.filter(|_| may_move);
    QueueWait {
        // A call with free moves is not queued while another upstream may have a free slot.
        start_now: max_queue_wait_us.is_some() && attempt < max_moves,
        max_queue_wait_us: max_queue_wait_us.filter(|_| max_moves == 0),
    }
}

/// Name of the customer that the call belongs to; for a call of an instance, that of the call that it
/// is made for.
fn customer_of(call: &PreparedCall) -> Option<Arc<str>> {
    let own = call.customer.as_ref();
    own.or_else(|| call.parent.as_ref()?.customer.as_ref())
        .cloned()
}
