//! Implements `--wait`: waits until a change is in effect on every live node.

use crate::{failure::Failure, operator_client::OperatorClient};
use api::{NodeStatus, Status};
use model::Revision;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Pause between two requests for the status.
const POLL_PAUSE: Duration = Duration::from_millis(200);

fn is_lagging(node: &NodeStatus, revision: Revision) -> bool {
    !node.stale && node.revision < revision
}

fn describe_node(node: &NodeStatus) -> String {
    format!("{} ({}, at {})", node.node, node.host, node.revision)
}

/// Waits until every live node has `revision` in effect; fails naming the nodes that lag.
pub(crate) fn wait_until_in_effect(
    client: &OperatorClient,
    revision: Revision,
    wait: Duration,
) -> Result<(), Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let lagging = match client.get::<Status>("/v1/status") {
            Ok(status) => {
                let nodes = status
                    .nodes
                    .iter()
                    .filter(|node| is_lagging(node, revision));
                nodes.map(describe_node).collect()
            }
            Err(_) => vec!["nodes unknown, because no replica answered".to_owned()],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() + POLL_PAUSE >= deadline {
            return Err(Failure::NotInEffect { revision, lagging });
        }
        thread::sleep(POLL_PAUSE);
    }
}
