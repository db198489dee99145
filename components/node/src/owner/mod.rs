//! Plug-in `owner`: admits calls to the local instance, runs them and records their status.

mod arrivals;
mod cold;
mod crash_incidents;
mod delayed_replies;
mod downstream;
mod evacuation;
mod health;
mod instance;
mod lost_work;
mod preview;
mod refusals;
mod replies;
mod run;
mod running;
mod state;
mod stored_responses;
mod suspects;
mod unanswered;

use crate::context::{NodeContext, OwnerPreview};
use cold::watch_cold_instance;
use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use evacuation::watch_evacuation;
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::{Channel, Inbound};
use state::Owner;
use std::{
    sync::Arc,
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};
use wire::{Probe, decode, encode};

/// Longest sleep of the timer thread.
const MAX_TIMER_SLEEP: Duration = Duration::from_millis(200);
/// Stack size of the timer thread.
const TIMER_STACK_BYTES: usize = 256 << 10;
/// Interval at which a drain checks for calls in flight.
const DRAIN_POLL: Duration = Duration::from_millis(5);

inventory::submit! {
    PluginEntry { name: "owner", role: Role::Node, order: 8, start }
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let (wake_sender, wake) = unbounded();
    let owner = Arc::new(Owner::new(&context, wake_sender));

    let local_load = {
        let owner = Arc::clone(&owner);
        Box::new(move || owner.load_signal())
    };
    if context.local_load.set(local_load).is_err() {
        return Err(StartError::new(
            "owner",
            "the plug-in was started twice in this process",
        ));
    }
    // Can't be set yet: the check above has failed then.
    let _ = context
        .owner_preview
        .set(Arc::clone(&owner) as Arc<dyn OwnerPreview>);
    kernel.mesh.set_handler(Channel::Call, {
        let owner = Arc::clone(&owner);
        move |inbound: Inbound| owner.handle_message(inbound)
    });
    kernel.mesh.set_handler(Channel::Probe, {
        let (owner, context) = (Arc::clone(&owner), Arc::clone(&context));
        move |inbound: Inbound| handle_probe(&owner, &context, &inbound)
    });
    // Before the owner receives events about instances, so that the first call to one is limited already.
    watch_cold_instance(&owner);
    watch_evacuation(&owner);
    kernel.events.subscribe({
        let owner = Arc::clone(&owner);
        move |event| match event {
            Event::LocalUpstreamChanged(upstream) => owner.update_instance(upstream.as_ref()),
            Event::LocalUpstreamRestarted => owner.clear_lost_work(),
            Event::Stopping => owner.refuse_new_calls(),
            _ => (),
        }
    });
    let timer = spawn_timer(&owner, wake).map_err(|error| {
        StartError::new("owner", format!("no thread could be started: {error}"))
    })?;
    let draining = Arc::clone(&owner);
    Ok(RunningPlugin::new(
        move |until| drain(&draining, until),
        move || {
            owner.close();
            let _ = timer.join();
        },
    ))
}

fn handle_probe(owner: &Owner, context: &NodeContext, inbound: &Inbound) {
    match decode(&inbound.payload) {
        Ok(Probe::Request { number }) => {
            if let Some(signal) = owner.load_signal() {
                let reply = encode(&Probe::Reply { number, signal });
                // A lost reply costs the entry one load sample; no call waits for it.
                let _ =
                    context
                        .kernel
                        .mesh
                        .send_datagram(inbound.from.mesh, Channel::Probe, &reply);
            }
        }
        Ok(Probe::Reply { number, signal }) => {
            context.probes.handle_reply(number, signal);
        }
        Err(error) => log::debug!("owner: a probe from {} was dropped: {error}.", inbound.from),
    }
}

fn spawn_timer(owner: &Arc<Owner>, wake: Receiver<()>) -> std::io::Result<JoinHandle<()>> {
    let owner = Arc::clone(owner);
    let max_sleep = owner.max_timer_sleep();
    Builder::new()
        .name("owner-timer".into())
        .stack_size(TIMER_STACK_BYTES)
        .spawn(move || {
            loop {
                let pause = owner.expire_waiting().unwrap_or(max_sleep).min(max_sleep);
                let pause = owner
                    .send_delayed_replies()
                    .map_or(pause, |next| next.min(pause));
                match wake.recv_timeout(pause) {
                    Ok(()) | Err(RecvTimeoutError::Timeout) => (),
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if owner.is_closed() {
                    return;
                }
                owner.check_survival();
                owner.give_up_unanswered();
                owner.query_inherited_work();
            }
        })
}

/// Waits until no call is in flight, at most until `until`.
fn drain(owner: &Owner, until: Instant) {
    while owner.in_flight() > 0 && Instant::now() < until {
        std::thread::sleep(DRAIN_POLL);
    }
    let left = owner.in_flight();
    if left > 0 {
        log::warn!("owner: the stop timeout passed with {left} calls in flight.");
    }
}
