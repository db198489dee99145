//! Claims idempotency keys for attempts and sends attempts to owners.

use super::{Drive, REPLY_GRACE_US, State};
use crate::entry::{keys, reply::RunReply};
use calls::Event;
use errors::ErrorKind;
use kernel::KindLabels;
use mesh::Channel;
use model::{AttemptId, Upstream};
use routing::UpstreamKey;
use std::sync::Arc;
use wire::{CallRequest, RunCall, encode};

impl Drive {
    pub(super) fn claim(
        self: &Arc<Self>,
        state: &mut State,
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
        let open = keys::new_round(&self.entry.context, &claim);
        let ends_us = open.ends_us();
        self.set_wake(self.wake_us().min(ends_us));
        state.next_round += 1;
        let round = state.next_round;
        state.rounds.insert(round, (attempt, open));
        keys::ask_keepers(&self.entry.context, &claim, ends_us, round, self);
        None
    }

    pub(super) fn send(
        self: &Arc<Self>,
        state: &mut State,
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
        let message = self.run_message(state, attempt, key, &upstream, now_us);
        self.routes.router().record_sent(now_us, key);
        let reply = RunReply {
            attempt,
            key,
            owner: upstream.node,
            sent_us: now_us,
            deadline_us: self.call.deadline_us,
            routes: Arc::clone(&self.routes),
            drive: Arc::clone(self),
            context: Arc::clone(&self.entry.context),
        };
        kernel.mesh.request(
            upstream.node.mesh,
            Channel::Call,
            message,
            kernel.clock.instant(self.call.deadline_us + REPLY_GRACE_US),
            move |outcome| reply.take(outcome),
        );
        None
    }

    pub(super) fn run_message(
        &self,
        state: &mut State,
        attempt: AttemptId,
        key: UpstreamKey,
        upstream: &Upstream,
        now_us: u64,
    ) -> Vec<u8> {
        let profile = &self.call.profile;
        let moves_left = self.entry.context.kernel.node_settings().moves;
        let may_move = attempt.attempt + 1 < profile.attempts.max(moves_left);
        let patience = state
            .patience
            .take()
            .filter(|(chosen, _)| may_move && *chosen == key);
        // A call with free moves is not queued while another upstream may have a free slot.
        let moves = self.entry.context.kernel.node_settings().moves;
        let start_now = patience.is_some() && attempt.attempt < moves;
        if start_now {
            state.room.record_start_now(attempt);
        }
        let until_stop_us = self.entry.context.start_by_at_stop_us(now_us);
        let patience_us = patience
            .filter(|_| moves == 0)
            .map(|(_, patience_us)| patience_us)
            .filter(|_| self.routes.with_budgets(profile, |b| b.retry.try_reserve()));
        if patience_us.is_some() {
            state.reserved.insert(attempt);
        }
        encode(&CallRequest::Run(RunCall {
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
            max_queue_wait_us: match (patience_us, until_stop_us) {
                (Some(patience_us), Some(stop_us)) => Some(patience_us.min(stop_us)),
                (patience_us, stop_us) => patience_us.or(stop_us),
            },
            start_now,
            target_us: self.call.target_us.saturating_sub(now_us),
            fingerprint: self.call.fingerprint,
            request: self.call.request.clone(),
        }))
    }
}
