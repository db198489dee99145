//! Replies to the entries' messages.

use calls::AttemptStatus;
use errors::ErrorKind;
use mesh::ReplyTo;
use model::LoadSignal;
use wire::{CallReply, RunResult, encode};

/// Result for a refused call; the status wins if the attempt may have started before.
pub(super) fn refused_or_duplicate(kind: ErrorKind, status: Option<AttemptStatus>) -> RunResult {
    match status {
        None | Some(AttemptStatus::NotStarted) => RunResult::Refused(kind),
        Some(status) => RunResult::Duplicate(status),
    }
}

/// Replies with the result of an attempt and the load.
pub(super) fn reply(reply_to: ReplyTo, signal: LoadSignal, result: RunResult) {
    send(reply_to, &CallReply::Ran { signal, result });
}

/// Replies to a cancellation or a status query.
pub(super) fn reply_status(reply_to: ReplyTo, status: AttemptStatus) {
    send(reply_to, &CallReply::Status(status));
}

fn send(reply_to: ReplyTo, message: &CallReply) {
    // An entry that lost its connection queries the attempt's status, so a lost reply is recovered.
    if let Err(error) = reply_to.send(encode(message)) {
        log::debug!("owner: a reply could not be sent: {error}.");
    }
}
