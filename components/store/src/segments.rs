//! Names and parsing of log segments.

use crate::record::{self, ParsedRecord};
use consensus::Entry;

/// First bytes of each segment. A record holds the entries of one write, so that an incomplete write
/// is an incomplete record, whatever part of it is missing.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"gyardlg2";
/// First bytes of a segment of the former format, in which each entry has a record of its own.
const FORMER_LOG_MAGIC: &[u8; 8] = b"gyardlg1";

/// File name of the segment with this sequence number.
pub(crate) fn file_name(sequence: u64) -> String {
    format!("log-{sequence:016x}")
}

/// Sequence number in a segment's file name; `None` for other files.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("log-").filter(|d| d.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Damage found at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    pub(crate) offset: usize,
    pub(crate) reason: String,
}

/// Content of a segment.
#[derive(Debug, PartialEq)]
pub(crate) struct Segment {
    /// Entries in the order in which they were written.
    pub(crate) entries: Vec<Entry>,
    /// Length of the file up to the last valid record.
    pub(crate) valid_bytes: usize,
    /// Whether the segment has the former format.
    pub(crate) is_former_format: bool,
}

/// Parses a segment. Only the last segment may end with an incomplete record.
pub(crate) fn parse(bytes: &[u8], is_last: bool) -> Result<Segment, Damage> {
    let damage = |offset: usize, reason: &str| Damage {
        offset,
        reason: reason.to_owned(),
    };
    let mut segment = Segment {
        entries: Vec::new(),
        valid_bytes: 0,
        is_former_format: bytes.starts_with(FORMER_LOG_MAGIC),
    };
    let is_magic_torn = bytes.len() < LOG_MAGIC.len() || bytes.iter().all(|b| *b == 0);
    if is_last && is_magic_torn {
        return Ok(segment);
    }
    if !bytes.starts_with(LOG_MAGIC) && !segment.is_former_format {
        return Err(damage(0, "the file header is not that of a log segment"));
    }
    let mut offset = LOG_MAGIC.len();
    loop {
        segment.valid_bytes = offset;
        match record::parse_at(bytes, offset) {
            ParsedRecord::Record(payload, next) => {
                let entries = decode_entries(payload, segment.is_former_format)
                    .map_err(|_| damage(offset, "the record holds no log entries"))?;
                segment.entries.extend(entries);
                offset = next;
            }
            ParsedRecord::End => return Ok(segment),
            ParsedRecord::Torn if is_last => return Ok(segment),
            ParsedRecord::Torn => return Err(damage(offset, "the record ends early")),
            ParsedRecord::Damaged(reason) => return Err(damage(offset, reason)),
        }
    }
}

fn decode_entries(payload: &[u8], is_former_format: bool) -> Result<Vec<Entry>, postcard::Error> {
    if is_former_format {
        return Ok(vec![record::decode(payload)?]);
    }
    record::decode(payload)
}
