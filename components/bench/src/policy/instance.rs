//! A simulated instance with its owner's admission.

use super::scenario::{Disturbance, MEAN_SERVICE_US, NOISY_FACTOR};
use limits::{Admission, AdmissionConfig, QueueDecision};
use model::{AttemptId, LoadSignal, UpstreamState};

/// Factor by which a cold instance is slower.
const COLD_FACTOR: f64 = 2.0;
/// Work of a call that fails fast, in microseconds.
const FAILING_WORK_US: f64 = 500.0;
/// Factor by which a lying instance understates its service time.
const LIE_DIVISOR: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Run {
    attempt: AttemptId,
    started_us: u64,
    remaining_us: f64,
    fails: bool,
}

/// A call that ended at the instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) attempt: AttemptId,
    pub(crate) service_us: u64,
    pub(crate) failed: bool,
}

/// Slots that share one speed.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) admission: Admission,
    pub(crate) state: UpstreamState,
    pub(crate) restarts: u64,
    /// Attempts on the way to the owner, which only the oracle sees.
    pub(crate) in_transit: u32,
    /// Changes whenever the next end must be scheduled anew.
    pub(crate) generation: u64,
    runs: Vec<Run>,
    updated_us: u64,
    noisy: u32,
    cold: bool,
    failing: bool,
    lying: bool,
}

impl Instance {
    pub(crate) fn new(slots: u32, queue_limit: u32) -> Self {
        Instance {
            admission: Admission::new(AdmissionConfig {
                slots,
                urgent_slots: 0,
                queue_limit,
            }),
            state: UpstreamState::Serving,
            restarts: 0,
            in_transit: 0,
            generation: 0,
            runs: Vec::new(),
            updated_us: 0,
            noisy: 0,
            cold: false,
            failing: false,
            lying: false,
        }
    }

    pub(crate) fn start(&mut self, now_us: u64, attempt: AttemptId, work_us: f64) {
        self.advance(now_us);
        self.runs.push(Run {
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

    /// Removes the runs that are over by now.
    pub(crate) fn ended(&mut self, now_us: u64) -> Vec<Ended> {
        self.advance(now_us);
        self.generation += 1;
        let mut ended = Vec::new();
        self.runs.retain(|run| {
            let is_over = run.remaining_us < 0.5;
            if is_over {
                ended.push(Ended {
                    attempt: run.attempt,
                    service_us: now_us - run.started_us,
                    failed: run.fails,
                });
            }
            !is_over
        });
        ended
    }

    /// Aborts a run; the upstream accepts cancellation.
    pub(crate) fn abort(&mut self, now_us: u64, attempt: AttemptId) {
        self.advance(now_us);
        self.runs.retain(|run| run.attempt != attempt);
        self.generation += 1;
    }

    pub(crate) fn next_end_us(&self) -> Option<u64> {
        let remaining_us = self
            .runs
            .iter()
            .map(|run| run.remaining_us)
            .min_by(f64::total_cmp)?
            / self.speed();
        Some(self.updated_us + remaining_us.max(0.0).ceil() as u64)
    }

    pub(crate) fn disturb(&mut self, now_us: u64, disturbance: Disturbance) -> Vec<QueueDecision> {
        self.advance(now_us);
        self.generation += 1;
        match disturbance {
            Disturbance::Noisy(true) => self.noisy += 1,
            Disturbance::Noisy(false) => self.noisy -= 1,
            Disturbance::Failing(on) => self.failing = on,
            Disturbance::Lying(on) => self.lying = on,
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

    /// The signal that the owner attaches to its messages, falsified while the instance lies.
    pub(crate) fn signal(&mut self, now_us: u64) -> LoadSignal {
        let signal = self.admission.next_load_signal(now_us);
        if !self.lying {
            return signal;
        }
        LoadSignal {
            in_flight: 0,
            queued: 0,
            service_time_us: signal.service_time_us / LIE_DIVISOR,
            pace_percent: 0,
            ..signal
        }
    }

    /// Expected time to serve one more call, from the true state of this moment.
    pub(crate) fn true_expected_us(&self) -> f64 {
        if self.failing {
            return f64::MAX;
        }
        let slots = f64::from(self.admission.slots());
        let ahead = self.admission.in_flight() + self.admission.queued() + self.in_transit;
        let waits = (f64::from(ahead) + 1.0 - slots).max(0.0) / slots;
        (1.0 + waits) * MEAN_SERVICE_US / self.speed()
    }

    fn speed(&self) -> f64 {
        let noisy = if self.noisy > 0 { NOISY_FACTOR } else { 1.0 };
        let cold = if self.cold { COLD_FACTOR } else { 1.0 };
        1.0 / (noisy * cold)
    }

    fn advance(&mut self, now_us: u64) {
        let done_us = (now_us - self.updated_us) as f64 * self.speed();
        self.updated_us = now_us;
        for run in &mut self.runs {
            run.remaining_us -= done_us;
        }
    }
}
