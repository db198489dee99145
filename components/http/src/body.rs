//! Decoding of message bodies.
//!
//! Chunk sizes are read with `httparse`. The decoder of `chunked_transfer` doesn't fit: it refuses
//! trailers and takes the end of the stream inside a chunk for the end of the body.

use crate::ParseError;

/// Longest line with a chunk size and its extensions in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most memory that is set aside before the bytes have arrived.
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
    /// Everything up to the end of the connection; its completeness can't be checked.
    UntilClose,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Remaining(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailer(usize),
    Open,
    Done,
}

/// Decodes one body from pieces of any size.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    body: Vec<u8>,
    max_body_bytes: usize,
}

impl BodyDecoder {
    /// A decoder for a body with that framing.
    pub fn new(framing: Framing, max_body_bytes: usize) -> Self {
        let (state, reserved) = match framing {
            Framing::Empty | Framing::Length(0) => (State::Done, 0),
            Framing::Length(length) => (State::Remaining(length), length),
            Framing::Chunked => (State::ChunkSize, 0),
            Framing::UntilClose => (State::Open, 0),
        };
        BodyDecoder {
            state,
            body: Vec::with_capacity(reserved.min(MAX_RESERVED_BYTES)),
            max_body_bytes,
        }
    }

    /// Whether the declared length or the last chunk has arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// The body as far as it has arrived.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Takes bytes from `input` and returns how many; the rest must be offered again with more.
    pub fn decode(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let mut used = 0;
        loop {
            let step = self.step(&input[used..])?;
            if step == 0 {
                return Ok(used);
            }
            used += step;
        }
    }

    fn step(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        if input.is_empty() {
            return Ok(0);
        }
        match self.state {
            State::Done => Ok(0),
            State::Open => self.take(input, input.len()),
            State::Remaining(left) => {
                let taken = self.take(input, left)?;
                self.state = match left - taken {
                    0 => State::Done,
                    left => State::Remaining(left),
                };
                Ok(taken)
            }
            State::ChunkSize => self.chunk_size(input),
            State::ChunkData(left) => {
                let taken = self.take(input, left)?;
                self.state = match left - taken {
                    0 => State::ChunkEnd,
                    left => State::ChunkData(left),
                };
                Ok(taken)
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
            State::Trailer(seen) => self.trailer(input, seen),
        }
    }

    fn take(&mut self, input: &[u8], most: usize) -> Result<usize, ParseError> {
        let taken = input.len().min(most);
        if self.body.len() + taken > self.max_body_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        self.body.extend_from_slice(&input[..taken]);
        Ok(taken)
    }

    fn chunk_size(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let line = &input[..input.len().min(MAX_CHUNK_LINE_BYTES)];
        match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete((used, 0))) => {
                self.state = State::Trailer(0);
                Ok(used)
            }
            Ok(httparse::Status::Complete((used, size))) => {
                let size = usize::try_from(size).map_err(|_| ParseError::BodyTooLarge)?;
                if size > self.max_body_bytes - self.body.len() {
                    return Err(ParseError::BodyTooLarge);
                }
                self.state = State::ChunkData(size);
                Ok(used)
            }
            Ok(httparse::Status::Partial) if line.len() == MAX_CHUNK_LINE_BYTES => {
                Err(ParseError::Malformed)
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Err(_) => Err(ParseError::Malformed),
        }
    }

    /// Trailer fields are read and dropped.
    fn trailer(&mut self, input: &[u8], seen: usize) -> Result<usize, ParseError> {
        let Some(end) = input.iter().position(|&b| b == b'\n') else {
            let too_long = seen + input.len() > MAX_TRAILER_BYTES;
            return if too_long {
                Err(ParseError::HeadTooLarge)
            } else {
                Ok(0)
            };
        };
        if end == 0 || input[end - 1] != b'\r' {
            return Err(ParseError::Malformed);
        }
        if seen + end > MAX_TRAILER_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        self.state = if end == 1 {
            State::Done
        } else {
            State::Trailer(seen + end + 1)
        };
        Ok(end + 1)
    }
}
