//! Encoding of all messages with postcard.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// A message that is truncated or does not match its type.
#[derive(Debug, Snafu)]
#[snafu(display("the message can't be decoded: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes a message. Every value of the message types can be encoded, so this can't fail.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("every message can be encoded")
}

/// Decodes a message that was encoded with [`encode`].
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, DecodeError> {
    postcard::from_bytes(bytes.as_ref()).map_err(|source| DecodeError { source })
}
