//! Asks the control group for other nodes and for its replicas, apart from the pulls, so that silent
//! replicas don't delay a change.

use super::{ConfigSync, PULL_GRACE};
use kernel::Event;
use mesh::Channel;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest};

/// Interval of searches for other nodes until the first one is found.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after its start in which a node searches for other nodes often, because nodes that start
/// together can end up in separate gossip groups.
const NEW_NODE_TIME: Duration = Duration::from_secs(10);
/// Interval of searches in that time.
const NEW_NODE_SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of later searches.
const SEARCH_INTERVAL: Duration = Duration::from_secs(20);
/// Interval of requests for the list of replicas.
const REPLICA_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Longest sleep of the thread, and with it the longest delay of a stop.
const MAX_SLEEP: Duration = Duration::from_millis(100);

impl ConfigSync {
    /// Searches for nodes and replicas until the process stops.
    pub(super) fn discover(&self) {
        let started = Instant::now();
        let mut has_found_nodes = false;
        let mut next_search = started;
        let mut next_list = started + REPLICA_LIST_INTERVAL;
        while !self.context.kernel.shutdown.wait(MAX_SLEEP) {
            let now = Instant::now();
            if now >= next_search {
                has_found_nodes |= self.discover_nodes();
                next_search = now + search_interval(started.elapsed(), has_found_nodes);
            }
            if now >= next_list {
                self.discover_replicas();
                next_list = now + REPLICA_LIST_INTERVAL;
            }
        }
    }

    /// Asks all replicas for the addresses of other nodes, so that `--peers` is optional. Returns
    /// whether any is known. A replica without a leader still knows the nodes that pull from it.
    fn discover_nodes(&self) -> bool {
        let kernel = &self.context.kernel;
        let until = Instant::now() + PULL_GRACE;
        let replicas = self.replicas().not_silent(self.now_us());
        let replies = kernel.request_each(
            replicas,
            Channel::Control,
            &ControlRequest::Contacts,
            PULL_GRACE,
        );
        let own = kernel.mesh.local_id().mesh;
        let mut others: Vec<SocketAddr> = Vec::new();
        while let Ok((_, reply)) = replies.recv_deadline(until) {
            if let Some(ControlReply::Contacts(named)) = reply {
                others.extend(named.into_iter().filter(|address| *address != own));
            }
        }
        let has_found_nodes = !others.is_empty();
        kernel.events.publish(&Event::NodesDiscovered(others));
        has_found_nodes
    }

    /// Asks the current replica for the replicas of the group: the settings may list only a few of
    /// them, and those may be replaced later.
    fn discover_replicas(&self) {
        let Some(current) = self.current_replica() else {
            return;
        };
        let request = ControlRequest::Replicas;
        let kernel = &self.context.kernel;
        let reply = kernel.request_blocking(current, Channel::Control, &request, PULL_GRACE);
        if let Some(ControlReply::Replicas(named)) = reply
            && !named.is_empty()
        {
            self.context.set_control_replicas(&named);
            self.replicas().adopt(named);
        }
    }
}

fn search_interval(age: Duration, has_found_nodes: bool) -> Duration {
    if age >= NEW_NODE_TIME {
        SEARCH_INTERVAL
    } else if has_found_nodes {
        NEW_NODE_SEARCH_INTERVAL
    } else {
        FIRST_SEARCH_INTERVAL
    }
}
