//! Plug-in `replica`: one replica of the control group. It takes part in consensus and serves the
//! requests of nodes and of other replicas.

use crate::{
    confirm::{Asker, run_rounds},
    context::{ControlContext, number_of_address},
    pulls::Pull,
    replica_threads::ReplicaThreads,
};
use consensus::{Input, OpenGroup, RecoveredState, ReplicaConfig};
use errors::ErrorKind;
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::{Channel, Inbound};
use rand::seq::IteratorRandom;
use settings::ControlSettings;
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use store::{Store, StoreError};
use wire::{ControlReply, ControlRequest, decode, encode};

/// Interval of the check for expired pulls and for reports that wait.
const PULL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Most addresses in the reply to a node that searches for other nodes.
const MAX_CONTACTS: usize = 8;
/// Pause before a full disk is retried at the start.
const FULL_DISK_PAUSE: Duration = Duration::from_secs(1);
/// Shortest election timeout in an open group, whose replicas are in one region; equal to three
/// heartbeats.
const OPEN_ELECTION_MIN_US: u64 = 300_000;
/// Time that a stopping leader has to hand over its role.
const LEADER_HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a stopping replica of an open group has to hand over its vote as well. That happens only
/// if another replica is ready to take it, which the stopping one can't tell.
const VOTE_HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of the check for whether the vote has been handed over.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

inventory::submit! {
    PluginEntry { name: "replica", role: Role::Control, order: 5, start }
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let fail = |reason: &dyn std::fmt::Display| StartError::new("replica", reason);
    let settings = kernel
        .control_settings()
        .ok_or_else(|| fail(&"this process has no control settings"))?;
    let (store, recovered) = open_store(&settings.data_dir).map_err(|error| fail(&error))?;
    let config = replica_config(&settings)
        .ok_or_else(|| fail(&"the addresses of an open group must be IPv4"))?;
    let control = ControlContext::for_kernel(kernel);

    kernel.mesh.set_handler(Channel::Consensus, {
        let control = Arc::clone(&control);
        move |inbound: Inbound| match decode(&inbound.payload) {
            Ok(message) => control.send_input(Input::Message(message)),
            Err(error) => {
                log::warn!(
                    "replica: a message from {} was dropped: {error}.",
                    inbound.from
                );
            }
        }
    });
    kernel.mesh.set_handler(Channel::Control, {
        let control = Arc::clone(&control);
        move |inbound| handle_request(&control, inbound)
    });
    kernel.events.subscribe({
        let control = Arc::clone(&control);
        move |event| {
            if *event == Event::Stopping {
                control.send_input(Input::Stop);
            }
        }
    });
    let threads =
        ReplicaThreads::start(&control, config, store, recovered).map_err(|error| fail(&error))?;
    let pull_check_thread = thread::spawn({
        let control = Arc::clone(&control);
        move || {
            while !control.kernel.shutdown.is_raised() {
                control.quotas.retry_reports(&control, PULL_CHECK_INTERVAL);
                let now_us = control.kernel.clock.now_us();
                control
                    .pulls
                    .expire(now_us, control.replica_state().is_current);
            }
        }
    });
    let rounds_thread = thread::spawn({
        let control = Arc::clone(&control);
        move || run_rounds(&control)
    });
    let stopping = Arc::clone(&control);
    let handover_timeout = match settings.open {
        Some(_) => VOTE_HANDOVER_TIMEOUT,
        None => LEADER_HANDOVER_TIMEOUT,
    };
    Ok(RunningPlugin::new(
        move |until| wait_for_handover(&stopping, until.min(Instant::now() + handover_timeout)),
        move || {
            let _ = pull_check_thread.join();
            let _ = rounds_thread.join();
            threads.join();
        },
    ))
}

/// Waits until this replica is no voter any more, so that its end costs the group no vote.
fn wait_for_handover(control: &ControlContext, until: Instant) {
    let had_vote = control.replica_state().is_voter;
    while control.replica_state().is_voter && Instant::now() < until {
        thread::sleep(HANDOVER_CHECK_INTERVAL);
    }
    log::info!(
        "replica: stops, {}.",
        match (had_vote, control.replica_state().is_voter) {
            (_, true) => "as a voter",
            (true, false) => "its vote has been handed over",
            (false, false) => "it had no vote",
        }
    );
}

