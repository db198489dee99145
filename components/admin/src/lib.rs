//! Answers of the platform and operator ports, on `tiny_http`.

use errors::ErrorKind;
use serde_json::{Value, json};
use std::io::{Cursor, Read};
use tiny_http::{Header, Request, Response};

/// Largest body of a request to these ports.
pub const MAX_BODY_BYTES: u64 = 64 << 10;

/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A whole answer.
pub type Answer = Response<Cursor<Vec<u8>>>;

/// An answer with a JSON body.
pub fn json_answer(status: u16, value: &Value) -> Answer {
    with_type(
        Response::from_string(format!("{value}\n")),
        status,
        "application/json",
    )
}

/// The answer to a refused request, from the error table.
pub fn error_answer(kind: ErrorKind, detail: impl AsRef<str>) -> Answer {
    let row = kind.row();
    json_answer(
        row.status,
        &json!({
            "error": row.code,
            "message": row.message,
            "detail": detail.as_ref(),
            "advice": row.advice,
        }),
    )
}

/// The metrics page.
pub fn metrics_answer(text: impl Into<String>) -> Answer {
    with_type(Response::from_string(text), 200, METRICS_TYPE)
}

/// Reads a body of at most [`MAX_BODY_BYTES`].
pub fn read_body(request: &mut Request) -> Result<Vec<u8>, (ErrorKind, String)> {
    let mut bytes = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| (ErrorKind::MalformedRequest, error.to_string()))?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err((
            ErrorKind::BodyTooLarge,
            "a request has at most 64 KiB".to_owned(),
        ));
    }
    Ok(bytes)
}

fn with_type(answer: Answer, status: u16, content_type: &str) -> Answer {
    let header = Header::from_bytes("content-type", content_type).expect("a valid header");
    answer.with_status_code(status).with_header(header)
}
