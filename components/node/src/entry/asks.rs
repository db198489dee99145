//! Status queries and cancel requests that a call sends to the owners of its attempts.

use super::drive::{Drive, Notice, State};
use calls::{AttemptStatus, Event, Holder};
use mesh::Channel;
use model::{AttemptId, NodeId};
use routing::UpstreamKey;
use std::sync::Arc;
use wire::{AttemptStatusRequest, CallReply, CallRequest, decode, encode};

/// Timeout of a status query.
const FATE_TIMEOUT_US: u64 = 1_000_000;

impl Drive {
    /// Sends a status query or cancel request to the owner of one of this call's attempts. Returns
    /// an event at once if the attempt was never sent.
    pub(super) fn ask(
        self: &Arc<Self>,
        state: &State,
        attempt: AttemptId,
        request: impl Fn(AttemptStatusRequest) -> CallRequest,
    ) -> Option<Event<UpstreamKey>> {
        let Some(owner) = state.owners.get(&attempt) else {
            return Some(Event::StatusUnavailable(attempt));
        };
        let generation = Some(self.entry.context.generations.current(*owner));
        let request = request(self.fate_request(attempt, *owner, generation));
        self.ask_owner(*owner, &request, move |fate| match fate {
            Some(fate) => Event::Status(attempt, fate),
            None => Event::StatusUnavailable(attempt),
        });
        None
    }

    /// Queries the status of another call's attempt that holds this call's idempotency key.
    pub(super) fn ask_holder(self: &Arc<Self>, holder: Holder) {
        let request =
            CallRequest::QueryStatus(self.fate_request(holder.attempt, holder.owner, None));
        self.ask_owner(holder.owner, &request, move |fate| match fate {
            Some(fate) => Event::HolderStatus(holder.attempt, fate),
            None => Event::HolderStatusUnavailable(holder.attempt),
        });
    }

    fn fate_request(
        &self,
        attempt: AttemptId,
        owner: NodeId,
        generation: Option<u64>,
    ) -> AttemptStatusRequest {
        AttemptStatusRequest {
            attempt,
            owner,
            generation,
            remaining_us: self.call.deadline_us.saturating_sub(self.now_us()),
            keyed: self.call.key.is_some(),
        }
    }

    fn ask_owner(
        self: &Arc<Self>,
        owner: NodeId,
        request: &CallRequest,
        event: impl FnOnce(Option<AttemptStatus>) -> Event<UpstreamKey> + Send + 'static,
    ) {
        let kernel = &self.entry.context.kernel;
        let drive = Arc::clone(self);
        kernel.mesh.request(
            owner.mesh,
            Channel::Call,
            encode(request),
            kernel
                .clock
                .instant(kernel.clock.now_us() + FATE_TIMEOUT_US),
            move |outcome| {
                let fate = match outcome.map(decode::<CallReply>) {
                    Ok(Ok(CallReply::Status(fate))) => Some(fate),
                    _ => None,
                };
                drive.notify(Notice::Machine(event(fate)));
            },
        );
    }
}
