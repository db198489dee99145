//! Parsing and checking of message heads.

use crate::{Framing, Headers};
use errors::ErrorKind;

/// Most header fields of one message.
const MAX_FIELDS: usize = 128;

/// A head that can't be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not valid HTTP/1.x, or with contradictory framing.
    Malformed,
    /// Over the size limit or with too many fields.
    HeadTooLarge,
    /// The declared body length is over the limit.
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

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query, or absolute form.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the sender may use the connection again.
    pub keep_alive: bool,
    /// Bytes of the head.
    pub head_bytes: usize,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header fields.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
    /// Bytes of the head.
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
    let Some(head_bytes) = complete(parsed.parse(window), bytes, max_head_bytes)? else {
        return Ok(None);
    };
    reject_bare_line_ends(&bytes[..head_bytes])?;
    let minor = parsed.version.unwrap_or(1);
    let headers = owned(parsed.headers)?;
    if minor == 1 && headers.get_all("host").count() != 1 {
        return Err(ParseError::Malformed);
    }
    let framing = match declared(&headers, minor)? {
        Declared::Nothing => Framing::Empty,
        Declared::Length(length) => limited(length, max_body_bytes)?,
        Declared::Chunked => Framing::Chunked,
    };
    Ok(Some(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        // Keeping HTTP/1.0 connections would need a header field of its own in the answer.
        keep_alive: minor == 1 && keep_alive(&headers, minor),
        headers,
        framing,
        head_bytes,
    }))
}

/// Parses a response head; `None` if more bytes are needed.
///
/// `to_head` tells that the request was `HEAD`, whose responses have no body.
pub fn parse_response_head(
    bytes: &[u8],
    to_head: bool,
    max_head_bytes: usize,
    max_body_bytes: usize,
) -> Result<Option<ResponseHead>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let window = &bytes[..bytes.len().min(max_head_bytes)];
    let Some(head_bytes) = complete(parsed.parse(window), bytes, max_head_bytes)? else {
        return Ok(None);
    };
    let minor = parsed.version.unwrap_or(1);
    let status = parsed.code.unwrap_or_default();
    let headers = owned(parsed.headers)?;
    let framing = if to_head || crate::message::bodiless(status) {
        Framing::Empty
    } else {
        match declared(&headers, minor)? {
            Declared::Nothing => Framing::UntilClose,
            Declared::Length(length) => limited(length, max_body_bytes)?,
            Declared::Chunked => Framing::Chunked,
        }
    };
    Ok(Some(ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        keep_alive: keep_alive(&headers, minor) && framing != Framing::UntilClose,
        headers,
        framing,
        head_bytes,
    }))
}

enum Declared {
    Nothing,
    Length(u64),
    Chunked,
}

fn complete(
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

/// `httparse` takes a lone line feed as a line end; servers differ on that, so it is refused.
fn reject_bare_line_ends(head: &[u8]) -> Result<(), ParseError> {
    let mut previous = 0;
    for &byte in head {
        if (byte == b'\n') != (previous == b'\r') {
            return Err(ParseError::Malformed);
        }
        previous = byte;
    }
    Ok(())
}

fn owned(fields: &[httparse::Header<'_>]) -> Result<Headers, ParseError> {
    let mut headers = Headers::new();
    for field in fields {
        let value = std::str::from_utf8(field.value).map_err(|_| ParseError::Malformed)?;
        headers.append(field.name, value.trim_matches([' ', '\t']));
    }
    Ok(headers)
}

/// Rejects every head in which two receivers could disagree on where the body ends.
fn declared(headers: &Headers, minor: u8) -> Result<Declared, ParseError> {
    let mut codings = headers.get_all("transfer-encoding");
    if let Some(coding) = codings.next() {
        let only_chunked = coding.eq_ignore_ascii_case("chunked") && codings.next().is_none();
        if !only_chunked || minor == 0 || headers.contains("content-length") {
            return Err(ParseError::Malformed);
        }
        return Ok(Declared::Chunked);
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
    Ok(length.map_or(Declared::Nothing, Declared::Length))
}

fn limited(length: u64, max_body_bytes: usize) -> Result<Framing, ParseError> {
    match usize::try_from(length) {
        Ok(length) if length <= max_body_bytes => Ok(Framing::Length(length)),
        _ => Err(ParseError::BodyTooLarge),
    }
}

fn keep_alive(headers: &Headers, minor: u8) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    minor == 1 || headers.has_token("connection", "keep-alive")
}
