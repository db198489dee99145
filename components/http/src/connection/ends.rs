//! End of a connection: no further requests, refusals and streams that have ended.

use super::{ServedConnection, Stage, Step};
use crate::{ParseError, error_response, message::encode_response, server::Shared};
use errors::ErrorKind;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest time in which a caller may read the refusal of a request or a connection, and close its
/// side.
const REFUSAL_LINGER: Duration = Duration::from_secs(1);
/// `retry-after` of refused connections and of requests that got no memory, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// The caller closed the connection, it failed, or it was idle for too long.
    Closed,
    /// A head or body did not arrive before its deadline.
    TimedOut,
    Refused(ErrorKind),
}

impl From<ParseError> for ReadEnd {
    fn from(error: ParseError) -> Self {
        ReadEnd::Refused(error.into())
    }
}

impl ServedConnection {
    /// Ends reading. The connection ends when the requests before are answered.
    pub(super) fn end_reading(&mut self, shared: &Arc<Shared>, end: ReadEnd) -> Step {
        self.replies.set_reading(false);
        self.stage = Stage::Replies(end);
        self.buffer.clear();
        // A late or refused request doesn't mean that the caller no longer waits for the answers to
        // the requests before it.
        if end == ReadEnd::Closed {
            self.report_close(shared);
        }
        Step::Continue
    }

    /// Runs the hooks of the running handlers. They may block, so the loop doesn't run them.
    fn report_close(&self, shared: &Arc<Shared>) {
        let hooks = self.replies.set_caller_closed();
        if hooks.is_empty() {
            return;
        }
        let run = move || hooks.into_iter().for_each(|hook| hook());
        if let Err(error) = shared.workers.run(run) {
            log::warn!("http: a closed connection can't be reported to its handlers: {error}");
        }
    }

    /// Discards what arrives while handlers run, so that a caller that closes the connection is
    /// noticed.
    pub(super) fn wait_for_replies(&mut self, end: ReadEnd) -> Step {
        self.buffer.clear();
        if self.replies.must_wait_for_end() {
            return Step::Read(None);
        }
        match end {
            ReadEnd::Refused(kind) if !self.replies.is_closing() => {
                self.send_refusal(kind);
                Step::Continue
            }
            _ => Step::End,
        }
    }

    /// Sends an error response behind which the connection ends. Closing with unread bytes would
    /// reset the connection before the caller has read the response, so the rest of the request is
    /// read first.
    pub(super) fn send_refusal(&mut self, kind: ErrorKind) {
        let mut response = error_response(kind);
        if response.status == 503 {
            response = response.with_header("retry-after", RETRY_AFTER_S);
        }
        let mut bytes = Vec::new();
        encode_response(&mut bytes, &response, false, true);
        self.replies.send_bytes(&bytes, true);
        self.stage = Stage::Close(Instant::now() + REFUSAL_LINGER);
    }

    /// Called when the caller has closed the connection or it has failed.
    pub(super) fn handle_stream_end(&mut self, shared: &Arc<Shared>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        match self.stage {
            Stage::Head(_) | Stage::Body(_) | Stage::Handler(_) => {
                self.end_reading(shared, ReadEnd::Closed);
            }
            Stage::Replies(_) => self.report_close(shared),
            Stage::Close(_) => {}
        }
    }
}
