//! Gossip membership and failure detection.