fn replica_config(settings: &ControlSettings) -> Option<ReplicaConfig> {
    let Some(open) = &settings.open else {
        let numbers = 1..=settings.group.len() as u64;
        return Some(ReplicaConfig::new(u64::from(settings.replica), numbers));
    };
    let founders: Option<Vec<_>> = open.seeds.iter().copied().map(number_of_address).collect();
    Some(ReplicaConfig {
        open: Some(OpenGroup {
            voters: open.voters,
            may_form: open.may_form,
        }),
        election_min_us: OPEN_ELECTION_MIN_US,
        election_max_us: 2 * OPEN_ELECTION_MIN_US,
        ..ReplicaConfig::new(number_of_address(settings.listen)?, founders?)
    })
}

/// Opens the data directory. Retries while the disk is full, since nobody may restart the process
/// once there is space.
fn open_store(path: &Path) -> Result<(Store, RecoveredState), StoreError> {
    loop {
        match Store::open(path) {
            Err(error) if error.kind() == ErrorKind::StorageFull => {
                log::error!("replica: {error}; trying again.");
                thread::sleep(FULL_DISK_PAUSE);
            }
            result => return result,
        }
    }
}

fn handle_request(control: &Arc<ControlContext>, inbound: Inbound) {
    let request = match decode(&inbound.payload) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(
                "replica: a message from {} was dropped: {error}.",
                inbound.from
            );
            return;
        }
    };
    match request {
        ControlRequest::Pull {
            have,
            digest,
            wait_ms,
            report,
        } => {
            let now_us = control.kernel.clock.now_us();
            control.reports.record(now_us, *report);
            let pull = Pull {
                have,
                digest,
                until_us: now_us + u64::from(wait_ms) * 1_000,
                reply: Box::new(move |answer| {
                    // A node that lost its connection pulls again.
                    let _ = inbound.reply.send(answer);
                }),
            };
            let is_current = control.replica_state().is_current;
            let profiles = &control.kernel.profiles;
            control
                .pulls
                .answer_or_hold(pull, is_current, || profiles.current());
        }
        ControlRequest::Reports => {
            let reports = control.reports.list(control.kernel.clock.now_us());
            reply(inbound, &ControlReply::Reports(reports));
        }
        ControlRequest::Contacts => {
            let reports = control.reports.list(control.kernel.clock.now_us());
            let nodes = reports.iter().map(|report| report.node.mesh);
            let chosen = nodes.sample(&mut rand::rng(), MAX_CONTACTS);
            reply(inbound, &ControlReply::Contacts(chosen));
        }
        ControlRequest::Introduce(introduction) => {
            let introduced = control.introduce(*introduction);
            reply(inbound, &ControlReply::Introduced(introduced));
        }
        ControlRequest::Replicas => {
            let replicas = control.replicas();
            reply(inbound, &ControlReply::Replicas(replicas));
        }
        // Waits for a quorum, which must not block a reader thread of the mesh.
        ControlRequest::Propose(change) => {
            let receiver = control.propose(*change);
            thread::spawn(move || {
                let result = receiver.recv_timeout(crate::context::REQUEST_TIMEOUT);
                let result = result.unwrap_or_else(|_| Err((ErrorKind::NoQuorum, String::new())));
                reply(inbound, &ControlReply::Proposed(result));
            });
        }
        ControlRequest::Quota(report) => {
            control.quotas.handle(control, inbound, report);
        }
        ControlRequest::LeaveQuotas => {
            control.quotas.leave(control, inbound.from);
            reply(inbound, &ControlReply::Unchanged);
        }
        ControlRequest::Read => {
            let control = Arc::clone(control);
            thread::spawn(move || reply(inbound, &ControlReply::Configuration(control.read())));
        }
        ControlRequest::Confirm { .. } => {
            let now_us = control.kernel.clock.now_us();
            control
                .confirmations
                .add(now_us, Asker::Node(inbound, now_us));
        }
        ControlRequest::ReadRevision => {
            let now_us = control.kernel.clock.now_us();
            control.confirmations.add(now_us, Asker::Replica(inbound));
        }
        ControlRequest::ProofAges => {
            let now_us = control.kernel.clock.now_us();
            let ages = control.confirmations.proof_ages(now_us);
            reply(inbound, &ControlReply::ProofAges(ages));
        }
    }
}

pub(crate) fn reply(inbound: Inbound, message: &ControlReply) {
    if let Err(error) = inbound.reply.send(encode(message)) {
        log::debug!("replica: a reply could not be sent: {error}.");
    }
}
