//! Encoding of the frames on a connection. Each has a sequence number and an authentication tag;
//! long messages are split into several frames.

use crate::Channel;
use snafu::Snafu;
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// Bytes before the payload: length, sequence number, kind, channel, message id, tag.
pub const HEADER_BYTES: usize = TAG_START + TAG_BYTES;
/// Most payload bytes of one frame; longer messages are sent in fragments.
pub const MAX_FRAGMENT_BYTES: usize = 64 * 1024;

const TAG_START: usize = 22;
const TAG_BYTES: usize = 16;
/// Bit of the kind byte that is set if more fragments of the message follow.
const MORE_FRAGMENTS: u8 = 0x80;

/// Purpose of a frame. The order of the variants is their number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FrameKind {
    /// Message without reply.
    OneWay,
    /// Message that expects a reply with the same id.
    Request,
    /// Reply to the request with the same id.
    Reply,
    /// Tells the requester that the request with this id gets no reply.
    NoReply,
    /// Asks for a `Pong`, to check that the peer still answers.
    Ping,
    /// Answers a `Ping`.
    Pong,
}

const FRAME_KINDS: [FrameKind; 6] = [
    FrameKind::OneWay,
    FrameKind::Request,
    FrameKind::Reply,
    FrameKind::NoReply,
    FrameKind::Ping,
    FrameKind::Pong,
];

/// Why a frame is invalid; its connection is then closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// Over the size limit, alone or with the other fragments of its message.
    #[snafu(display("a frame or message is over the size limit"))]
    TooLarge,
    /// The frame was replayed or reordered, or one before it is missing.
    #[snafu(display("a frame has the wrong sequence number"))]
    OutOfSequence,
    /// The frame was altered or does not come from the peer.
    #[snafu(display("a frame failed its authentication check"))]
    BadTag,
    /// The kind or channel is not known in this version, or a fragment is empty.
    #[snafu(display("a frame has an unknown kind or channel, or an empty fragment"))]
    Unknown,
}

/// A frame that passed all checks, or a message joined from several frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What the frame is for, from its kind byte.
    pub kind: FrameKind,
    /// Kind of traffic that the message belongs to.
    pub channel: Channel,
    /// Message id, unique per kind and direction.
    pub id: u64,
    /// Whether more fragments of the message follow.
    pub has_more: bool,
    /// Payload of the message, or a fragment of it.
    pub payload: Vec<u8>,
}

/// Encodes and authenticates the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameEncoder {
    key: [u8; 32],
    sequence: u64,
}

impl FrameEncoder {
    /// Creates an encoder that starts at sequence number 0.
    pub fn new(key: [u8; 32]) -> Self {
        FrameEncoder { key, sequence: 0 }
    }

    /// Appends one frame to `out`; `payload` is at most `MAX_FRAGMENT_BYTES` long.
    pub fn encode(
        &mut self,
        out: &mut Vec<u8>,
        kind: FrameKind,
        channel: Channel,
        id: u64,
        payload: &[u8],
        has_more: bool,
    ) {
        let start = out.len();
        out.reserve(HEADER_BYTES + payload.len());
        out.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        out.extend_from_slice(&self.sequence.to_be_bytes());
        out.push(kind as u8 | if has_more { MORE_FRAGMENTS } else { 0 });
        out.push(channel as u8);
        out.extend_from_slice(&id.to_be_bytes());
        let tag = tag(&self.key, &out[start..start + TAG_START], payload);
        out.extend_from_slice(&tag);
        out.extend_from_slice(payload);
        self.sequence += 1;
    }
}

/// Checks and decodes the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameDecoder {
    key: [u8; 32],
    sequence: u64,
}

impl FrameDecoder {
    /// Creates a decoder that expects sequence number 0 first.
    pub fn new(key: [u8; 32]) -> Self {
        FrameDecoder { key, sequence: 0 }
    }

    /// Decodes the frame at the start of `bytes` and returns it with its length; `None` if it is
    /// incomplete.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32_at(header, 0) as usize;
        if length > MAX_FRAGMENT_BYTES {
            return Err(FrameError::TooLarge);
        }
        if u64_at(header, 4) != self.sequence {
            return Err(FrameError::OutOfSequence);
        }
        let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return Ok(None);
        };
        let expected = tag(&self.key, &header[..TAG_START], payload);
        if !bool::from(expected.ct_eq(&header[TAG_START..])) {
            return Err(FrameError::BadTag);
        }
        let kind = FRAME_KINDS
            .get(usize::from(header[12] & !MORE_FRAGMENTS))
            .copied();
        let (Some(kind), Some(channel)) = (kind, Channel::from_wire(header[13])) else {
            return Err(FrameError::Unknown);
        };
        self.sequence += 1;
        let frame = Frame {
            kind,
            channel,
            id: u64_at(header, 14),
            has_more: header[12] & MORE_FRAGMENTS != 0,
            payload: payload.to_vec(),
        };
        Ok(Some((frame, HEADER_BYTES + length)))
    }
}

/// Joins fragments into messages.
#[derive(Debug)]
pub struct MessageAssembler {
    partial: HashMap<(FrameKind, u64), Vec<u8>>,
    buffered_bytes: usize,
    max_message_bytes: usize,
    max_buffered_bytes: usize,
}

impl MessageAssembler {
    /// Creates an assembler with limits for one message and for all incomplete messages together.
    pub fn new(max_message_bytes: usize, max_buffered_bytes: usize) -> Self {
        MessageAssembler {
            partial: HashMap::new(),
            buffered_bytes: 0,
            max_message_bytes,
            max_buffered_bytes,
        }
    }

    /// Bytes held of incomplete messages.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Adds a frame and returns its message if that is complete now.
    pub fn push(&mut self, frame: Frame) -> Result<Option<Frame>, FrameError> {
        if !frame.has_more && self.partial.is_empty() {
            return Ok(Some(frame));
        }
        let key = (frame.kind, frame.id);
        if !frame.has_more && !self.partial.contains_key(&key) {
            return Ok(Some(frame));
        }
        if frame.payload.is_empty() {
            // An empty fragment would take a table entry without counting towards the byte limit.
            return Err(FrameError::Unknown);
        }
        let held = self.buffered_bytes + frame.payload.len();
        let message = self.partial.entry(key).or_default();
        if held > self.max_buffered_bytes
            || message.len() + frame.payload.len() > self.max_message_bytes
        {
            return Err(FrameError::TooLarge);
        }
        message.extend_from_slice(&frame.payload);
        self.buffered_bytes = held;
        if frame.has_more {
            return Ok(None);
        }
        let payload = self.partial.remove(&key).unwrap_or_default();
        self.buffered_bytes -= payload.len();
        Ok(Some(Frame { payload, ..frame }))
    }
}

fn tag(key: &[u8; 32], header: &[u8], payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(header);
    hasher.update(payload);
    truncate_hash(&hasher.finalize())
}

/// The first 128 bits of a keyed hash.
pub(crate) fn truncate_hash(hash: &blake3::Hash) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn u32_at(bytes: &[u8; HEADER_BYTES], at: usize) -> u32 {
    bytes[at..at + 4]
        .iter()
        .fold(0, |value, &byte| value << 8 | u32::from(byte))
}

fn u64_at(bytes: &[u8; HEADER_BYTES], at: usize) -> u64 {
    bytes[at..at + 8]
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}
