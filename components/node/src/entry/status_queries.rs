//! Status queries and cancel requests that a call sends to the owners of its attempts.

use super::driver::{CallDriver, CallEvent, DriverState};
use calls::{AttemptStatus, Event, Holder};
use mesh::Channel;
use model::{AttemptId, NodeId};
use routing::UpstreamKey;
use std::sync::Arc;
use wire::{AttemptStatusRequest, CallReply, CallRequest, decode, encode};

const STATUS_TIMEOUT_US: u64 = 1_000_000;

impl CallDriver {
    /// Sends a status query or cancel request to the owner of one of this call's attempts. Returns
    /// an event at once if the attempt was never sent.
    pub(super) fn send_to_owner(
        self: &Arc<Self>,
        state: &DriverState,
        attempt: AttemptId,
        request: impl Fn(AttemptStatusRequest) -> CallRequest,
    ) -> Option<Event<UpstreamKey>> {
        let Some(owner) = state.owners.get(&attempt) else {
            return Some(Event::StatusUnavailable(attempt));
        };
        let generation = Some(self.entry.context.generations.current(*owner));
        let request = request(self.status_request(attempt, *owner, generation));
        self.send_status_request(*owner, &request, move |status| match status {
            Some(status) => Event::Status(attempt, status),
            None => Event::StatusUnavailable(attempt),
        });
        None
    }

    /// Queries the status of another call's attempt that holds this call's idempotency key.
    pub(super) fn query_holder(self: &Arc<Self>, holder: Holder) {
        let request =
            CallRequest::QueryStatus(self.status_request(holder.attempt, holder.owner, None));
        self.send_status_request(holder.owner, &request, move |status| match status {
            Some(status) => Event::HolderStatus(holder.attempt, status),
            None => Event::HolderStatusUnavailable(holder.attempt),
        });
    }

    fn status_request(
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

    fn send_status_request(
        self: &Arc<Self>,
        owner: NodeId,
        request: &CallRequest,
        event: impl FnOnce(Option<AttemptStatus>) -> Event<UpstreamKey> + Send + 'static,
    ) {
        let kernel = &self.entry.context.kernel;
        let driver = Arc::clone(self);
        kernel.mesh.request(
            owner.mesh,
            Channel::Call,
            encode(request),
            kernel
                .clock
                .instant(kernel.clock.now_us() + STATUS_TIMEOUT_US),
            move |outcome| {
                let status = match outcome.map(decode::<CallReply>) {
                    Ok(Ok(CallReply::Status(status))) => Some(status),
                    _ => None,
                };
                driver.dispatch(CallEvent::Machine(event(status)));
            },
        );
    }
}
