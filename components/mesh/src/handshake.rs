//! Handshake at the start of a connection, in which both sides prove that they have the deployment
//! key.
//!
//! The dialler sends a hello, the acceptor its hello and proof, the dialler its proof. All messages
//! have a fixed length, so nothing is allocated for a peer before its proof is checked. To a hello
//! of another version the acceptor answers with its hello alone; the start of a hello, up to the
//! version, is the same in all versions.

use model::NodeId;
use std::{
    hash::{BuildHasher, Hasher, RandomState},
    io::{self, Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};
use subtle::ConstantTimeEq;

/// Version of handshake, frames and datagrams.
pub(crate) const VERSION: u16 = 1;

const MAGIC: [u8; 4] = *b"GYRD";
const NODE_BYTES: usize = 32;
const NONCE_BYTES: usize = 32;
const HELLO_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES + NODE_BYTES;
const PROOF_BYTES: usize = 32;

/// Why a handshake failed.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    Io(io::Error),
    /// The peer's first bytes are not a hello of this protocol.
    OtherProtocol,
    /// The peer uses this other version.
    VersionMismatch(u16),
    /// The peer's proof does not match the local deployment key.
    KeyMismatch,
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> Self {
        HandshakeError::Io(error)
    }
}

/// Result of a handshake: the peer's id and a key for each direction.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) peer: NodeId,
    pub(crate) send_key: [u8; 32],
    pub(crate) receive_key: [u8; 32],
}

/// Runs the dialler's side; fails at the deadline.
pub(crate) fn dial(
    stream: &TcpStream,
    key: &[u8; 32],
    local: NodeId,
    deadline: Instant,
) -> Result<Session, HandshakeError> {
    let ours = hello(key, local);
    write_until(stream, &ours, deadline)?;
    let mut theirs = [0; HELLO_BYTES];
    read_until(stream, &mut theirs, deadline)?;
    let peer = check_hello(&theirs)?;
    let mut proof = [0; PROOF_BYTES];
    read_until(stream, &mut proof, deadline)?;
    check_proof(key, b"acceptor", &ours, &theirs, &proof)?;
    write_until(stream, &derive(key, b"dialler", &ours, &theirs), deadline)?;
    Ok(Session {
        peer,
        send_key: derive(key, b"to acceptor", &ours, &theirs),
        receive_key: derive(key, b"to dialler", &ours, &theirs),
    })
}

/// Runs the acceptor's side; fails at the deadline.
pub(crate) fn accept(
    stream: &TcpStream,
    key: &[u8; 32],
    local: NodeId,
    deadline: Instant,
) -> Result<Session, HandshakeError> {
    let mut theirs = [0; HELLO_BYTES];
    read_until(stream, &mut theirs, deadline)?;
    let ours = hello(key, local);
    let peer = match check_hello(&theirs) {
        Ok(peer) => peer,
        Err(HandshakeError::VersionMismatch(version)) => {
            write_until(stream, &ours, deadline)?;
            return Err(HandshakeError::VersionMismatch(version));
        }
        Err(failure) => return Err(failure),
    };
    let mut answer = [0; HELLO_BYTES + PROOF_BYTES];
    answer[..HELLO_BYTES].copy_from_slice(&ours);
    answer[HELLO_BYTES..].copy_from_slice(&derive(key, b"acceptor", &theirs, &ours));
    write_until(stream, &answer, deadline)?;
    let mut proof = [0; PROOF_BYTES];
    read_until(stream, &mut proof, deadline)?;
    check_proof(key, b"dialler", &theirs, &ours, &proof)?;
    Ok(Session {
        peer,
        send_key: derive(key, b"to dialler", &theirs, &ours),
        receive_key: derive(key, b"to acceptor", &theirs, &ours),
    })
}

fn hello(key: &[u8; 32], local: NodeId) -> [u8; HELLO_BYTES] {
    let mut hello = [0; HELLO_BYTES];
    hello[..4].copy_from_slice(&MAGIC);
    hello[4..6].copy_from_slice(&VERSION.to_be_bytes());
    hello[6..6 + NONCE_BYTES].copy_from_slice(&nonce(key, local));
    hello[6 + NONCE_BYTES..].copy_from_slice(&encode_node(local));
    hello
}

/// A nonce that is unique, due to the incarnation, the counter and the operating system's random
/// numbers in `RandomState`, and not predictable without the key.
fn nonce(key: &[u8; 32], local: NodeId) -> [u8; NONCE_BYTES] {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(b"nonce");
    hasher.update(&encode_node(local));
    hasher.update(&COUNTER.fetch_add(1, Ordering::Relaxed).to_be_bytes());
    for _ in 0..2 {
        hasher.update(&RandomState::new().build_hasher().finish().to_be_bytes());
    }
    *hasher.finalize().as_bytes()
}

pub(crate) fn encode_node(node: NodeId) -> [u8; NODE_BYTES] {
    let mut bytes = [0; NODE_BYTES];
    // The longest encoding, with an IPv6 address, is 30 bytes.
    let _ = postcard::to_slice(&node, &mut bytes);
    bytes
}

pub(crate) fn decode_node(bytes: &[u8]) -> Option<NodeId> {
    postcard::from_bytes(bytes).ok()
}

fn check_hello(hello: &[u8; HELLO_BYTES]) -> Result<NodeId, HandshakeError> {
    if hello[..4] != MAGIC {
        return Err(HandshakeError::OtherProtocol);
    }
    let version = u16::from_be_bytes([hello[4], hello[5]]);
    if version != VERSION {
        return Err(HandshakeError::VersionMismatch(version));
    }
    decode_node(&hello[6 + NONCE_BYTES..]).ok_or(HandshakeError::OtherProtocol)
}

fn check_proof(
    key: &[u8; 32],
    label: &[u8],
    dialler: &[u8],
    acceptor: &[u8],
    proof: &[u8; PROOF_BYTES],
) -> Result<(), HandshakeError> {
    let expected = derive(key, label, dialler, acceptor);
    if bool::from(expected.ct_eq(proof)) {
        Ok(())
    } else {
        Err(HandshakeError::KeyMismatch)
    }
}

/// Keyed hash of both hellos; `label` separates proofs and session keys.
fn derive(key: &[u8; 32], label: &[u8], dialler: &[u8], acceptor: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(label);
    hasher.update(dialler);
    hasher.update(acceptor);
    *hasher.finalize().as_bytes()
}

/// Fills `bytes`. The deadline covers the whole handshake, so that a slow peer can't occupy a
/// thread.
fn read_until(mut stream: &TcpStream, mut bytes: &mut [u8], deadline: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.set_read_timeout(Some(time_left(deadline)?))?;
        match stream.read(bytes) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes = &mut bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn write_until(mut stream: &TcpStream, bytes: &[u8], deadline: Instant) -> io::Result<()> {
    stream.set_write_timeout(Some(time_left(deadline)?))?;
    stream.write_all(bytes)
}

fn time_left(deadline: Instant) -> io::Result<std::time::Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}
