//! Plug-in `suspects`: exchanges the crash suspects with the other nodes.

use crate::context::NodeContext;
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::{Channel, Inbound};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    thread::Builder,
    time::Duration,
};
use suspects::{Outgoing, Received, SuspectExchange, SuspectMessage};
use wire::{decode, encode};

/// Time between two ticks of the exchange, also while this node starts.
const TICK: Duration = Duration::from_millis(100);
const START_TICK: Duration = Duration::from_millis(25);

inventory::submit! {
    PluginEntry { name: "suspects", role: Role::Node, order: 12, start }
}

/// Exchange of this node with its peers.
struct Exchange {
    context: Arc<NodeContext>,
    state: Mutex<SuspectExchange>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let exchange = Arc::new(Exchange {
        state: Mutex::new(SuspectExchange::new(kernel.clock.now_us(), rand::random())),
        context,
    });
    kernel.mesh.set_handler(Channel::Suspects, {
        let exchange = Arc::clone(&exchange);
        move |inbound| exchange.receive(&inbound)
    });
    kernel.events.subscribe({
        let exchange = Arc::clone(&exchange);
        move |event| {
            if *event == Event::CrashSuspectsChanged {
                exchange.tick();
            }
        }
    });
    let thread = Builder::new()
        .name("suspects".into())
        .spawn(move || exchange.run())
        .map_err(|error| {
            StartError::new("suspects", format!("no thread could be started: {error}"))
        })?;
    Ok(RunningPlugin::with_stop(move || {
        let _ = thread.join();
    }))
}

impl Exchange {
    /// Sends what is due until the kernel shuts down.
    fn run(&self) {
        let mut tick = START_TICK;
        while !self.context.kernel.shutdown.wait(tick) {
            self.tick();
            if self.publish_caught_up() {
                tick = TICK;
            }
        }
    }

    /// Lets the node run calls once it has caught up; returns whether it has.
    fn publish_caught_up(&self) -> bool {
        let is_caught_up = self.lock().is_caught_up();
        if is_caught_up && !self.context.knows_suspects.swap(true, Ordering::AcqRel) {
            log::info!(
                "suspects: the crash suspects of other nodes are known, or none answered in time; \
                 calls may run."
            );
            let events = &self.context.kernel.events;
            events.publish(&Event::CrashSuspectsKnown);
        }
        is_caught_up
    }

    fn tick(&self) {
        let now_us = self.context.kernel.clock.now_us();
        let peers = self.context.peers();
        let outgoing = {
            let mut state = self.lock();
            let suspects = &self.context.kernel.suspects;
            let outgoing = suspects.with(|table| state.tick(now_us, table, &peers));
            let metrics = &self.context.kernel.metrics;
            metrics.crash_reports_waiting.set(state.waiting() as i64);
            metrics.crash_report_budget_bytes.set(state.budget_bytes());
            outgoing
        };
        self.send(outgoing);
    }

    fn receive(&self, inbound: &Inbound) {
        let message: SuspectMessage = match decode(&inbound.payload) {
            Ok(message) => message,
            Err(error) => {
                log::debug!(
                    "suspects: a message from {} was dropped: {error}.",
                    inbound.from
                );
                return;
            }
        };
        let now_us = self.context.kernel.clock.now_us();
        let Received { answers, learned } = {
            let mut state = self.lock();
            let suspects = &self.context.kernel.suspects;
            suspects.with(|table| state.receive(now_us, table, inbound.from.mesh, message))
        };
        for report in learned {
            self.context.count_suspects("learned");
            let evidence = self.context.evidence(now_us, &report.fingerprint);
            log::info!(
                "suspects: learned from {} of a crash {} ms old; request {}: {evidence}.",
                inbound.from,
                report.age_ms,
                report.fingerprint
            );
        }
        self.send(answers);
        // Not left to the next tick: the instance is announced after this.
        self.publish_caught_up();
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for (to, message) in outgoing {
            let mesh = &self.context.kernel.mesh;
            // A lost message is made up for by a later comparison.
            if let Err(error) = mesh.send_datagram(to, Channel::Suspects, &encode(&message)) {
                log::debug!("suspects: nothing could be sent to {to}: {error}.");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SuspectExchange> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
