//! `--wait`: until a change is in effect on every live node.

use crate::{failure::Failure, operators::Operators};
use api::{NodeStatus, Status};
use model::Revision;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time between two looks at the status.
const POLL_PAUSE: Duration = Duration::from_millis(200);

fn lags(node: &NodeStatus, revision: Revision) -> bool {
    !node.stale && node.revision < revision
}

fn describe(node: &NodeStatus) -> String {
    format!("{} ({}, at {})", node.node, node.host, node.revision)
}

/// Waits until every live node has `revision` in effect; fails naming the nodes that lag.
pub(crate) fn until_in_effect(
    operators: &Operators,
    revision: Revision,
    wait: Duration,
) -> Result<(), Failure> {
    let until = Instant::now() + wait;
    loop {
        let lagging = match operators.get::<Status>("/v1/status") {
            Ok(status) => {
                let nodes = status.nodes.iter().filter(|node| lags(node, revision));
                nodes.map(describe).collect()
            }
            Err(_) => vec!["nodes unknown, because no replica answered".to_owned()],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() + POLL_PAUSE >= until {
            return Err(Failure::NotInEffect { revision, lagging });
        }
        thread::sleep(POLL_PAUSE);
    }
}
