//! HTTP responses and request bodies of the platform and operator ports, built on `tiny_http`.

use errors::ErrorKind;
use serde_json::{Value, json};
use std::io::{Cursor, Read};
use tiny_http::{Header, Request, Response};

/// Largest request body that these ports accept.
pub const MAX_BODY_BYTES: u64 = 64 << 10;

/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A response with its body in memory.
pub type AdminResponse = Response<Cursor<Vec<u8>>>;

/// Creates a response with a JSON body.
pub fn json_response(status: u16, value: &Value) -> AdminResponse {
    with_content_type(
        Response::from_string(format!("{value}\n")),
        status,
        "application/json",
    )
}

/// Creates the response to a refused request from the error table.
pub fn error_response(kind: ErrorKind, detail: impl AsRef<str>) -> AdminResponse {
    json_response(kind.info().status, &error_body(kind, detail.as_ref()))
}

/// The JSON body of the response to a refused request.
pub fn error_body(kind: ErrorKind, detail: &str) -> Value {
    let info = kind.info();
    json!({
        "error": info.code,
        "message": info.message,
        "detail": detail,
        "advice": info.advice,
    })
}

/// Creates the response with the metrics page.
pub fn metrics_response(text: impl Into<String>) -> AdminResponse {
    with_content_type(Response::from_string(text), 200, METRICS_TYPE)
}

/// Creates a response without a body.
pub fn empty_response(status: u16) -> AdminResponse {
    Response::from_data(Vec::new()).with_status_code(status)
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
            format!("a request has at most {MAX_BODY_BYTES} bytes"),
        ));
    }
    Ok(bytes)
}

fn with_content_type(response: AdminResponse, status: u16, content_type: &str) -> AdminResponse {
    let header = Header::from_bytes("content-type", content_type).expect("a valid header");
    response.with_status_code(status).with_header(header)
}
