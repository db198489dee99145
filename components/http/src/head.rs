//! Parsing and validation of message heads.

use crate::{
    Framing, Headers,
    message::{has_no_body, is_final_status, is_interim_status},
};
use errors::ErrorKind;

/// Most header fields of one message.
const MAX_FIELDS: usize = 128;

/// Why a message can't be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not valid HTTP/1.x, or with contradictory framing.
    Malformed,
    /// The head or the trailer section is over the size limit, or the head has too many fields.
    HeadTooLarge,
    /// The body is over the size limit, or declares a length over it.
    BodyTooLarge,
}

impl From<ParseError> for ErrorKind {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::Malformed => ErrorKind::MalformedRequest,
            ParseError::HeadTooLarge => ErrorKind::HeadTooLarge,
            ParseError::BodyTooLarge => ErrorKind::BodyTooLarge,
        }
    }
}

/// Request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, in the letter case in which it was sent.
    pub method: String,
    /// Path and query, or absolute form.
    pub target: String,
    /// Header fields in the order in which they were received.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the sender may send another request on the connection.
    pub keep_alive: bool,
    /// Length of the head in bytes, with the empty line that ends it.
    pub head_bytes: usize,
}

/// Status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// Header fields in the order in which they were received.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
    /// Length of the head in bytes, with the empty line that ends it.
    pub head_bytes: usize,
}

/// Parses a request head; `None` if more bytes are needed.
pub fn parse_request_head(
    bytes: &[u8],
    max_head_bytes: usize,
    max_body_bytes: usize,
) -> Result<Option<RequestHead>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let window = &bytes[..bytes.len().min(max_head_bytes)];
    let Some(head_bytes) = check_complete(parsed.parse(window), bytes, max_head_bytes)? else {
        return Ok(None);
    };
    reject_bare_cr_or_lf(&bytes[..head_bytes])?;
    let minor_version = parsed.version.unwrap_or(1);
    let headers = to_headers(parsed.headers)?;
    if minor_version == 1 && headers.get_all("host").count() != 1 {
        return Err(ParseError::Malformed);
    }
    let framing = match declared_body(&headers, minor_version)? {
        DeclaredBody::None => Framing::Empty,
        DeclaredBody::Length(length) => length_within_limit(length, max_body_bytes)?,
        DeclaredBody::Chunked => Framing::Chunked,
    };
    Ok(Some(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        // HTTP/1.0 connections are closed: keeping one needs a `connection: keep-alive` field in
        // the response, which is not sent.
        keep_alive: minor_version == 1 && is_keep_alive(&headers, minor_version),
        headers,
        framing,
        head_bytes,
    }))
}

/// Parses a response head; `None` if more bytes are needed.
///
/// `is_head` tells that the request method was `HEAD`, whose responses have no body.
pub fn parse_response_head(
    bytes: &[u8],
    is_head: bool,
    max_head_bytes: usize,
    max_body_bytes: usize,
) -> Result<Option<ResponseHead>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let window = &bytes[..bytes.len().min(max_head_bytes)];
    let Some(head_bytes) = check_complete(parsed.parse(window), bytes, max_head_bytes)? else {
        return Ok(None);
    };
    let minor_version = parsed.version.unwrap_or(1);
    let status = parsed.code.unwrap_or_default();
    if !is_interim_status(status) && !is_final_status(status) {
        return Err(ParseError::Malformed);
    }
    let headers = to_headers(parsed.headers)?;
    let framing = if is_head || has_no_body(status) {
        Framing::Empty
    } else {
        match declared_body(&headers, minor_version)? {
            DeclaredBody::None => Framing::UntilClose,
            DeclaredBody::Length(length) => length_within_limit(length, max_body_bytes)?,
            DeclaredBody::Chunked => Framing::Chunked,
        }
    };
    Ok(Some(ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        keep_alive: is_keep_alive(&headers, minor_version) && framing != Framing::UntilClose,
        headers,
        framing,
        head_bytes,
    }))
}

/// Body framing that the header fields declare.
enum DeclaredBody {
    None,
    Length(u64),
    Chunked,
}

/// Maps the parser's result to the length of a complete head, or `None` if more bytes are needed.
fn check_complete(
    result: httparse::Result<usize>,
    bytes: &[u8],
    max_head_bytes: usize,
) -> Result<Option<usize>, ParseError> {
    match result {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() >= max_head_bytes => {
            Err(ParseError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::Malformed),
    }
}

/// Rejects a line feed without a carriage return, and a carriage return without a line feed.
/// `httparse` accepts a bare line feed as a line end; other servers differ, so that two receivers
/// could split the head differently.
fn reject_bare_cr_or_lf(head: &[u8]) -> Result<(), ParseError> {
    let mut previous = 0;
    for &byte in head {
        if (byte == b'\n') != (previous == b'\r') {
            return Err(ParseError::Malformed);
        }
        previous = byte;
    }
    Ok(())
}

fn to_headers(fields: &[httparse::Header<'_>]) -> Result<Headers, ParseError> {
    let mut headers = Headers::new();
    for field in fields {
        let value = std::str::from_utf8(field.value).map_err(|_| ParseError::Malformed)?;
        headers.append(field.name, value.trim_matches([' ', '\t']));
    }
    Ok(headers)
}

/// Reads the framing fields. Rejects every head in which two receivers could disagree on where the
/// body ends.
fn declared_body(headers: &Headers, minor_version: u8) -> Result<DeclaredBody, ParseError> {
    let mut codings = headers.get_all("transfer-encoding");
    if let Some(coding) = codings.next() {
        let only_chunked = coding.eq_ignore_ascii_case("chunked") && codings.next().is_none();
        if !only_chunked || minor_version == 0 || headers.contains("content-length") {
            return Err(ParseError::Malformed);
        }
        return Ok(DeclaredBody::Chunked);
    }
    let mut length = None;
    for value in headers.get_all("content-length") {
        if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::Malformed);
        }
        let parsed: u64 = value.parse().map_err(|_| ParseError::BodyTooLarge)?;
        if length.is_some_and(|earlier| earlier != parsed) {
            return Err(ParseError::Malformed);
        }
        length = Some(parsed);
    }
    Ok(length.map_or(DeclaredBody::None, DeclaredBody::Length))
}

fn length_within_limit(length: u64, max_body_bytes: usize) -> Result<Framing, ParseError> {
    match usize::try_from(length) {
        Ok(length) if length <= max_body_bytes => Ok(Framing::Length(length)),
        _ => Err(ParseError::BodyTooLarge),
    }
}

fn is_keep_alive(headers: &Headers, minor_version: u8) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    minor_version == 1 || headers.has_token("connection", "keep-alive")
}
