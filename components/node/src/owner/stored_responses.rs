//! Settings of the records of an owner, which keep the responses of calls that must not run twice.

use calls::RecordsConfig;

/// Share of the memory budget of a process for the responses that its owner keeps, as a divisor.
const STORED_RESPONSES_DIVISOR: usize = 4;

/// Settings of the records, whose kept responses count with what callers make the process hold.
pub(super) fn records_config(incarnation: u64, memory_budget_bytes: usize) -> RecordsConfig {
    let defaults = RecordsConfig::default();
    RecordsConfig {
        incarnation,
        max_bytes: defaults
            .max_bytes
            .min(memory_budget_bytes / STORED_RESPONSES_DIVISOR),
        ..defaults
    }
}
