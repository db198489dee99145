//! A simulated instance and its owner's admission queue.

use super::scenario::{Disturbance, MEAN_SERVICE_US, NOISY_FACTOR};
use limits::{Admission, AdmissionConfig, AdmissionOrder, QueueDecision};
use model::{AttemptId, LoadSignal, UpstreamState};

/// Factor by which a cold instance is slower.
const COLD_FACTOR: f64 = 2.0;
/// Service time of a call that fails fast, in microseconds.
const FAILING_WORK_US: f64 = 500.0;
/// Factor by which a misreporting instance understates its service time.
const MISREPORT_DIVISOR: u32 = 5;

/// A call in a slot.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    attempt: AttemptId,
    started_us: u64,
    /// Service time that is left at full speed.
    remaining_us: f64,
    fails: bool,
}

/// A call that the instance has finished.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedCall {
    pub(crate) attempt: AttemptId,
    pub(crate) service_us: u64,
    pub(crate) failed: bool,
}

/// A simulated instance. The calls in its slots all run at the same speed, which disturbances
/// change.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) admission: Admission,
    pub(crate) state: UpstreamState,
    pub(crate) restarts: u64,
    /// Number of attempts on the way to the owner, which only the oracle knows.
    pub(crate) in_transit: u32,
    /// Incremented when the next end must be rescheduled; a scheduled end of an older generation is
    /// ignored.
    pub(crate) generation: u64,
    running: Vec<RunningCall>,
    /// Time up to which `remaining_us` of the running calls is computed.
    updated_us: u64,
    /// Number of noisy periods in progress.
    noisy_periods: u32,
    cold: bool,
    failing: bool,
    misreporting: bool,
}

impl Instance {
    pub(crate) fn new(slots: u32, queue_limit: u32, order: AdmissionOrder) -> Self {
        Instance {
            admission: Admission::new(AdmissionConfig {
                slots,
                urgent_slots: 0,
                queue_limit,
            })
            .with_order(order),
            state: UpstreamState::Serving,
            restarts: 0,
            in_transit: 0,
            generation: 0,
            running: Vec::new(),
            updated_us: 0,
            noisy_periods: 0,
            cold: false,
            failing: false,
            misreporting: false,
        }
    }

    /// Starts an attempt in a free slot; `work_us` is its service time at full speed.
    pub(crate) fn start(&mut self, now_us: u64, attempt: AttemptId, work_us: f64) {
        self.advance(now_us);
        self.running.push(RunningCall {
            attempt,
            started_us: now_us,
            remaining_us: if self.failing {
                FAILING_WORK_US
            } else {
                work_us
            },
            fails: self.failing,
        });
        self.generation += 1;
    }

    /// Removes and returns the calls that have finished by now.
    pub(crate) fn take_finished(&mut self, now_us: u64) -> Vec<FinishedCall> {
        self.advance(now_us);
        self.generation += 1;
        let mut finished = Vec::new();
        self.running.retain(|run| {
            let is_finished = run.remaining_us < 0.5;
            if is_finished {
                finished.push(FinishedCall {
                    attempt: run.attempt,
                    service_us: now_us - run.started_us,
                    failed: run.fails,
                });
            }
            !is_finished
        });
        finished
    }

    /// Stops a running call; simulated upstreams react to a cancellation at once.
    pub(crate) fn abort(&mut self, now_us: u64, attempt: AttemptId) {
        self.advance(now_us);
        self.running.retain(|run| run.attempt != attempt);
        self.generation += 1;
    }

    /// Time at which the next call finishes, if the speed does not change before.
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        let remaining_us = self
            .running
            .iter()
            .map(|run| run.remaining_us)
            .min_by(f64::total_cmp)?
            / self.speed();
        Some(self.updated_us + remaining_us.max(0.0).ceil() as u64)
    }

    /// Applies a disturbance and returns the admission's decisions on waiting attempts.
    pub(crate) fn apply_disturbance(
        &mut self,
        now_us: u64,
        disturbance: Disturbance,
    ) -> Vec<QueueDecision> {
        self.advance(now_us);
        self.generation += 1;
        match disturbance {
            Disturbance::Noisy(true) => self.noisy_periods += 1,
            Disturbance::Noisy(false) => self.noisy_periods -= 1,
            Disturbance::Failing(on) => self.failing = on,
            Disturbance::Misreporting(on) => self.misreporting = on,
            Disturbance::Warm => self.cold = false,
            Disturbance::Draining => {
                self.state = UpstreamState::Draining;
                return self.admission.set_state(self.state);
            }
            Disturbance::Restarted => {
                self.restarts += 1;
                self.cold = true;
                self.state = UpstreamState::Serving;
                return self.admission.set_state(self.state);
            }
        }
        Vec::new()
    }

    /// The load signal that the owner attaches to its next message; false while the instance
    /// misreports.
    pub(crate) fn next_load_signal(&mut self, now_us: u64) -> LoadSignal {
        let signal = self.admission.next_load_signal(now_us);
        if !self.misreporting {
            return signal;
        }
        LoadSignal {
            in_flight: 0,
            queued: 0,
            service_time_us: signal.service_time_us / MISREPORT_DIVISOR,
            pace_percent: 0,
            ..signal
        }
    }

    /// Expected time to serve one more call, from the true present state.
    pub(crate) fn true_expected_us(&self) -> f64 {
        if self.failing {
            return f64::MAX;
        }
        let slots = f64::from(self.admission.slots());
        let ahead = self.admission.in_flight() + self.admission.queued() + self.in_transit;
        let waits = (f64::from(ahead) + 1.0 - slots).max(0.0) / slots;
        (1.0 + waits) * MEAN_SERVICE_US / self.speed()
    }

    /// Speed relative to an undisturbed instance.
    fn speed(&self) -> f64 {
        let noisy = if self.noisy_periods > 0 {
            NOISY_FACTOR
        } else {
            1.0
        };
        let cold = if self.cold { COLD_FACTOR } else { 1.0 };
        1.0 / (noisy * cold)
    }

    /// Accounts for the work done since the last update.
    fn advance(&mut self, now_us: u64) {
        let done_us = (now_us - self.updated_us) as f64 * self.speed();
        self.updated_us = now_us;
        for run in &mut self.running {
            run.remaining_us -= done_us;
        }
    }
}
