//! Mutual proof of the deployment key at the start of a connection.
//!
//! Dialler: hello. Acceptor: hello and proof. Dialler: proof. All parts have a fixed length, so
//! nothing is allocated for a peer before its proof was checked. A refused version is answered
//! with the hello alone, whose start is the same in all versions.

use model::NodeId;
use std::{
    hash::{BuildHasher, Hasher, RandomState},
    io::{self, Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};
use subtle::ConstantTimeEq;

/// Version of handshake and envelopes.
pub(crate) const VERSION: u16 = 1;

const MAGIC: [u8; 4] = *b"GYRD";
const NODE_BYTES: usize = 32;
const NONCE_BYTES: usize = 32;
const HELLO_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES + NODE_BYTES;
const PROOF_BYTES: usize = 32;

/// Why a handshake failed.
#[derive(Debug)]
pub(crate) enum Failure {
    Io(io::Error),
    Foreign,
    Version(u16),
    Key,
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Io(error)
    }
}

/// What both sides agreed on.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) peer: NodeId,
    pub(crate) send_key: [u8; 32],
    pub(crate) receive_key: [u8; 32],
}

/// Runs the dialler's side until the deadline.
pub(crate) fn dial(
    stream: &TcpStream,
    key: &[u8; 32],
    local: NodeId,
    until: Instant,
) -> Result<Session, Failure> {
    let ours = hello(key, local);
    write_until(stream, &ours, until)?;
    let mut theirs = [0; HELLO_BYTES];
    read_until(stream, &mut theirs, until)?;
    let peer = check_hello(&theirs)?;
    let mut proof = [0; PROOF_BYTES];
    read_until(stream, &mut proof, until)?;
    check_proof(key, b"acceptor", &ours, &theirs, &proof)?;
    write_until(stream, &derive(key, b"dialler", &ours, &theirs), until)?;
    Ok(Session {
        peer,
        send_key: derive(key, b"to acceptor", &ours, &theirs),
        receive_key: derive(key, b"to dialler", &ours, &theirs),
    })
}

/// Runs the acceptor's side until the deadline.
pub(crate) fn accept(
    stream: &TcpStream,
    key: &[u8; 32],
    local: NodeId,
    until: Instant,
) -> Result<Session, Failure> {
    let mut theirs = [0; HELLO_BYTES];
    read_until(stream, &mut theirs, until)?;
    let ours = hello(key, local);
    let peer = match check_hello(&theirs) {
        Ok(peer) => peer,
        Err(Failure::Version(version)) => {
            write_until(stream, &ours, until)?;
            return Err(Failure::Version(version));
        }
        Err(failure) => return Err(failure),
    };
    let mut answer = [0; HELLO_BYTES + PROOF_BYTES];
    answer[..HELLO_BYTES].copy_from_slice(&ours);
    answer[HELLO_BYTES..].copy_from_slice(&derive(key, b"acceptor", &theirs, &ours));
    write_until(stream, &answer, until)?;
    let mut proof = [0; PROOF_BYTES];
    read_until(stream, &mut proof, until)?;
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

/// Unique because of the incarnation, the counter and the operating system's random numbers in
/// `RandomState`; not predictable without the key.
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

fn check_hello(hello: &[u8; HELLO_BYTES]) -> Result<NodeId, Failure> {
    if hello[..4] != MAGIC {
        return Err(Failure::Foreign);
    }
    let version = u16::from_be_bytes([hello[4], hello[5]]);
    if version != VERSION {
        return Err(Failure::Version(version));
    }
    decode_node(&hello[6 + NONCE_BYTES..]).ok_or(Failure::Foreign)
}

fn check_proof(
    key: &[u8; 32],
    label: &[u8],
    dialler: &[u8],
    acceptor: &[u8],
    proof: &[u8; PROOF_BYTES],
) -> Result<(), Failure> {
    let expected = derive(key, label, dialler, acceptor);
    if bool::from(expected.ct_eq(proof)) {
        Ok(())
    } else {
        Err(Failure::Key)
    }
}

fn derive(key: &[u8; 32], label: &[u8], dialler: &[u8], acceptor: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(label);
    hasher.update(dialler);
    hasher.update(acceptor);
    *hasher.finalize().as_bytes()
}

/// The deadline is for the whole handshake, so that a slow peer can't hold a thread.
fn read_until(mut stream: &TcpStream, mut bytes: &mut [u8], until: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.set_read_timeout(Some(left(until)?))?;
        match stream.read(bytes) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes = &mut bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn write_until(mut stream: &TcpStream, bytes: &[u8], until: Instant) -> io::Result<()> {
    stream.set_write_timeout(Some(left(until)?))?;
    stream.write_all(bytes)
}

fn left(until: Instant) -> io::Result<std::time::Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}
