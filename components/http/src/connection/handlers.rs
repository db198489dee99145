//! Handlers of the requests that have arrived.

use super::{ServedConnection, Stage, Step};
use crate::{
    CallerConnection, Request, error_response, memory_budget::Reservation, reply_queue::ReplyQueue,
    server::Shared,
};
use errors::ErrorKind;
use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
};

/// Most bytes read ahead while as many handlers run as allowed.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Handlers of a server from which on each connection runs one at a time. Each takes a thread, and a
/// crowd of callers that pipeline would otherwise start many for each connection.
const MAX_PARALLEL_HANDLERS: usize = 128;

/// A request that has arrived and the memory that it holds.
pub(crate) struct WholeRequest {
    pub(crate) request: Request,
    pub(crate) reservation: Reservation,
    /// Whether the connection stays open after it.
    pub(crate) keep_alive: bool,
}

impl ServedConnection {
    /// Starts the handler once fewer run than `max_pipelined` allows and the caller has read earlier
    /// replies. Bytes are read ahead meanwhile, so that a closed connection is noticed.
    pub(super) fn wait_for_handler_slot(&mut self, shared: &Arc<Shared>) -> Step {
        if self.replies.must_wait(handler_limit(shared)) {
            if self.buffer.unread().len() >= MAX_READ_AHEAD_BYTES {
                return Step::Wait(None);
            }
            return Step::Read(None);
        }
        if let Stage::Handler(whole) = std::mem::replace(&mut self.stage, Stage::Head(None)) {
            start_handler(shared, &self.replies, *whole);
        }
        Step::Continue
    }
}

/// Starts the handler of a request on a worker thread.
fn start_handler(shared: &Arc<Shared>, replies: &Arc<ReplyQueue>, whole: WholeRequest) {
    let WholeRequest {
        request,
        reservation,
        keep_alive,
    } = whole;
    let Some(early) = replies.push_request(&request, keep_alive) else {
        return;
    };
    let run = {
        let (shared, replies, early) = (Arc::clone(shared), Arc::clone(replies), early.clone());
        move || {
            let caller = CallerConnection::new(early.clone());
            let handled = catch_unwind(AssertUnwindSafe(|| (shared.handler)(request, &caller)));
            // The caller may take long to read the reply.
            drop(reservation);
            match handled {
                Ok(response) => replies.finish(&early, response),
                Err(_) => replies.abort(&early),
            }
        }
    };
    if let Err(error) = shared.workers.run(run) {
        log::warn!("http: the thread of a handler can't be started: {error}");
        replies.finish(&early, error_response(ErrorKind::Overloaded));
    }
}

/// Handlers of one connection that may run now.
fn handler_limit(shared: &Shared) -> usize {
    if shared.workers.busy() < MAX_PARALLEL_HANDLERS {
        shared.config.max_pipelined
    } else {
        1
    }
}
