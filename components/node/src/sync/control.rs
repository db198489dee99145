//! Pulls the configuration from the control group: keeps one pull open at a replica that is current,
//! and looks for another one when it fails.

use super::{ConfigSync, PULL_GRACE};
use mesh::Channel;
use model::Revision;
use rand::seq::IndexedRandom;
use registry::Delta;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest, InstanceReport, NodeReport};

/// Longest time for which a control replica holds a pull while it has nothing newer.
const PULL_HOLD_MS: u32 = 1_000;
/// Wait for replicas that may be silent while others are known to run.
const ASK_WAIT: Duration = Duration::from_millis(150);
/// Time after the first answer in which others count as equally fast. Without it all nodes would
/// follow the same replica, and a fault of that one would reach all of them at once.
const SPREAD_WINDOW: Duration = Duration::from_millis(20);
/// Pause after a pull that did not confirm the configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The same while there is no configuration; shorter, because callers are refused until then.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time without a confirmed configuration after which a node without any takes one that no current
/// replica has confirmed. An outdated configuration serves most callers, none serves no caller.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(2);
/// Time without a confirmation from which on a warning is logged, in milliseconds: the time within
/// which a change should be in effect everywhere.
const STALE_AFTER_MS: u64 = 2_000;
const STALE_WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Result of one pull.
enum Pulled {
    /// The replica is current, and this node has its configuration now.
    Confirmed,
    /// The replica has no leader or is behind it; it may have a configuration nevertheless.
    NotCurrent(Option<Box<Delta>>),
    /// No answer in time.
    Silent,
}

/// State of the pull loop.
struct PullState {
    started: Instant,
    /// The replica that confirmed the configuration last.
    current: Option<SocketAddr>,
    /// Configuration of a replica that is not current, kept by a node that has none.
    unconfirmed: Option<Box<Delta>>,
    warned_at: Option<Instant>,
}

impl ConfigSync {
    /// Pulls until the process stops; calls `on_first` after the first confirmed pull.
    pub(super) fn pull_from_control(&self, on_first: impl FnOnce()) {
        let mut on_first = Some(on_first);
        let mut state = PullState {
            started: Instant::now(),
            current: None,
            unconfirmed: None,
            warned_at: None,
        };
        while !self.context.kernel.shutdown.is_raised() {
            if self.pull_once(&mut state) {
                if let Some(on_first) = on_first.take() {
                    on_first();
                }
                continue;
            }
            self.take_unconfirmed(&mut state);
            self.warn_if_stale(&mut state);
            let pause = match self.has_configuration() {
                true => RETRY_PAUSE,
                false => FIRST_RETRY_PAUSE,
            };
            if self.context.kernel.shutdown.wait(pause) {
                return;
            }
        }
    }

    fn has_configuration(&self) -> bool {
        self.context.kernel.profiles.revision() > Revision::default()
    }

    /// Pulls from the current replica, or from the first one that answers; returns whether the
    /// configuration was confirmed.
    fn pull_once(&self, state: &mut PullState) -> bool {
        let Some(replica) = state.current.or_else(|| self.find_replica()) else {
            return false;
        };
        match self.pull_from_replica(replica) {
            Pulled::Confirmed => {
                self.note_confirmed(state, replica);
                return true;
            }
            Pulled::NotCurrent(delta) => {
                self.replicas().mark_not_current(replica, self.now_us());
                self.keep_unconfirmed(state, delta, replica);
            }
            Pulled::Silent => self.replicas().mark_silent(replica, self.now_us()),
        }
        if state.current.take().is_some() {
            log::info!(
                "sync: control replica {replica} no longer confirms the configuration; trying others, \
                 revision {}, confirmed {} ms ago.",
                self.context.kernel.profiles.revision(),
                self.age_ms()
            );
        }
        false
    }

    fn note_confirmed(&self, state: &mut PullState, replica: SocketAddr) {
        let kernel = &self.context.kernel;
        kernel.profiles.mark_confirmed(kernel.clock.now_us());
        self.replicas().mark_current(replica, kernel.clock.now_us());
        state.unconfirmed = None;
        state.warned_at = None;
        if state.current != Some(replica) {
            state.current = Some(replica);
            self.set_current_replica(replica);
            log::info!(
                "sync: control replica {replica} confirms revision {}.",
                kernel.profiles.revision()
            );
        }
    }

    /// One of the first to answer of the replicas that have not answered just now; they are asked
    /// at once, so that silent ones delay nothing. If none does, the others have their turn.
    fn find_replica(&self) -> Option<SocketAddr> {
        let now_us = self.now_us();
        let (asked, has_answering) = {
            let replicas = self.replicas();
            (replicas.to_ask(now_us), replicas.has_answering(now_us))
        };
        let wait = if has_answering { ASK_WAIT } else { PULL_GRACE };
        self.first_answering(asked, wait)
            .or_else(|| self.replicas().next_answering(self.now_us()))
    }

