//! Decoding of the answers that owners send.

use errors::ErrorKind;
use http::{Headers, Response, is_final_status};
use wire::{HttpMessage, decode};

/// The response of an instance from the answer of its owner. An owner of an earlier build passes on
/// any status that it reads; one that no final response has tells nothing of the call.
pub(super) fn decode_answer(answer: &[u8]) -> Result<Response, ErrorKind> {
    let message: HttpMessage = decode(answer).map_err(|_| ErrorKind::Internal)?;
    let (status, reason) = message.start_line;
    let status = status.parse().map_err(|_| ErrorKind::Internal)?;
    if !is_final_status(status) {
        return Err(ErrorKind::UpstreamLost);
    }
    let mut headers = Headers::new();
    for (name, value) in message.headers {
        headers.append(name, value);
    }
    Ok(Response {
        status,
        reason,
        headers,
        body: message.body,
    })
}

#[cfg(test)]
#[path = "../../../tests/inside/owner_answers.rs"]
mod owner_answers;
