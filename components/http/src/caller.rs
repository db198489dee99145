//! The caller's connection as a handler sees it.

use crate::EarlyReply;

/// Tells a handler whether its caller is still connected, and lets it answer early.
pub struct CallerConnection {
    early: EarlyReply,
}

impl CallerConnection {
    pub(crate) fn new(early: EarlyReply) -> Self {
        CallerConnection { early }
    }

    /// Returns a handle that answers this request from another thread, before the handler returns.
    pub fn early_reply(&self) -> EarlyReply {
        self.early.clone()
    }

    /// Whether the caller closed its connection.
    pub fn is_closed(&self) -> bool {
        self.early.is_caller_closed()
    }

    /// Runs `hook` once when the caller closes its connection while the handler runs, on a thread of
    /// the server. Runs it immediately if the connection is closed already.
    pub fn on_close(&self, hook: impl FnOnce() + Send + 'static) {
        self.early.on_caller_close(hook);
    }
}
