//! Settings of the records.

/// Settings of [`CallRecords`](crate::CallRecords).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsConfig {
    /// Incarnation of this owner.
    pub incarnation: u64,
    /// How long a finished answer is kept.
    pub retention_ms: u64,
    /// How long the mark of an ended keyed attempt is kept; at least the retention of claims.
    pub keyed_retention_ms: u64,
    /// Maximum number of records, marks and tombstones included.
    pub max_records: usize,
    /// Maximum size of all kept answers in bytes.
    pub max_bytes: usize,
    /// Maximum number of entries whose state is kept.
    pub max_entries: usize,
}

impl Default for RecordsConfig {
    fn default() -> Self {
        RecordsConfig {
            incarnation: 0,
            retention_ms: 30_000,
            keyed_retention_ms: 660_000,
            max_records: 200_000,
            max_bytes: 64 << 20,
            max_entries: 8_192,
        }
    }
}
