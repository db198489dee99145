//! One encoding for all messages.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// A message that is truncated or of another shape.
#[derive(Debug, Snafu)]
#[snafu(display("the message can't be decoded: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes a message. These types have no case that cannot be encoded.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages encode without fail")
}

/// Decodes a whole message.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, DecodeError> {
    postcard::from_bytes(bytes.as_ref()).map_err(|source| DecodeError { source })
}
