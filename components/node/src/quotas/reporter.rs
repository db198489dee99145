//! Sends reports to the coordinator and finds out which control replica it is.

use super::QuotaGate;
use crate::context::NodeContext;
use crossbeam::{
    channel::{Receiver, Sender, bounded, unbounded},
    select,
};
use kernel::Clock;
use mesh::Channel;
use quota::{ANSWER_TIMEOUT_US, QuotaAnswer, QuotaReport};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest, decode, encode};

/// Longest sleep, and with it the longest delay of a stop.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Longest sleep while a call waits for the refill of a share.
pub(super) const WAITING_PAUSE: Duration = Duration::from_millis(10);
/// Longest time for which a stop waits until the coordinator confirms that this node leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Most replicas that are asked with one report.
const MAX_ATTEMPTS: usize = 5;

/// Answer to a report; `None` if there was none.
type Answer = (u64, Option<ControlReply>);

/// A report whose answer has not arrived.
struct Outstanding {
    sequence: u64,
    payload: Vec<u8>,
    attempts: usize,
}

/// The thread that reports to the coordinator.
pub(super) struct Reporter {
    context: Arc<NodeContext>,
    gate: Arc<QuotaGate>,
    /// The replica that is taken for the coordinator.
    target: Option<SocketAddr>,
    outstanding: Option<Outstanding>,
    answer_sender: Sender<Answer>,
    answers: Receiver<Answer>,
}

impl Reporter {
    pub(super) fn new(context: Arc<NodeContext>, gate: Arc<QuotaGate>) -> Self {
        let (answer_sender, answers) = unbounded();
        Reporter {
            context,
            gate,
            target: None,
            outstanding: None,
            answer_sender,
            answers,
        }
    }

    /// Reports until the process stops.
    pub(super) fn run(mut self) {
        let gate = Arc::clone(&self.gate);
        let answers = self.answers.clone();
        while !self.context.kernel.shutdown.is_raised() {
            let (report, pause) = gate.poll();
            if let Some(report) = report {
                self.start(report);
            }
            select! {
                recv(gate.wakes) -> _ => {}
                recv(answers) -> answer => {
                    if let Ok((sequence, reply)) = answer {
                        self.handle_answer(sequence, reply);
                    }
                }
                default(pause) => {}
            }
        }
        self.leave();
    }

    /// Gives up what the node holds, so that the coordinator can lend it to others at once and its
    /// successor doesn't wait for this node.
    fn leave(&self) {
        self.gate.close();
        let Some(target) = self.target else {
            return;
        };
        let (sender, receiver) = bounded(1);
        self.context.kernel.mesh.request(
            target,
            Channel::Control,
            encode(&ControlRequest::LeaveQuotas),
            Instant::now() + LEAVE_TIMEOUT,
            move |_| {
                let _ = sender.send(());
            },
        );
        // Without an answer, the lease ends what the node holds.
        let _ = receiver.recv_timeout(LEAVE_TIMEOUT);
    }

    fn start(&mut self, report: QuotaReport) {
        if self.outstanding.take().is_some() {
            // The last report had no answer in time.
            self.target = self.next_replica();
        }
        self.outstanding = Some(Outstanding {
            sequence: report.sequence,
            payload: encode(&ControlRequest::Quota(report)),
            attempts: 0,
        });
        self.send();
    }

    /// Sends the outstanding report to the target.
    fn send(&mut self) {
        let target = self.target.or_else(|| self.next_replica());
        self.target = target;
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        outstanding.attempts += 1;
        let (sequence, sender) = (outstanding.sequence, self.answer_sender.clone());
        let Some(target) = target else {
            let _ = sender.send((sequence, None));
            return;
        };
        let deadline = Instant::now() + Duration::from_micros(ANSWER_TIMEOUT_US);
        self.context.kernel.mesh.request(
            target,
            Channel::Control,
            outstanding.payload.clone(),
            deadline,
            move |outcome| {
                let reply = outcome.ok().and_then(|bytes| decode(bytes).ok());
                // Fails only when the process stops.
                let _ = sender.send((sequence, reply));
            },
        );
    }

    fn handle_answer(&mut self, sequence: u64, reply: Option<ControlReply>) {
        let Some(outstanding) = &self.outstanding else {
            return;
        };
        if outstanding.sequence != sequence {
            return;
        }
        let may_retry = outstanding.attempts < MAX_ATTEMPTS;
        let answer = match reply {
            Some(ControlReply::Quota(QuotaAnswer::NotCoordinator { coordinator })) => {
                self.target = coordinator.or_else(|| self.next_replica());
                None
            }
            Some(ControlReply::Quota(answer)) => Some(answer),
            _ => {
                self.target = self.next_replica();
                None
            }
        };
        if answer.is_none() && may_retry {
            self.send();
            return;
        }
        self.outstanding = None;
        let mut state = self.gate.lock();
        let now_us = Clock::boot_us();
        let decided = match &answer {
            Some(answer) => state.quota.on_answer(now_us, sequence, answer),
            None => state.quota.on_failure(now_us, sequence),
        };
        state.deliver(decided);
    }

    /// The replica after the present target.
    fn next_replica(&self) -> Option<SocketAddr> {
        let replicas = self.context.control_replicas();
        let position = |target| replicas.iter().position(|replica| *replica == target);
        let next = self.target.and_then(position).map_or(0, |at| at + 1);
        replicas.get(next).or_else(|| replicas.first()).copied()
    }
}
