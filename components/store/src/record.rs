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
    if !has_valid_header(rest) {
        return torn_or_damaged(bytes, offset, "the record header fails its checksum");
    }
    let end = record_end(rest);
    if rest.len() <= end {
        return ParsedRecord::Torn;
    }
    match valid_payload(rest) {
        Some(payload) => ParsedRecord::Record(payload, offset + end + 1),
        None => torn_or_damaged(bytes, offset, "the record fails its checksum"),
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn has_valid_header(bytes: &[u8]) -> bool {
    bytes.len() >= HEADER_BYTES && crc32fast::hash(&bytes[..8]) == read_u32(bytes, 8)
}

/// Position of the end mark of a record with a valid header.
fn record_end(bytes: &[u8]) -> usize {
    HEADER_BYTES + read_u32(bytes, 0) as usize
}

/// The payload of a record with a valid header, if the rest of the record is valid too.
fn valid_payload(bytes: &[u8]) -> Option<&[u8]> {
    let end = record_end(bytes);
    let payload = bytes.get(HEADER_BYTES..end)?;
    let is_valid =
        crc32fast::hash(payload) == read_u32(bytes, 4) && bytes.get(end) == Some(&END_MARK);
    is_valid.then_some(payload)
}

/// Classifies an invalid record: it is torn if a part of it was never written and no record follows,
/// since only the last write can be incomplete. Otherwise it is damaged.
fn torn_or_damaged<'a>(bytes: &[u8], offset: usize, reason: &'static str) -> ParsedRecord<'a> {
    if has_unwritten_part(bytes, offset) && !has_record_after(bytes, offset) {
        return ParsedRecord::Torn;
    }
    ParsedRecord::Damaged(reason)
}

/// Whether a sector from `offset` on was not written. Of the sector at `offset` only the rest
/// counts, if it is long enough for a header, which is never zero.
fn has_unwritten_part(bytes: &[u8], offset: usize) -> bool {
    let is_unwritten = |part: &[u8]| part.iter().all(|byte| *byte == 0);
    let sector_end = bytes.len().min((offset + 1).next_multiple_of(SECTOR_BYTES));
    let (rest_of_sector, sectors) = bytes[offset..].split_at(sector_end - offset);
    (rest_of_sector.len() >= HEADER_BYTES && is_unwritten(rest_of_sector))
        || sectors.chunks(SECTOR_BYTES).any(is_unwritten)
}

/// Whether a valid record starts anywhere after `offset`.
fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len())
        .map(|start| &bytes[start..])
        .any(|rest| has_valid_header(rest) && valid_payload(rest).is_some())
}
