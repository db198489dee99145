//! The owners' part of a simulated run: admission, execution and load reports of the instances.

use super::{event::Event, instance::Instance, scenario::Disturbance, sim::Simulation};
use errors::ErrorKind;
use limits::{AdmissionRequest, AdmissionResult, CancelResult, QueueDecision};
use model::{AttemptId, Priority};
use rand::RngExt;
use routing::AttemptResult;

/// Time between an instance's load reports, in microseconds.
const REPORT_INTERVAL_US: u64 = 50_000;
/// Shortest and longest delay of a load report or of gossip, in microseconds.
const REPORT_DELAY_US: (u64, u64) = (5_000, 200_000);

impl Simulation<'_> {
    /// Asks the owner's admission for a slot for an attempt that has arrived.
    pub(super) fn admit(&mut self, id: AttemptId, max_queue_wait_us: Option<u64>) {
        let index = id.call.sequence as usize;
        let Some(attempt) = self.calls[index].attempts[usize::from(id.attempt)] else {
            return;
        };
        let arrival = self.arrival(index);
        let deadline_us = arrival.at_us + self.settings.deadline_us;
        let (priority, expected_us, target_us) = match arrival.kind {
            Some(kind) => (kind.priority, kind.mean_us, arrival.at_us + kind.target_us),
            None => (Priority::Normal, 0, u64::MAX),
        };
        let request = AdmissionRequest {
            attempt: id,
            priority,
            deadline_us,
            start_by_us: max_queue_wait_us
                .map_or(deadline_us, |wait_us| self.now_us + wait_us)
                .min(target_us.saturating_sub(expected_us)),
            expected_us,
            target_us,
            start_now: false,
            queue_limit: self.settings.queue_limit,
            customer: None,
            done_us: 0,
        };
        let instance = &mut self.instances[attempt.instance];
        instance.in_transit -= 1;
        if attempt.cancelled {
            return;
        }
        match instance.admission.admit(self.now_us, request) {
            AdmissionResult::Start => {
                instance.start(self.now_us, id, arrival.work_us);
                self.reschedule_end(attempt.instance);
            }
            AdmissionResult::Queued | AdmissionResult::QueuedInstead(_) => {
                let at_us = request.start_by_us.min(deadline_us);
                self.schedule(at_us, Event::QueueTimer(attempt.instance));
            }
            AdmissionResult::Refused(kind) => self.refuse(attempt.instance, id, kind),
        }
    }

    /// Responds to the calls that an instance has finished and starts waiting ones.
    pub(super) fn finish_calls(&mut self, instance: usize, generation: u64) {
        if self.instances[instance].generation != generation {
            return;
        }
        for finished in self.instances[instance].take_finished(self.now_us) {
            let service_us = if finished.failed {
                self.settings.deadline_us
            } else {
                finished.service_us
            };
            let admission = &mut self.instances[instance].admission;
            let decisions = admission.finish(self.now_us, finished.attempt, service_us);
            let result = if finished.failed {
                AttemptResult::Failed
            } else {
                AttemptResult::Ok
            };
            self.respond(instance, finished.attempt, result, false);
            self.apply_decisions(instance, decisions);
        }
        self.reschedule_end(instance);
    }

    /// Schedules the next end of a call at an instance after its speed or its calls have changed.
    pub(super) fn reschedule_end(&mut self, instance: usize) {
        let Some(at_us) = self.instances[instance].next_end_us() else {
            return;
        };
        let generation = self.instances[instance].generation;
        self.schedule(
            at_us.max(self.now_us),
            Event::CallFinished {
                instance,
                generation,
            },
        );
    }

    pub(super) fn apply_decisions(&mut self, instance: usize, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            match decision {
                QueueDecision::Start(id) => {
                    let work_us = self.arrival(id.call.sequence as usize).work_us;
                    self.instances[instance].start(self.now_us, id, work_us);
                    self.reschedule_end(instance);
                }
                QueueDecision::Refuse(id, kind) => self.refuse(instance, id, kind),
            }
        }
    }

    fn refuse(&mut self, instance: usize, id: AttemptId, kind: ErrorKind) {
        self.respond(
            instance,
            id,
            AttemptResult::Refused,
            kind == ErrorKind::Stopping,
        );
    }

    /// Sends the result of an attempt to its entry.
    fn respond(
        &mut self,
        instance: usize,
        attempt: AttemptId,
        result: AttemptResult,
        stopping: bool,
    ) {
        let signal = self.instances[instance].next_load_signal(self.now_us);
        let event = Event::ResponseArrived {
            attempt,
            result,
            stopping,
            signal,
        };
        self.send_message(attempt.call.origin as usize, instance, event);
    }

    /// Replies to a probe that has arrived at the instance.
    pub(super) fn handle_probe(&mut self, entry: usize, instance: usize, sent_us: u64) {
        let event = Event::ProbeReplyArrived {
            entry,
            key: self.entries[entry].key(instance),
            signal: self.instances[instance].next_load_signal(self.now_us),
            sent_us,
        };
        self.send_message(entry, instance, event);
    }

    /// Cancels an attempt at the owner. If it has not arrived there yet, it is marked and will not
    /// be admitted.
    pub(super) fn handle_cancel(&mut self, id: AttemptId, instance: usize) {
        match self.instances[instance].admission.cancel(id) {
            CancelResult::Running => {}
            CancelResult::NotStarted => return,
            CancelResult::Unknown => {
                let call = &mut self.calls[id.call.sequence as usize];
                if let Some(attempt) = &mut call.attempts[usize::from(id.attempt)] {
                    attempt.cancelled = true;
                }
                return;
            }
        }
        self.instances[instance].abort(self.now_us, id);
        let decisions = self.instances[instance]
            .admission
            .release_slot(self.now_us, id);
        self.apply_decisions(instance, decisions);
        self.reschedule_end(instance);
    }

    /// Sends an instance's load to all entries and schedules its next report.
    pub(super) fn send_report(&mut self, instance: usize) {
        let signal = self.instances[instance].next_load_signal(self.now_us);
        let load = signal.in_flight + signal.queued;
        for entry in 0..self.entries.len() {
            let at_us = self.now_us + self.rng.random_range(REPORT_DELAY_US.0..REPORT_DELAY_US.1);
            self.schedule(
                at_us,
                Event::ReportArrived {
                    entry,
                    instance,
                    load,
                },
            );
        }
        self.schedule(
            self.now_us + REPORT_INTERVAL_US,
            Event::SendReport(instance),
        );
    }

    /// Applies a disturbance; gossip carries a change of state to all entries.
    pub(super) fn apply_disturbance(&mut self, index: usize) {
        let (_, instance, disturbance) = self.workload.disturbances[index];
        let decisions = self.instances[instance].apply_disturbance(self.now_us, disturbance);
        self.apply_decisions(instance, decisions);
        self.reschedule_end(instance);
        if !matches!(disturbance, Disturbance::Draining | Disturbance::Restarted) {
            return;
        }
        let Instance {
            restarts, state, ..
        } = self.instances[instance];
        for entry in 0..self.entries.len() {
            let at_us = self.now_us + self.rng.random_range(REPORT_DELAY_US.0..REPORT_DELAY_US.1);
            self.schedule(
                at_us,
                Event::GossipArrived {
                    entry,
                    instance,
                    restarts,
                    state,
                },
            );
        }
    }
}
