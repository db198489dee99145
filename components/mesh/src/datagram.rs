//! Encoding of datagrams: version, channel, sender, authentication tag, payload.

use crate::{
    Channel,
    frame::truncate_hash,
    handshake::{VERSION, decode_node, encode_node},
};
use model::NodeId;
use subtle::ConstantTimeEq;

/// Longest datagram in bytes; stays below the usual path MTU.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest payload of a datagram in bytes.
pub const MAX_DATAGRAM_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - PAYLOAD_START;

const NODE_START: usize = 3;
const TAG_START: usize = NODE_START + 32;
const PAYLOAD_START: usize = TAG_START + 16;

/// Key for the authentication tags of datagrams, derived from the deployment key.
pub(crate) fn datagram_key(key: &[u8; 32]) -> [u8; 32] {
    *blake3::keyed_hash(key, b"datagram").as_bytes()
}

pub(crate) fn encode(key: &[u8; 32], from: NodeId, channel: Channel, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(PAYLOAD_START + payload.len());
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.push(channel as u8);
    bytes.extend_from_slice(&encode_node(from));
    let tag = tag(key, &bytes, payload);
    bytes.extend_from_slice(&tag);
    bytes.extend_from_slice(payload);
    bytes
}

/// Checks and decodes a datagram; `None` if it is malformed or not authentic.
pub(crate) fn decode<'a>(key: &[u8; 32], bytes: &'a [u8]) -> Option<(NodeId, Channel, &'a [u8])> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let payload = bytes.get(PAYLOAD_START..)?;
    let expected = tag(key, &bytes[..TAG_START], payload);
    if !bool::from(expected.ct_eq(&bytes[TAG_START..PAYLOAD_START])) {
        return None;
    }
    if bytes[..2] != VERSION.to_be_bytes() {
        return None;
    }
    let channel = Channel::from_wire(bytes[2])?;
    let from = decode_node(&bytes[NODE_START..TAG_START])?;
    Some((from, channel, payload))
}

fn tag(key: &[u8; 32], head: &[u8], payload: &[u8]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(head);
    hasher.update(payload);
    truncate_hash(&hasher.finalize())
}
