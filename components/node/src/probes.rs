//! Load probes in flight, within the probe budget of the whole node.

use kernel::{Kernel, KindLabels};
use limits::TokenBucket;
use mesh::Channel;
use model::LoadSignal;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use wire::{PROBE_COST_BYTES, Probe, encode};

/// Messages of one probe: request and reply.
const MESSAGES_PER_PROBE: u32 = 2;
/// Time after which a probe counts as lost.
const PROBE_TIMEOUT_US: u64 = 1_000_000;

/// Called with the load and the round-trip time in microseconds, or with `None` if the probe was
/// lost.
pub(crate) type ProbeCallback = Box<dyn FnOnce(Option<(LoadSignal, u64)>) + Send>;

struct Pending {
    sent_us: u64,
    on_reply: ProbeCallback,
}

struct State {
    next_number: u64,
    pending: HashMap<u64, Pending>,
    messages: TokenBucket,
    bytes: TokenBucket,
}

/// Sends load probes and matches their replies.
pub(crate) struct ProbeTable {
    kernel: Arc<Kernel>,
    state: Mutex<State>,
}

impl ProbeTable {
    pub(crate) fn new(kernel: &Arc<Kernel>) -> Self {
        let settings = kernel.node_settings();
        let bucket = |rate: u32| TokenBucket::new(rate, rate);
        ProbeTable {
            kernel: Arc::clone(kernel),
            state: Mutex::new(State {
                next_number: 0,
                pending: HashMap::new(),
                messages: bucket(settings.probe_budget_per_s),
                bytes: bucket(settings.probe_budget_bytes_per_s),
            }),
        }
    }

    /// Sends a probe if the node's budget allows it; returns whether it was sent.
    pub(crate) fn send(&self, to: SocketAddr, on_reply: ProbeCallback) -> bool {
        let now_us = self.kernel.clock.now_us();
        let number = {
            let mut state = self.lock();
            if !state.take_budget(now_us) {
                drop(state);
                self.kernel.metrics.probes_held_back.inc();
                log::debug!("entry: the probe budget of this node is spent; no probe was sent.");
                return false;
            }
            state.next_number += 1;
            let number = state.next_number;
            state.pending.insert(
                number,
                Pending {
                    sent_us: now_us,
                    on_reply,
                },
            );
            number
        };
        let datagram = encode(&Probe::Request { number });
        if self
            .kernel
            .mesh
            .send_datagram(to, Channel::Probe, &datagram)
            .is_err()
        {
            self.lock().pending.remove(&number);
            return false;
        }
        self.kernel
            .metrics
            .probes
            .get_or_create(&KindLabels { kind: "sent" })
            .inc();
        self.kernel
            .metrics
            .probe_bytes
            .inc_by(u64::from(PROBE_COST_BYTES));
        true
    }

    /// Handles a probe reply; late and unknown ones are dropped.
    pub(crate) fn handle_reply(&self, number: u64, signal: LoadSignal) {
        let now_us = self.kernel.clock.now_us();
        let Some(pending) = self.lock().pending.remove(&number) else {
            return;
        };
        self.kernel
            .metrics
            .probes
            .get_or_create(&KindLabels { kind: "received" })
            .inc();
        (pending.on_reply)(Some((signal, now_us - pending.sent_us)));
    }

    /// Reports probes without a reply as lost.
    pub(crate) fn expire_lost(&self) {
        let now_us = self.kernel.clock.now_us();
        let lost: Vec<ProbeCallback> = {
            let mut state = self.lock();
            let late: Vec<u64> = state
                .pending
                .iter()
                .filter(|(_, pending)| now_us >= pending.sent_us + PROBE_TIMEOUT_US)
                .map(|(number, _)| *number)
                .collect();
            late.iter()
                .filter_map(|number| state.pending.remove(number))
                .map(|pending| pending.on_reply)
                .collect()
        };
        for on_reply in lost {
            on_reply(None);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Charges one probe to the budgets; returns whether they allowed it.
    fn take_budget(&mut self, now_us: u64) -> bool {
        self.messages.try_take(now_us, MESSAGES_PER_PROBE)
            && self.bytes.try_take(now_us, PROBE_COST_BYTES)
    }
}
