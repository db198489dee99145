//! Guards the repair of a control replica that restarts with an empty disk. It joins without a vote
//! and votes later. Two failures are possible: its own status still shows it as joining when it
//! votes again, and frequent reads of the status keep it from voting, since each read restarts the
//! interval of the leader's heartbeats.

use bench::deployment::Deployment;
use std::{fs, thread, time::Duration};

mod system;
use system::{start_deployment, test_lock};

/// Pause between reads, longer than the leader's heartbeat interval, which each read restarts.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Starts a deployment and restarts its first replica with an empty disk.
fn deployment_with_new_disk() -> Deployment {
    let mut deployment = start_deployment(1);
    deployment.kill_replica(0);
    fs::remove_dir_all(deployment.data_dir(0)).unwrap();
    deployment.start_replica(0).unwrap();
    deployment
}

/// Whether the first replica itself reports that it votes. A replica reports only its own disk id,
/// so a disk id shows that this replica made the status.
fn reports_own_vote(deployment: &Deployment) -> bool {
    let status = deployment.status().unwrap_or_default();
    let own = &status["replicas"][0];
    own["disk_id"].is_string() && matches!(own["role"].as_str(), Some("follower" | "leader"))
}

#[test]
fn own_status_shows_vote() {
    let _lock = test_lock();
    let deployment = deployment_with_new_disk();
    deployment
        .wait_for("the vote in the replica's own status", |d| {
            thread::sleep(READ_PAUSE);
            reports_own_vote(d)
        })
        .unwrap();
}

#[test]
fn votes_despite_frequent_reads() {
    let _lock = test_lock();
    let deployment = deployment_with_new_disk();
    deployment
        .wait_for("the vote in the replica's own status", reports_own_vote)
        .unwrap();
}
