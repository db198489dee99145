//! Reading log segments.

use crate::record::{self, Found};
use consensus::Entry;

/// First bytes of each segment.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"gyardlg1";

/// Name of the segment with this sequence.
pub(crate) fn file_name(sequence: u64) -> String {
    format!("log-{sequence:016x}")
}

/// Sequence in the name of a segment.
pub(crate) fn sequence_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("log-").filter(|d| d.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Damage at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    pub(crate) offset: usize,
    pub(crate) reason: String,
}

/// Entries of one segment and the length of its whole records.
#[derive(Debug, PartialEq)]
pub(crate) struct Segment {
    pub(crate) entries: Vec<Entry>,
    pub(crate) whole_bytes: usize,
}

/// Reads a segment; a torn tail is allowed in the last one only.
pub(crate) fn read(bytes: &[u8], is_last: bool) -> Result<Segment, Damage> {
    let damage = |offset: usize, reason: &str| Damage {
        offset,
        reason: reason.to_owned(),
    };
    let mut segment = Segment {
        entries: Vec::new(),
        whole_bytes: 0,
    };
    let magic_is_torn = bytes.len() < LOG_MAGIC.len() || bytes.iter().all(|b| *b == 0);
    if is_last && magic_is_torn {
        return Ok(segment);
    }
    if !bytes.starts_with(LOG_MAGIC) {
        return Err(damage(0, "it does not start as a log segment"));
    }
    let mut offset = LOG_MAGIC.len();
    loop {
        segment.whole_bytes = offset;
        match record::at(bytes, offset) {
            Found::Record(payload, next) => {
                let entry = record::decode(payload)
                    .map_err(|_| damage(offset, "the record is not a log entry"))?;
                segment.entries.push(entry);
                offset = next;
            }
            Found::End => return Ok(segment),
            Found::Torn if is_last => return Ok(segment),
            Found::Torn => return Err(damage(offset, "the record ends early")),
            Found::Damaged(reason) => return Err(damage(offset, reason)),
        }
    }
}
