//! Forwards changes and reads from any replica to the leader.

use crate::context::{ControlContext, REQUEST_TIMEOUT, Refusal};
use errors::ErrorKind;
use mesh::Channel;
use model::Revision;
use registry::{Change, Delta};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest};

/// Pause before a change is resubmitted.
const SUBMIT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one submission to the leader or one read from it. A failed leader must not delay an
/// operator for much longer than the election of the next one takes.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);

impl ControlContext {
    /// The newest configuration, from the leader.
    pub(crate) fn newest_configuration(&self) -> Result<Box<Delta>, Refusal> {
        let Some(leader) = self.remote_leader() else {
            return self.read();
        };
        match self.request_peer(leader, &ControlRequest::Read, LEADER_TIMEOUT) {
            Some(ControlReply::Configuration(result)) => result,
            _ => Err((
                ErrorKind::NoQuorum,
                format!("the leader at {leader} did not answer"),
            )),
        }
    }

    /// Submits the change to the leader and resubmits it if the leader fails; the change id makes
    /// that safe.
    pub(crate) fn submit(&self, change: &Change) -> Result<Revision, Refusal> {
        let result = self.submit_until(change, Instant::now() + REQUEST_TIMEOUT);
        let (id, op) = (change.change_id, &change.op);
        match &result {
            Ok(revision) => log::info!("operator: change {id} ({op}) accepted as {revision}."),
            Err((kind, detail)) => {
                log::info!("operator: change {id} ({op}) refused, {kind} {detail}.");
            }
        }
        result
    }

    fn submit_until(&self, change: &Change, until: Instant) -> Result<Revision, Refusal> {
        let mut is_unconfirmed = false;
        loop {
            let (kind, detail) = match self.submit_once(change.clone()) {
                Err((kind @ (ErrorKind::NoQuorum | ErrorKind::NotLeader), detail)) => {
                    (kind, detail)
                }
                result => return result,
            };
            is_unconfirmed |= kind == ErrorKind::NoQuorum;
            if Instant::now() + SUBMIT_PAUSE >= until {
                // An earlier submission may still be accepted, so "not run" would be false.
                let kind = if is_unconfirmed {
                    ErrorKind::NoQuorum
                } else {
                    kind
                };
                return Err((kind, detail));
            }
            thread::sleep(SUBMIT_PAUSE);
        }
    }

    fn submit_once(&self, change: Change) -> Result<Revision, Refusal> {
        let unconfirmed = || {
            let detail = "the change may still be accepted; resend it with the same change id";
            Err((ErrorKind::NoQuorum, detail.to_owned()))
        };
        let Some(leader) = self.remote_leader() else {
            let receiver = self.propose(change);
            return receiver
                .recv_timeout(REQUEST_TIMEOUT)
                .unwrap_or_else(|_| unconfirmed());
        };
        match self.request_peer(
            leader,
            &ControlRequest::Propose(Box::new(change)),
            LEADER_TIMEOUT,
        ) {
            Some(ControlReply::Proposed(result)) => result,
            _ => unconfirmed(),
        }
    }

    /// Address of the leader if it is another replica.
    pub(crate) fn remote_leader(&self) -> Option<SocketAddr> {
        let state = self.replica_state();
        if state.is_leader() {
            return None;
        }
        self.address_of(state.leader?.number)
    }

    /// Sends a request to another replica; `None` if it does not answer in time.
    pub(crate) fn request_peer(
        &self,
        to: SocketAddr,
        request: &ControlRequest,
        wait: Duration,
    ) -> Option<ControlReply> {
        self.kernel
            .request_blocking(to, Channel::Control, request, wait)
    }
}
