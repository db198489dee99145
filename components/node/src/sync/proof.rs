//! Keeps the proof of strict revocation fresh: asks control replicas for the group's revision.
//!
//! Nothing here waits for one replica: questions are sent together, and answers are handled in the
//! order in which they arrive.

use super::ConfigSync;
use crossbeam::channel::{Receiver, Sender};
use kernel::Clock;
use mesh::Channel;
use revocation::{AskId, AskSchedule};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest, decode, encode};

/// Time after which a question counts as failed; replicas answer within a second.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest sleep of the thread, and with it the longest delay of a stop.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Event that the proof depends on.
pub(super) enum ProofEvent {
    /// The answer to a question; `None` if there is none.
    Answered {
        replica: SocketAddr,
        ask: AskId,
        reply: Option<ControlReply>,
    },
    /// A newer configuration is in effect.
    ConfigurationChanged,
}

impl ConfigSync {
    /// Asks until the process stops; does nothing if revocation is not strict.
    pub(super) fn keep_proof(&self, events: &Receiver<ProofEvent>, sender: &Sender<ProofEvent>) {
        let state = &self.context.revocation;
        let mut schedule = AskSchedule::new(state.bound_us());
        let mut was_fresh = false;
        while !self.context.kernel.shutdown.is_raised() {
            let mut pause = MAX_SLEEP;
            if self.has_customers() {
                let replicas = self.replicas().addresses();
                let due = schedule.take_due(Clock::boot_us(), &replicas, rand::random());
                for replica in due {
                    self.ask_revision(replica, sender);
                }
                self.log_freshness(&mut was_fresh);
                let wake_us = schedule.next_wake_us().saturating_sub(Clock::boot_us());
                pause = pause.min(Duration::from_micros(wake_us));
            }
            if let Ok(event) = events.recv_timeout(pause) {
                self.handle_proof_event(&event, &mut schedule);
            }
        }
    }

    fn has_customers(&self) -> bool {
        let routes = self.context.kernel.profiles.routes();
        routes.is_some_and(|table| table.customers().is_some())
    }

    fn ask_revision(&self, replica: SocketAddr, sender: &Sender<ProofEvent>) {
        let Some(ask) = self
            .context
            .revocation
            .lock()
            .map(|mut proof| proof.ask(Clock::boot_us()))
        else {
            return;
        };
        let kernel = &self.context.kernel;
        let have = kernel.profiles.revision();
        let sender = sender.clone();
        kernel.mesh.request(
            replica,
            Channel::Control,
            encode(&ControlRequest::Confirm { have }),
            Instant::now() + ASK_TIMEOUT,
            move |outcome| {
                let reply = outcome.ok().and_then(|bytes| decode(bytes).ok());
                // The receiver was dropped if the process is stopping.
                let _ = sender.send(ProofEvent::Answered {
                    replica,
                    ask,
                    reply,
                });
            },
        );
    }

    fn handle_proof_event(&self, event: &ProofEvent, schedule: &mut AskSchedule<SocketAddr>) {
        let own = self.context.kernel.profiles.revision();
        let Some(mut proof) = self.context.revocation.lock() else {
            return;
        };
        match *event {
            ProofEvent::Answered {
                replica,
                ask,
                reply: Some(ControlReply::Confirmed { revision }),
            } => {
                schedule.on_answer(replica);
                if proof.on_answer(ask, revision, own) {
                    log::debug!(
                        "sync: control replica {replica} confirms revision {revision}, this node has {own}."
                    );
                }
            }
            ProofEvent::Answered { replica, ask, .. } => {
                schedule.on_failure(replica);
                proof.on_failure(ask);
            }
            ProofEvent::ConfigurationChanged => {
                proof.on_revision(own);
                let now_us = Clock::boot_us();
                if !proof.is_fresh(now_us) {
                    schedule.ask_now(now_us);
                }
            }
        }
    }

    fn log_freshness(&self, was_fresh: &mut bool) {
        let is_fresh = self.context.revocation.may_accept_keys();
        if is_fresh == *was_fresh {
            return;
        }
        *was_fresh = is_fresh;
        let revision = self.context.kernel.profiles.revision();
        let age = self.context.revocation.age_ms();
        let age = age.map_or_else(|| "none".to_owned(), |age_ms| format!("{age_ms} ms old"));
        if is_fresh {
            self.context.start_wait.notify();
            log::info!("sync: keys are accepted with revision {revision}, proof {age}.");
        } else {
            log::warn!("sync: keys are refused with revision {revision}, proof {age}.");
        }
    }
}
