//! One connection of the pool and the call that it carries.

use super::{lock, spawn};
use crate::{
    CallError, CancelToken, Response,
    echo::{EchoHistory, EchoValue},
    exchange::send_request,
    response_budget::ResponseMemory,
};
use std::{
    net::{Shutdown, TcpStream},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

pub(super) type Callback = Box<dyn FnOnce(Result<Response, CallError>, ResponseMemory) + Send>;

/// A call that has no result yet.
pub(super) struct PendingCall {
    pub(super) request_bytes: Vec<u8>,
    pub(super) is_head: bool,
    /// Value that the response must repeat.
    pub(super) echo: EchoValue,
    pub(super) deadline: Instant,
    pub(super) cancel: CancelToken,
    pub(super) callback: Callback,
}

impl PendingCall {
    /// Whether the call was cancelled or its deadline has passed.
    pub(super) fn is_abandoned(&self) -> bool {
        self.cancel.is_cancelled() || self.deadline <= Instant::now()
    }

    pub(super) fn fail_unsent(self) {
        self.complete(Err(CallError::NotSent), ResponseMemory::default());
    }

    /// Runs the callback. A panic in it must not leak the connection's slot in the pool.
    pub(super) fn complete(self, result: Result<Response, CallError>, memory: ResponseMemory) {
        let callback = self.callback;
        if catch_unwind(AssertUnwindSafe(|| callback(result, memory))).is_err() {
            log::error!("http: a callback panicked");
        }
    }
}

#[derive(Default)]
pub(super) struct ConnectionState {
    pub(super) call: Option<PendingCall>,
    /// Repeated values of the earlier calls on this connection.
    pub(super) history: EchoHistory,
    pub(super) has_timed_out: bool,
    /// Whether the request of the call, or of the last one, is not written to its end yet.
    pub(super) is_writing: bool,
    /// Set by the connection's thread before it ends, so that no further call is sent on it.
    pub(super) is_closed: bool,
}

/// The part of a call that is needed to read its response.
pub(super) struct ExpectedResponse {
    pub(super) is_head: bool,
    pub(super) echo: EchoValue,
}

/// One connection and the call that it carries.
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) stream: Arc<TcpStream>,
    pub(super) opened: Instant,
    state: Mutex<ConnectionState>,
    is_shut_down: AtomicBool,
}

impl Connection {
    pub(super) fn new(id: u64, stream: Arc<TcpStream>) -> Self {
        Connection {
            id,
            stream,
            opened: Instant::now(),
            state: Mutex::default(),
            is_shut_down: AtomicBool::new(false),
        }
    }

    /// Whether this process has shut the connection down.
    pub(super) fn was_shut_down(&self) -> bool {
        self.is_shut_down.load(Ordering::Acquire)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }

    pub(super) fn shut_down(&self) {
        self.is_shut_down.store(true, Ordering::Release);
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Writes the rest of a large request on a separate thread, since the calling thread must not
/// block. Until it has ended, the connection carries no other call.
pub(super) fn spawn_remaining_write(
    connection: &Arc<Connection>,
    request_bytes: Vec<u8>,
    written: usize,
    deadline: Instant,
) {
    let writing = Arc::clone(connection);
    let body = move || match send_request(&writing.stream, &request_bytes, written, deadline) {
        Ok(()) => writing.state().is_writing = false,
        Err(_) => writing.shut_down(),
    };
    if spawn(body).is_err() {
        connection.shut_down();
    }
}
