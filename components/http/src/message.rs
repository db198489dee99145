//! Requests and responses in memory, and their encoding.

use crate::Headers;
use errors::ErrorKind;
use std::{io::Write, net::SocketAddr};

/// A request with its whole body in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, in the letter case in which it was sent.
    pub method: String,
    /// Path and query, or absolute form.
    pub target: String,
    /// Header fields in their order in the message.
    pub headers: Headers,
    /// Body without transfer coding.
    pub body: Vec<u8>,
    /// Address of the sender.
    pub peer: SocketAddr,
}

/// A response with its whole body in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// Header fields in their order in the message.
    pub headers: Headers,
    /// Body without transfer coding.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without headers, with the standard reason phrase of the status.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Response {
            status,
            reason: reason_phrase(status).to_owned(),
            headers: Headers::new(),
            body: body.into(),
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.append(name, value);
        self
    }
}

/// Creates the response to a request that this process refuses or fails by itself.
pub fn error_response(kind: ErrorKind) -> Response {
    let info = kind.info();
    let body = format!(
        "{{\"error\":\"{}\",\"outcome\":\"{}\",\"message\":\"{}\",\"advice\":\"{}\"}}\n",
        info.code,
        info.outcome.header_value(),
        info.message,
        info.advice
    );
    Response::new(info.status, body)
        .with_header("content-type", "application/json")
        .with_header("x-gyard-outcome", info.outcome.header_value())
}

/// Whether responses of that status come before the final one.
pub(crate) fn is_interim_status(status: u16) -> bool {
    matches!(status, 100..=199)
}

/// Whether final responses have that status. Others are interim ones or not defined by HTTP.
pub fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Whether responses of that status have no body.
pub(crate) fn has_no_body(status: u16) -> bool {
    is_interim_status(status) || matches!(status, 204 | 304)
}

/// Header field that ends a connection after the message.
const CLOSE_FIELD: &[u8] = b"connection: close\r\n";
/// The empty line that ends a head.
const HEAD_END: &[u8] = b"\r\n";

/// Writes head and body of a response into `out`, which is cleared first. Returns the length of the
/// head in bytes.
pub(crate) fn encode_response(
    out: &mut Vec<u8>,
    response: &Response,
    is_head: bool,
    close: bool,
) -> usize {
    out.clear();
    let status = response.status;
    let reason = if has_no_control_characters(&response.reason) {
        response.reason.as_str()
    } else {
        ""
    };
    out.reserve(256 + response.body.len());
    write_text(out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    // Without a body, only the handler knows the length that the body would have.
    let keeps_declared_length = is_head || status == 304;
    encode_fields(out, &response.headers, |name| {
        name.eq_ignore_ascii_case("transfer-encoding")
            || name.eq_ignore_ascii_case("connection")
            || (!keeps_declared_length && name.eq_ignore_ascii_case("content-length"))
    });
    if !keeps_declared_length && !has_no_body(status) {
        write_text(
            out,
            format_args!("content-length: {}\r\n", response.body.len()),
        );
    }
    if close {
        out.extend_from_slice(CLOSE_FIELD);
    }
    out.extend_from_slice(HEAD_END);
    let head_bytes = out.len();
    if !is_head && !has_no_body(status) {
        out.extend_from_slice(&response.body);
    }
    head_bytes
}

/// Adds the field that ends the connection to a message that was encoded without it; `head_bytes` is
/// the length of its head. A message without a head stays as it is.
pub(crate) fn insert_close(message: &mut Vec<u8>, head_bytes: usize) {
    if let Some(at) = head_bytes.checked_sub(HEAD_END.len()) {
        message.splice(at..at, CLOSE_FIELD.iter().copied());
    }
}

/// Writes head and body of a request into `out`; false if method or target can't be sent.
pub(crate) fn encode_request(out: &mut Vec<u8>, request: &Request, host: SocketAddr) -> bool {
    out.clear();
    if !is_visible_word(&request.method) || !is_visible_word(&request.target) {
        return false;
    }
    out.reserve(256 + request.body.len());
    write_text(
        out,
        format_args!("{} {} HTTP/1.1\r\n", request.method, request.target),
    );
    if !request.headers.contains("host") {
        write_text(out, format_args!("host: {host}\r\n"));
    }
    // `expect` is dropped: the body follows immediately, without waiting for `100 Continue`.
    encode_fields(out, &request.headers, |name| {
        name.eq_ignore_ascii_case("transfer-encoding")
            || name.eq_ignore_ascii_case("content-length")
            || name.eq_ignore_ascii_case("expect")
    });
    let has_body = !request.body.is_empty();
    if has_body || matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
        write_text(
            out,
            format_args!("content-length: {}\r\n", request.body.len()),
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    true
}

/// Writes the fields that `skip` does not name. Fields with control characters are dropped, since
/// they could end the head early.
fn encode_fields(out: &mut Vec<u8>, headers: &Headers, skip: impl Fn(&str) -> bool) {
    for (name, value) in headers.iter() {
        if skip(name) || !is_visible_word(name) || !has_no_control_characters(value) {
            continue;
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
}

/// Whether the text is not empty and has no spaces or control characters.
fn is_visible_word(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b > b' ' && b != 0x7f)
}

/// Whether the text has no control characters except tabs.
fn has_no_control_characters(text: &str) -> bool {
    text.bytes().all(|b| (b >= b' ' && b != 0x7f) || b == b'\t')
}

fn write_text(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a vector can't fail.
    let _ = out.write_fmt(text);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        426 => "Upgrade Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        499 => "Client Closed Request",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        _ => "",
    }
}
