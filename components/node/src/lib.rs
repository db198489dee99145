//! Plug-ins of the node: entry, owner, platform, gossip and sync.
