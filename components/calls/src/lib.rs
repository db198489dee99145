//! Call state machines: attempts, records, key claims and crash suspects.
