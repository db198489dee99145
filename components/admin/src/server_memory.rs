//! The memory budget that the HTTP ports of a process share, and its metrics.

use http::ServerMemory;
use kernel::{Kernel, KindLabels};

/// Memory for requests and unread responses of all HTTP ports of the process.
pub fn server_memory(kernel: &Kernel) -> ServerMemory {
    let max_bytes = kernel.caller_limits().memory_budget_bytes;
    let memory = kernel.shared(|| ServerMemory::new(max_bytes));
    (*memory).clone()
}

/// Updates the metrics of the memory budget and of refused callers.
pub fn refresh_memory_metrics(kernel: &Kernel) {
    let memory = server_memory(kernel);
    let bytes = [
        ("requests", memory.requests.held_bytes()),
        ("replies", memory.replies.held_bytes()),
    ];
    for (kind, bytes) in bytes {
        let gauge = kernel
            .metrics
            .server_memory_bytes
            .get_or_create(&KindLabels { kind });
        gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
    let refusals = [
        ("request-memory", memory.requests.refused()),
        ("unread-reply", memory.replies.closed()),
        ("closed-for-room", memory.places.closed_for_room()),
        ("refused-connection", memory.places.refused()),
    ];
    for (kind, count) in refusals {
        let gauge = kernel
            .metrics
            .server_refusals
            .get_or_create(&KindLabels { kind });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
