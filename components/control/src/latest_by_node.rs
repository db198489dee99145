//! What nodes sent last, without those that have been silent for long.

use std::{collections::BTreeMap, net::SocketAddr};

/// Age at which the value of a silent node is dropped.
const FORGET_AFTER_US: u64 = 60_000_000;
/// Interval at which old values are looked for while new ones come in.
const PRUNE_INTERVAL_US: u64 = 10_000_000;

/// The latest value of each node, by its mesh address. Its size is bounded by the nodes of the last
/// 70 s, also if nobody reads it and nodes come and go under new addresses.
pub(crate) struct LatestByNode<T> {
    values: BTreeMap<SocketAddr, (u64, T)>,
    next_prune_us: u64,
}

impl<T> Default for LatestByNode<T> {
    fn default() -> Self {
        LatestByNode {
            values: BTreeMap::new(),
            next_prune_us: 0,
        }
    }
}

impl<T> LatestByNode<T> {
    pub(crate) fn record(&mut self, now_us: u64, node: SocketAddr, value: T) {
        if now_us >= self.next_prune_us {
            self.prune(now_us);
        }
        self.values.insert(node, (now_us, value));
    }

    /// The values with their ages in milliseconds.
    pub(crate) fn list(&mut self, now_us: u64) -> impl Iterator<Item = (SocketAddr, u64, &T)> {
        self.prune(now_us);
        self.values.iter().map(move |(node, (at_us, value))| {
            let age_ms = now_us.saturating_sub(*at_us) / 1_000;
            (*node, age_ms, value)
        })
    }

    fn prune(&mut self, now_us: u64) {
        self.next_prune_us = now_us + PRUNE_INTERVAL_US;
        self.values
            .retain(|_, (at_us, _)| now_us < *at_us + FORGET_AFTER_US);
    }
}

#[cfg(test)]
mod tests {
    use super::LatestByNode;
    use std::net::SocketAddr;

    const SECOND_US: u64 = 1_000_000;

    /// Guards against a replica whose memory grows with each node that ever asked it, while no operator
    /// reads the list.
    #[test]
    fn bounded_by_recent_nodes() {
        let mut latest = LatestByNode::default();
        for second in 0..1_000_u16 {
            let node = SocketAddr::from(([127, 0, 0, 1], second + 1));
            latest.record(u64::from(second) * SECOND_US, node, second);
        }
        let kept = latest.values.len();
        assert!((60..=70).contains(&kept), "{kept} of 1000 nodes are kept");
        let listed: Vec<u16> = latest.list(999 * SECOND_US).map(|(_, _, n)| *n).collect();
        assert_eq!(listed, (940..1_000).collect::<Vec<u16>>());
    }
}
