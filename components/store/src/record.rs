//! Records: length, checksums, payload and an end mark.
//!
//! The header has a checksum of its own, so that a damaged length is not taken for a torn tail.
//! The end mark is not zero, so that a complete record never ends like an unwritten sector.

use serde::{Serialize, de::DeserializeOwned};

/// Bytes of a record before the payload: length, payload checksum, header checksum.
const HEADER_BYTES: usize = 12;
/// Last byte of each record.
const END_MARK: u8 = 0xa5;
/// Disks write whole sectors; an unwritten one reads as zeros after a crash.
const SECTOR_BYTES: usize = 512;

/// What stands at one offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found<'a> {
    /// A whole record, and the offset after it.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// A record that a crash left unfinished.
    Torn,
    /// A record that was whole and no longer is.
    Damaged(&'static str),
}

/// Appends one record to `buffer`; the payload must be shorter than 4 GiB.
pub(crate) fn encode(buffer: &mut Vec<u8>, value: &impl Serialize) -> Result<(), postcard::Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    let mut buffer_out = postcard::to_extend(value, std::mem::take(buffer))?;
    let payload = &buffer_out[start + HEADER_BYTES..];
    let length = u32::try_from(payload.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let payload_crc = crc32fast::hash(payload);
    buffer_out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer_out[start + 4..start + 8].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&buffer_out[start..start + 8]);
    buffer_out[start + 8..start + 12].copy_from_slice(&header_crc.to_le_bytes());
    buffer_out.push(END_MARK);
    *buffer = buffer_out;
    Ok(())
}

/// Reads a payload.
pub(crate) fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(payload)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// Reads the record at `offset`.
pub(crate) fn at(bytes: &[u8], offset: usize) -> Found<'_> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return Found::End;
    }
    if rest.len() < HEADER_BYTES {
        return Found::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    if crc32fast::hash(&rest[..8]) != word(8) {
        return torn_or(bytes, offset, "the record header fails its checksum");
    }
    let end = HEADER_BYTES + word(0) as usize;
    if rest.len() <= end {
        return Found::Torn;
    }
    let payload = &rest[HEADER_BYTES..end];
    if crc32fast::hash(payload) != word(4) || rest[end] != END_MARK {
        return torn_or(bytes, offset, "the record fails its checksum");
    }
    Found::Record(payload, offset + end + 1)
}

/// A record that ends in whole unwritten sectors at the end of the file is torn.
fn torn_or<'a>(bytes: &[u8], offset: usize, reason: &'static str) -> Found<'a> {
    let written = bytes
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last + 1);
    let first_zero_sector = written.next_multiple_of(SECTOR_BYTES);
    if written <= offset || first_zero_sector < bytes.len() {
        return Found::Torn;
    }
    Found::Damaged(reason)
}
