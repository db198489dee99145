//! A node in the process of a test, for tests of parts that need its kernel.

use kernel::{Kernel, KernelHandle, Settings};
use settings::{NodeFlags, NodeSettings, SettingSource};

/// Starts a node on loopback without peers and control replicas.
pub(crate) fn start_node(memory_budget_bytes: usize) -> KernelHandle {
    start_node_with(NodeFlags {
        memory_budget_bytes: Some(memory_budget_bytes.to_string()),
        ..NodeFlags::default()
    })
}

/// Starts such a node with these flags.
pub(crate) fn start_node_with(flags: NodeFlags) -> KernelHandle {
    let text = |text: &str| Some(text.to_owned());
    let flags = NodeFlags {
        call_listen: text("127.0.0.1:0"),
        mesh_listen: text("127.0.0.1:0"),
        platform_listen: text("127.0.0.1:0"),
        zone: text("zone-1"),
        ..flags
    };
    let settings = NodeSettings::read(&flags, &SettingSource::new(|_| None)).unwrap();
    Kernel::start(Settings::Node(Box::new(settings))).unwrap()
}