    /// One of the replicas that answer first, drawn at random.
    fn first_answering(&self, mut asked: Vec<SocketAddr>, wait: Duration) -> Option<SocketAddr> {
        let replies = self.context.kernel.request_each(
            asked.iter().copied(),
            Channel::Control,
            &ControlRequest::Replicas,
            wait,
        );
        let mut until = Instant::now() + wait;
        let mut answered = Vec::new();
        while let Ok((replica, reply)) = replies.recv_deadline(until) {
            asked.retain(|other| *other != replica);
            if matches!(reply, Some(ControlReply::Replicas(_))) {
                answered.push(replica);
                until = until.min(Instant::now() + SPREAD_WINDOW);
            } else {
                self.replicas().mark_silent(replica, self.now_us());
            }
        }
        if answered.is_empty() {
            for replica in asked {
                self.replicas().mark_silent(replica, self.now_us());
            }
        }
        answered.choose(&mut rand::rng()).copied()
    }

    fn pull_from_replica(&self, replica: SocketAddr) -> Pulled {
        let (have, digest) = self.revision_and_digest();
        let request = ControlRequest::Pull {
            have,
            digest,
            wait_ms: PULL_HOLD_MS,
            report: Box::new(self.node_report()),
        };
        let wait = Duration::from_millis(u64::from(PULL_HOLD_MS)) + PULL_GRACE;
        let kernel = &self.context.kernel;
        match kernel.request_until_shutdown(replica, Channel::Control, &request, wait) {
            Some(ControlReply::Newer(delta)) => {
                self.apply_delta(*delta, replica);
                Pulled::Confirmed
            }
            Some(ControlReply::Unchanged) => Pulled::Confirmed,
            Some(ControlReply::NoLeader) => Pulled::NotCurrent(None),
            Some(ControlReply::Unconfirmed(delta)) => Pulled::NotCurrent(Some(delta)),
            _ => Pulled::Silent,
        }
    }

    /// Applies a configuration that is not confirmed as the newest if this node has an older one,
    /// and keeps it aside if the node has none.
    fn keep_unconfirmed(
        &self,
        state: &mut PullState,
        delta: Option<Box<Delta>>,
        replica: SocketAddr,
    ) {
        let Some(delta) = delta else { return };
        if self.has_configuration() {
            self.apply_delta(*delta, replica);
            return;
        }
        if state
            .unconfirmed
            .as_ref()
            .is_none_or(|kept| kept.to < delta.to)
        {
            state.unconfirmed = Some(delta);
        }
    }

    fn take_unconfirmed(&self, state: &mut PullState) {
        if state.started.elapsed() < UNCONFIRMED_AFTER {
            return;
        }
        let Some(delta) = state.unconfirmed.take() else {
            return;
        };
        let revision = delta.to;
        if self.context.kernel.profiles.apply(*delta) {
            log::warn!(
                "sync: no current control replica; revision {revision} is in effect unconfirmed."
            );
            self.publish_change(revision);
        }
    }

    fn warn_if_stale(&self, state: &mut PullState) {
        let age_ms = self.age_ms();
        let is_due = state
            .warned_at
            .is_none_or(|at| at.elapsed() >= STALE_WARNING_INTERVAL);
        if age_ms > STALE_AFTER_MS && is_due {
            state.warned_at = Some(Instant::now());
            log::warn!(
                "sync: no control replica answered for {age_ms} ms; serving with revision {}.",
                self.context.kernel.profiles.revision()
            );
        }
    }

    fn age_ms(&self) -> u64 {
        let kernel = &self.context.kernel;
        kernel.profiles.age_ms(kernel.clock.now_us())
    }

    fn node_report(&self) -> NodeReport {
        let kernel = &self.context.kernel;
        let settings = kernel.node_settings();
        NodeReport {
            node: kernel.mesh.local_id(),
            host: settings.host.clone(),
            availability_zone: settings.availability_zone.clone(),
            revision: kernel.profiles.revision(),
            age_ms: 0,
            leaving: kernel.stop.is_raised(),
            instance: self
                .context
                .local
                .upstream()
                .map(|upstream| InstanceReport {
                    profiles: std::iter::once(&upstream.default_profile)
                        .chain(upstream.rules.iter().map(|rule| &rule.profile))
                        .cloned()
                        .collect(),
                    name: upstream.name,
                    service: upstream.service,
                    state: upstream.state,
                    address: upstream.address,
                }),
        }
    }
}
