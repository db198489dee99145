//! Incremental decoding of message bodies.
//!
//! Chunk sizes are read with `httparse`. The decoder of `chunked_transfer` is unsuitable: it
//! rejects trailers and treats the end of the stream inside a chunk as the end of the body.

use crate::{ParseError, body_buffer::BodyBuffer};

/// Longest line with a chunk size and its extensions in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most memory reserved for a declared length before the bytes arrive.
const MAX_RESERVED_BYTES: usize = 64 * 1024;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Declared length in bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// Everything up to the end of the connection; whether it is complete can't be checked.
    UntilClose,
}

/// Which part of the body comes next; numbers are bytes.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Rest of a body of declared length.
    Remaining(usize),
    ChunkSize,
    /// Rest of the current chunk.
    ChunkData(usize),
    ChunkEnd,
    /// Trailer section, with its bytes so far.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Decodes one body that arrives in pieces of any size.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    body: BodyBuffer,
    max_body_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with that framing.
    pub fn new(framing: Framing, max_body_bytes: usize) -> Self {
        let (state, reserved) = match framing {
            Framing::Empty | Framing::Length(0) => (State::Done, 0),
            Framing::Length(length) => (State::Remaining(length), length),
            Framing::Chunked => (State::ChunkSize, 0),
            Framing::UntilClose => (State::UntilClose, 0),
        };
        BodyDecoder {
            state,
            body: BodyBuffer::with_capacity(reserved.min(MAX_RESERVED_BYTES)),
            max_body_bytes,
        }
    }

    /// Whether the declared length or the last chunk has arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Bytes of memory that the body takes so far.
    pub fn memory_bytes(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the body as far as it has arrived.
    pub fn into_body(self) -> Vec<u8> {
        self.body.into_vec()
    }

    /// Decodes bytes from the start of `input` and returns how many were consumed. The caller
    /// passes the rest again, followed by more bytes.
    pub fn decode(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            let count = self.decode_next(&input[consumed..])?;
            if count == 0 {
                return Ok(consumed);
            }
            consumed += count;
        }
    }

    /// Decodes input up to the next state change; 0 if more bytes are needed.
    fn decode_next(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        if input.is_empty() {
            return Ok(0);
        }
        match self.state {
            State::Done => Ok(0),
            State::UntilClose => self.append(input, input.len()),
            State::Remaining(left) => {
                let appended = self.append(input, left)?;
                self.state = match left - appended {
                    0 => State::Done,
                    left => State::Remaining(left),
                };
                Ok(appended)
            }
            State::ChunkSize => self.decode_chunk_size(input),
            State::ChunkData(left) => {
                let appended = self.append(input, left)?;
                self.state = match left - appended {
                    0 => State::ChunkEnd,
                    left => State::ChunkData(left),
                };
                Ok(appended)
            }
            State::ChunkEnd => {
                let Some(end) = input.get(..2) else {
                    return Ok(0);
                };
                if end != b"\r\n" {
                    return Err(ParseError::Malformed);
                }
                self.state = State::ChunkSize;
                Ok(2)
            }
            State::Trailer(trailer_bytes) => self.skip_trailer_line(input, trailer_bytes),
        }
    }

    /// Appends at most `max_bytes` of the input to the body and returns how many.
    fn append(&mut self, input: &[u8], max_bytes: usize) -> Result<usize, ParseError> {
        let appended = input.len().min(max_bytes);
        if self.body.len() + appended > self.max_body_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        self.body.extend(&input[..appended]);
        Ok(appended)
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let line = &input[..input.len().min(MAX_CHUNK_LINE_BYTES)];
        match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete((consumed, 0))) => {
                self.state = State::Trailer(0);
                Ok(consumed)
            }
            Ok(httparse::Status::Complete((consumed, size))) => {
                let size = usize::try_from(size).map_err(|_| ParseError::BodyTooLarge)?;
                if size > self.max_body_bytes - self.body.len() {
                    return Err(ParseError::BodyTooLarge);
                }
                self.state = State::ChunkData(size);
                Ok(consumed)
            }
            Ok(httparse::Status::Partial) if line.len() == MAX_CHUNK_LINE_BYTES => {
                Err(ParseError::Malformed)
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Err(_) => Err(ParseError::Malformed),
        }
    }

    /// Consumes one line of the trailer section; trailer fields are dropped.
    fn skip_trailer_line(
        &mut self,
        input: &[u8],
        trailer_bytes: usize,
    ) -> Result<usize, ParseError> {
        let Some(end) = input.iter().position(|&b| b == b'\n') else {
            let too_long = trailer_bytes + input.len() > MAX_TRAILER_BYTES;
            return if too_long {
                Err(ParseError::HeadTooLarge)
            } else {
                Ok(0)
            };
        };
        if end == 0 || input[end - 1] != b'\r' {
            return Err(ParseError::Malformed);
        }
        if trailer_bytes + end > MAX_TRAILER_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        self.state = if end == 1 {
            State::Done
        } else {
            State::Trailer(trailer_bytes + end + 1)
        };
        Ok(end + 1)
    }
}
