//! The memory budget that the HTTP ports of a process share, and its metrics.

use http::ServerMemory;
use kernel::{Kernel, KindLabels};

/// Memory for requests and unread responses of all HTTP ports of the process.
pub fn server_memory(kernel: &Kernel) -> ServerMemory {
    let max_bytes = kernel.caller_limits().memory_budget_bytes;
    let memory = kernel.shared(|| ServerMemory::new(max_bytes));
    (*memory).clone()
}

/// Memory of the ports that callers have no part in: those of the instance and of the operators.
struct PortMemory(ServerMemory);

/// Memory of the ports of the instance and the operators: that of all ports, and a part of their own.
pub fn port_memory(kernel: &Kernel) -> ServerMemory {
    let memory = kernel.shared(|| PortMemory(server_memory(kernel).with_own_part()));
    memory.0.clone()
}

/// Updates the metrics of the memory budget and of refused callers.
pub fn refresh_memory_metrics(kernel: &Kernel) {
    let (memory, ports) = (server_memory(kernel), port_memory(kernel));
    let bytes = [
        ("requests", memory.requests.held_bytes()),
        ("replies", memory.replies.held_bytes()),
        ("port-requests", ports.requests.held_bytes()),
        ("port-replies", ports.replies.held_bytes()),
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
        (
            "unread-reply",
            memory.replies.closed() + ports.replies.closed(),
        ),
        ("stalled-body", memory.replies.closed_bodies()),
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
