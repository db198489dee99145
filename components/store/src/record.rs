//! Encoding of records in files: length, checksums, payload and an end mark.
//!
//! The header has its own checksum, so that a damaged length isn't mistaken for a record that a
//! crash left incomplete. The end mark is not zero, so that a complete record never ends like an
//! unwritten sector.

use serde::{Serialize, de::DeserializeOwned};

/// Size of the header: length, payload checksum and header checksum.
const HEADER_BYTES: usize = 12;
const END_MARK: u8 = 0xa5;
/// Sector size. Disks write whole sectors, and an unwritten one reads as zeros after a crash.
const SECTOR_BYTES: usize = 512;

/// Result of parsing a record at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ParsedRecord<'a> {
    /// Payload of a valid record, and the offset after the record.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// A record that a crash left incomplete.
    Torn,
    /// A record that was complete and has been damaged since, for the given reason.
    Damaged(&'static str),
}

/// Appends one record to `buffer`; the payload must be shorter than 4 GiB.
pub(crate) fn encode(buffer: &mut Vec<u8>, value: &impl Serialize) -> Result<(), postcard::Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    let mut encoded = postcard::to_extend(value, std::mem::take(buffer))?;
    let payload = &encoded[start + HEADER_BYTES..];
    let length = u32::try_from(payload.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let payload_crc = crc32fast::hash(payload);
    encoded[start..start + 4].copy_from_slice(&length.to_le_bytes());
    encoded[start + 4..start + 8].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&encoded[start..start + 8]);
    encoded[start + 8..start + 12].copy_from_slice(&header_crc.to_le_bytes());
    encoded.push(END_MARK);
    *buffer = encoded;
    Ok(())
}

/// Decodes a payload; bytes after the value are an error.
pub(crate) fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(payload)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// Parses and verifies the record at `offset`.
pub(crate) fn parse_at(bytes: &[u8], offset: usize) -> ParsedRecord<'_> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return ParsedRecord::End;
    }
    if rest.len() < HEADER_BYTES {
        return ParsedRecord::Torn;
    }
    let read_u32 =
        |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    if crc32fast::hash(&rest[..8]) != read_u32(8) {
        return torn_or_damaged(bytes, offset, "the record header fails its checksum");
    }
    let end = HEADER_BYTES + read_u32(0) as usize;
    if rest.len() <= end {
        return ParsedRecord::Torn;
    }
    let payload = &rest[HEADER_BYTES..end];
    if crc32fast::hash(payload) != read_u32(4) || rest[end] != END_MARK {
        return torn_or_damaged(bytes, offset, "the record fails its checksum");
    }
    ParsedRecord::Record(payload, offset + end + 1)
}

/// Classifies an invalid record: it is torn if the file ends in at least one whole unwritten
/// sector, or if nothing of the record was written. Otherwise it is damaged.
fn torn_or_damaged<'a>(bytes: &[u8], offset: usize, reason: &'static str) -> ParsedRecord<'a> {
    let written_end = bytes
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last + 1);
    let first_zero_sector = written_end.next_multiple_of(SECTOR_BYTES);
    if written_end <= offset || first_zero_sector < bytes.len() {
        return ParsedRecord::Torn;
    }
    ParsedRecord::Damaged(reason)
}
