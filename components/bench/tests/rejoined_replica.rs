//! Guards against a status that shows a replica with a new disk as joining after it votes again,
//! and against reads that keep such a replica from voting.

use bench::deployment::Deployment;
use std::{fs, thread, time::Duration};

mod system;
use system::{alone, deployment};

/// Longer than the leader's heartbeat interval, which each read restarts.
const QUIET: Duration = Duration::from_millis(500);

/// A deployment whose first replica has just restarted with an empty disk.
fn with_new_disk() -> Deployment {
    let mut deployment = deployment(1);
    deployment.kill_replica(0);
    fs::remove_dir_all(deployment.data_dir(0)).unwrap();
    deployment.start_replica(0).unwrap();
    deployment
}

/// Whether the first replica says of itself that it votes. Of itself only it names the disk.
fn says_it_votes(deployment: &Deployment) -> bool {
    let status = deployment.status().unwrap_or_default();
    let own = &status["replicas"][0];
    own["disk_id"].is_string() && matches!(own["role"].as_str(), Some("follower" | "leader"))
}

#[test]
fn own_vote() {
    let _alone = alone();
    let deployment = with_new_disk();
    deployment
        .wait_for("the vote in the replica's own status", |d| {
            thread::sleep(QUIET);
            says_it_votes(d)
        })
        .unwrap();
}

#[test]
fn steady_reads() {
    let _alone = alone();
    let deployment = with_new_disk();
    deployment
        .wait_for("the vote in the replica's own status", says_it_votes)
        .unwrap();
}
