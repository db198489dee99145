//! Reading of responses by a connection's thread, and completion of calls.

use super::{
    Inner,
    connection::{Connection, ExpectedResponse, PendingCall},
    lock,
};
use crate::{
    CallError, Response,
    echo::{EchoMatch, EchoValue},
    exchange::{READ_TIMEOUT_WITHOUT_DEADLINE, Received, receive_response},
    read_buffer::{ReadBuffer, is_timeout},
    response_budget::ResponseMemory,
};
use std::sync::Arc;

/// Most late copies of earlier responses that are skipped before the response to a request.
const MAX_SKIPPED_COPIES: usize = 4;

/// How the call of a connection ended.
struct CallEnd {
    result: Result<Response, CallError>,
    memory: ResponseMemory,
    /// Whether the connection can carry another call.
    is_reusable: bool,
}

impl Inner {
    /// Reads responses until the connection ends.
    pub(super) fn read_responses(self: &Arc<Self>, connection: &Arc<Connection>) {
        let mut buffer = ReadBuffer::default();
        loop {
            if buffer.unread().is_empty() {
                match buffer.fill(&connection.stream, READ_TIMEOUT_WITHOUT_DEADLINE) {
                    Err(error) if is_timeout(&error) => continue,
                    // `receive_response` reports the end or the error below, as the result of the
                    // call if any.
                    Ok(_) | Err(_) => {}
                }
            }
            let Some(expected) = expected_response(connection) else {
                lock(&self.state)
                    .idle
                    .retain(|(other, _)| other.id != connection.id);
                return;
            };
            let result = self.receive(connection, &mut buffer, &expected);
            if !self.complete_call(connection, result) {
                return;
            }
        }
    }

    /// Reads the response to the current call and skips late copies of earlier responses. The
    /// connection isn't reused after a copy, since others may follow.
    fn receive(
        &self,
        connection: &Connection,
        buffer: &mut ReadBuffer,
        expected: &ExpectedResponse,
    ) -> Result<Received, CallError> {
        let limits = (&self.config, &self.budget);
        for skipped in 0..=MAX_SKIPPED_COPIES {
            let mut received =
                receive_response(limits, &connection.stream, buffer, expected.is_head, None)?;
            received.reusable &= skipped == 0;
            let echo = EchoValue::of(self.config.echoed_header, &received.response.headers);
            let echo_match = connection.state().history.compare(expected.echo, echo);
            match echo_match {
                EchoMatch::Expected => return Ok(received),
                EchoMatch::EarlierCall => log::warn!(
                    "http: {} sent a copy of an earlier response with status {}; it is skipped.",
                    self.config.address,
                    received.response.status
                ),
                EchoMatch::Unknown => break,
            }
        }
        Err(CallError::Mismatched)
    }

    /// Completes the call of a connection; false if the connection ends with it.
    fn complete_call(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        mut result: Result<Received, CallError>,
    ) -> bool {
        let (call, has_timed_out) = take_call(connection, &mut result);
        let Some(call) = call else { return false };
        let end = end_call(&call, connection, result, has_timed_out);
        if end.is_reusable {
            self.release(connection);
        } else {
            connection.state().is_closed = true;
            connection.shut_down();
        }
        call.complete(end.result, end.memory);
        end.is_reusable
    }
}

/// What the response to the current call must be like; closes the connection to further calls if
/// there is none.
fn expected_response(connection: &Connection) -> Option<ExpectedResponse> {
    let mut state = connection.state();
    let expected = state.call.as_ref().map(|call| ExpectedResponse {
        is_head: call.is_head,
        echo: call.echo,
    });
    state.is_closed = expected.is_none();
    expected
}

/// Takes the current call from its connection, and tells whether its deadline has passed.
fn take_call(
    connection: &Connection,
    result: &mut Result<Received, CallError>,
) -> (Option<PendingCall>, bool) {
    let mut state = connection.state();
    if let Ok(received) = result {
        // The server has answered before it read the whole request. The next one would be
        // taken for a part of this one's body.
        received.reusable &= !state.is_writing;
    }
    state.is_closed = !matches!(result, Ok(received) if received.reusable);
    let call = state.call.take();
    if let Some(call) = &call {
        state.history.record(call.echo);
    }
    (call, state.has_timed_out)
}

/// Result of a call for its caller, and whether its connection can be reused.
fn end_call(
    call: &PendingCall,
    connection: &Connection,
    result: Result<Received, CallError>,
    has_timed_out: bool,
) -> CallEnd {
    let is_intact = call.cancel.release() && !has_timed_out;
    let is_cut_off = !is_intact || connection.was_shut_down();
    let failure = match result {
        // This process has closed the connection, which then did not end the body.
        Ok(received) if received.ended_by_close && is_cut_off => CallError::Truncated,
        Ok(received) => {
            return CallEnd {
                memory: ResponseMemory::new(received.buffered),
                result: Ok(received.response),
                is_reusable: received.reusable && is_intact,
            };
        }
        Err(error) => error,
    };
    let error = if has_timed_out {
        CallError::TimedOut
    } else if !is_intact {
        CallError::Cancelled
    } else {
        failure
    };
    CallEnd {
        result: Err(error),
        memory: ResponseMemory::default(),
        is_reusable: false,
    }
}
