//! Cancelling an exchange from another thread.

use std::{
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

#[derive(Debug, Default)]
struct State {
    cancelled: bool,
    stream: Option<Arc<TcpStream>>,
}

/// Aborts the exchange that it was given to; clones cancel the same exchange.
#[derive(Clone, Debug, Default)]
pub struct CancelToken(Arc<Mutex<State>>);

impl CancelToken {
    /// A token that is not cancelled.
    pub fn new() -> Self {
        CancelToken::default()
    }

    /// Aborts the exchange, now or when it starts.
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

    /// Binds the connection of the exchange; false if it was cancelled before.
    pub(crate) fn bind(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.lock();
        if !state.cancelled {
            state.stream = Some(Arc::clone(stream));
        }
        !state.cancelled
    }

    /// Releases the connection; false if it was cancelled meanwhile.
    pub(crate) fn release(&self) -> bool {
        let mut state = self.lock();
        state.stream = None;
        !state.cancelled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
