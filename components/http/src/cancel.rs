//! Cancellation of a request in progress from another thread.

use std::{
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

#[derive(Debug, Default)]
struct State {
    cancelled: bool,
    stream: Option<Arc<TcpStream>>,
}

/// Cancels the request that it was passed to; clones cancel the same request.
#[derive(Clone, Debug, Default)]
pub struct CancelToken(Arc<Mutex<State>>);

impl CancelToken {
    /// Creates a token that is not cancelled.
    pub fn new() -> Self {
        CancelToken::default()
    }

    /// Shuts down the connection of the request. A request that is not sent yet is then not sent.
    pub fn cancel(&self) {
        let mut state = self.lock();
        state.cancelled = true;
        if let Some(stream) = state.stream.take() {
            // Fails only if the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Whether `cancel` was called.
    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Sets the connection to shut down on `cancel`; false if `cancel` was called before.
    pub(crate) fn bind(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.lock();
        if !state.cancelled {
            state.stream = Some(Arc::clone(stream));
        }
        !state.cancelled
    }

    /// Detaches the connection; false if `cancel` was called meanwhile.
    pub(crate) fn release(&self) -> bool {
        let mut state = self.lock();
        state.stream = None;
        !state.cancelled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
