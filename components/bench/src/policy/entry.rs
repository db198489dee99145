//! The entries' part of a simulated run: attempts, retries, hedges and probes.

use super::{
    chooser::{AttemptKind, ChoiceContext, ChosenInstance},
    event::Event,
    scenario::Arrival,
    sim::Simulation,
};
use model::{AttemptId, CallId, LoadSignal, UpstreamState};
use routing::{AttemptResult, UpstreamKey};

/// Most attempts of one call, as a profile has by default.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// An attempt of a call, as its entry sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) instance: usize,
    /// The router's key of the instance, if the router chose it.
    key: Option<UpstreamKey>,
    sent_us: u64,
    /// Whether the entry still waits for the result.
    pending: bool,
    /// Whether a retry is reserved in case the owner refuses the attempt after its longest wait.
    reserved: bool,
    /// Whether a cancellation overtook the attempt on its way to the owner.
    pub(super) cancelled: bool,
}

/// A call, as its entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Call {
    pub(super) attempts: [Option<Attempt>; MAX_ATTEMPTS],
    attempt_count: usize,
    done: bool,
}

impl Call {
    fn has_pending(&self) -> bool {
        self.attempts.iter().flatten().any(|a| a.pending)
    }
}

impl Simulation<'_> {
    /// Starts a call and schedules the next arrival.
    pub(super) fn handle_call(&mut self, index: usize) {
        let workload = self.workload;
        if let Some(next) = workload.arrivals.get(index + 1) {
            self.schedule(next.at_us, Event::CallArrived(index + 1));
        }
        self.schedule(
            self.now_us + self.settings.deadline_us,
            Event::Deadline(index),
        );
        if self.policy.is_router() && self.settings.hedge_percent > 0 {
            self.schedule_hedge(index);
        }
        if !self.start_attempt(index, false) {
            self.fail(index);
        }
    }

    pub(super) fn arrival(&self, index: usize) -> Arrival {
        self.workload.arrivals[index]
    }

    /// Credits the hedge budget for a call and, if the call is idempotent, schedules its hedge.
    fn schedule_hedge(&mut self, index: usize) {
        let arrival = self.arrival(index);
        let entry = &mut self.entries[arrival.entry];
        entry.hedge_budget.on_success(self.now_us);
        let quantile_us = entry
            .router
            .latency_quantile_us(self.settings.hedge_quantile);
        if let Some(delay_us) = quantile_us.filter(|_| arrival.idempotent) {
            self.schedule(self.now_us + delay_us, Event::HedgeTimer(index));
        }
    }

    /// Sends one more attempt; false if no instance is left for it.
    fn start_attempt(&mut self, index: usize, hedge: bool) -> bool {
        let arrival = self.arrival(index);
        let call = &self.calls[index];
        let number = call.attempt_count;
        let used: Vec<usize> = call.attempts.iter().flatten().map(|a| a.instance).collect();
        let local_signal = self.local_signal(arrival.entry);
        let context = ChoiceContext {
            instances: &self.instances,
            network_us: &self.network_us[arrival.entry],
            local_signal,
        };
        let kind = AttemptKind {
            idempotent: arrival.idempotent,
            hedge,
        };
        let entry = &mut self.entries[arrival.entry];
        let Some(chosen) = entry.choose(self.now_us, self.policy, &used, kind, &context) else {
            return false;
        };
        entry.record_sent(self.now_us, chosen);
        let may_move = self.settings.limit_queue_wait && number + 1 < MAX_ATTEMPTS;
        let max_queue_wait_us = chosen
            .max_queue_wait_us
            .filter(|_| may_move && entry.retry_budget.try_reserve());
        self.send_due_probes(arrival.entry);
        self.send_attempt(index, number, chosen, max_queue_wait_us);
        true
    }

    /// Load of the instance beside the entry, which the router learns without a message.
    fn local_signal(&mut self, entry: usize) -> Option<(usize, LoadSignal)> {
        let is_known = self.scenario.sidecar && self.policy.is_router();
        is_known.then(|| (entry, self.instances[entry].next_load_signal(self.now_us)))
    }

    fn send_attempt(
        &mut self,
        index: usize,
        number: usize,
        chosen: ChosenInstance,
        max_queue_wait_us: Option<u64>,
    ) {
        let entry = self.arrival(index).entry;
        let call = &mut self.calls[index];
        call.attempts[number] = Some(Attempt {
            instance: chosen.instance,
            key: chosen.key,
            sent_us: self.now_us,
            pending: true,
            reserved: max_queue_wait_us.is_some(),
            cancelled: false,
        });
        call.attempt_count += 1;
        self.instances[chosen.instance].in_transit += 1;
        let id = attempt_id(entry, index, number);
        let event = Event::AttemptArrived(id, max_queue_wait_us);
        self.send_message(entry, chosen.instance, event);
    }

    fn send_due_probes(&mut self, entry: usize) {
        if !self.policy.is_router() {
            return;
        }
        for key in self.entries[entry].router.take_due_probes(self.now_us) {
            self.entries[entry].probe_times_us.push(self.now_us);
            let Some(instance) = self.entries[entry].instance_of(key) else {
                continue;
            };
            let event = Event::ProbeArrived {
                entry,
                instance,
                sent_us: self.now_us,
            };
            self.send_message(entry, instance, event);
        }
    }

    pub(super) fn handle_response(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        stopping: bool,
        signal: LoadSignal,
    ) {
        let index = id.call.sequence as usize;
        let arrival = self.arrival(index);
        let Some(attempt) =
            self.record_result(index, usize::from(id.attempt), result, Some(signal))
        else {
            return;
        };
        if stopping {
            let (now_us, scenario) = (self.now_us, self.scenario);
            let restarts = self.instances[attempt.instance].restarts;
            let state = UpstreamState::Draining;
            let entry = &mut self.entries[arrival.entry];
            entry.record_state(now_us, scenario, attempt.instance, restarts, state);
        }
        if self.calls[index].done {
            return;
        }
        if result == AttemptResult::Ok {
            self.entries[arrival.entry]
                .retry_budget
                .on_success(self.now_us);
            self.complete(index, self.now_us - arrival.at_us);
            return;
        }
        let may_repeat = result == AttemptResult::Refused || arrival.idempotent;
        self.retry(index, may_repeat, attempt.reserved);
    }

    /// Retries a call if its attempts and the retry budget allow that; a reserved retry needs no
    /// budget. Otherwise fails the call, unless another attempt is pending.
    fn retry(&mut self, index: usize, may_repeat: bool, reserved: bool) {
        let entry = self.arrival(index).entry;
        let retry_budget = &mut self.entries[entry].retry_budget;
        let may_retry = may_repeat
            && self.calls[index].attempt_count < MAX_ATTEMPTS
            && (reserved || retry_budget.try_retry(self.now_us));
        if may_retry && self.start_attempt(index, false) {
            self.result.retries += 1;
            return;
        }
        if reserved {
            self.entries[entry].retry_budget.release();
        }
        if !self.calls[index].has_pending() {
            self.fail(index);
        }
    }

    pub(super) fn send_hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.done || call.attempt_count >= MAX_ATTEMPTS {
            return;
        }
        let entry = self.arrival(index).entry;
        if !self.entries[entry].hedge_budget.try_retry(self.now_us) {
            return;
        }
        if self.start_attempt(index, true) {
            self.result.hedges += 1;
        } else {
            self.entries[entry].hedge_budget.release();
        }
    }

    /// Records the result of an attempt at its entry; `None` if a result was recorded before. A
    /// reserved retry is kept only for a refused or failed attempt.
    fn record_result(
        &mut self,
        index: usize,
        number: usize,
        result: AttemptResult,
        signal: Option<LoadSignal>,
    ) -> Option<Attempt> {
        let entry = &mut self.entries[self.workload.arrivals[index].entry];
        let attempt = self.calls[index].attempts[number]
            .as_mut()
            .filter(|a| a.pending)?;
        attempt.pending = false;
        entry.record_ended(attempt.instance);
        if attempt.reserved && result != AttemptResult::Refused && result != AttemptResult::Failed {
            entry.retry_budget.release();
        }
        if let Some(key) = attempt.key {
            let latency_us = self.now_us - attempt.sent_us;
            entry
                .router
                .record_result(self.now_us, key, result, latency_us, signal);
        }
        Some(*attempt)
    }

    pub(super) fn handle_deadline(&mut self, index: usize) {
        if self.calls[index].done {
            return;
        }
        self.cancel_pending(index, AttemptResult::TimedOut);
        self.fail(index);
    }

    /// Records the latency of a call and cancels its other attempts.
    fn complete(&mut self, index: usize, latency_us: u64) {
        self.calls[index].done = true;
        let deadline_us = self.settings.deadline_us;
        if let Some(kind) = &self.arrival(index).kind {
            self.result.value.record(kind, latency_us);
        }
        self.result
            .latencies_us
            .push(latency_us.min(deadline_us) as u32);
        self.cancel_pending(index, AttemptResult::Cancelled);
    }

    /// Counts a call as failed, with the deadline as its latency.
    fn fail(&mut self, index: usize) {
        self.result.errors += 1;
        self.complete(index, self.settings.deadline_us);
    }

    /// Cancels the pending attempts of a call and records the given result for them.
    fn cancel_pending(&mut self, index: usize, result: AttemptResult) {
        let entry = self.arrival(index).entry;
        for number in 0..self.calls[index].attempt_count {
            let Some(attempt) = self.record_result(index, number, result, None) else {
                continue;
            };
            let id = attempt_id(entry, index, number);
            let event = Event::CancelArrived(id, attempt.instance);
            self.send_message(entry, attempt.instance, event);
        }
    }

    /// Records a probe's reply, which has arrived at its entry.
    pub(super) fn handle_probe_reply(
        &mut self,
        entry: usize,
        key: UpstreamKey,
        signal: LoadSignal,
        sent_us: u64,
    ) {
        let round_trip_us = self.now_us - sent_us;
        let router = &mut self.entries[entry].router;
        router.record_probe_reply(self.now_us, key, signal, round_trip_us);
    }
}

fn attempt_id(entry: usize, index: usize, number: usize) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: entry as u64,
            sequence: index as u64,
        },
        attempt: number as u16,
    }
}
