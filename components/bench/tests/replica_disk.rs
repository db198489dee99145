//! Guards the recovery of control replicas. Three failures are possible: the group stops when a
//! second replica loses its disk right after the first was repaired, a restart after many changes
//! is slow, and a replica that was down for long deposes the leader when it returns.

use bench::deployment::{Deployment, DeploymentConfig};
use consensus::ReplicaConfig;
use serde_json::{Value, json};
use std::{fs, thread, time::Instant};
use store::Store;

mod system;
use system::{profile, start_deployment, test_lock, wait_until};

/// Changes that all operators make together.
const CHANGES: usize = 5_000;
/// Operators that send changes at the same time.
const OPERATORS: usize = 4;

/// What a replica reports about itself in its own status.
fn own_status(deployment: &Deployment, replica: usize) -> Value {
    let status = deployment
        .operator_client_for_replica(replica)
        .send("GET", "/v1/status", None)
        .unwrap()
        .1;
    status["replicas"][replica].clone()
}

/// Waits until the status shows that the replica has all entries of the leader and votes. Until
/// then the repair is not complete and the replica does not count for the quorum.
fn wait_until_repaired(deployment: &Deployment, replica: usize) {
    wait_until(
        "the replica votes and has all entries of the leader",
        || {
            let leader = deployment.leader().unwrap();
            let matched = |index| own_status(deployment, index)["matched"].as_u64();
            let votes = own_status(deployment, replica)["role"] == "follower";
            votes && matched(replica).is_some() && matched(replica) >= matched(leader)
        },
    );
}

fn add(deployment: &Deployment, name: &str) -> u64 {
    deployment.add_profile(&profile(name)).unwrap()
}

/// Loses a second replica right after the first one is repaired: another follower in the first
/// case, the leader in the second.
#[test]
fn replica_disk() {
    let _lock = test_lock();
    let mut log = Vec::new();
    for second in ["a follower", "the leader"] {
        let mut deployment = start_deployment(1);
        let before = add(&deployment, "before");
        let leader = deployment.leader().unwrap();
        let repaired = (leader + 1) % 3;
        let old_disk = own_status(&deployment, repaired)["disk_id"].clone();
        deployment.kill_replica(repaired);
        fs::remove_dir_all(deployment.data_dir(repaired)).unwrap();
        let during = add(&deployment, "during");
        deployment.start_replica(repaired).unwrap();
        wait_until_repaired(&deployment, repaired);
        let disk = own_status(&deployment, repaired)["disk_id"].clone();
        assert!(disk.is_string() && disk != old_disk, "{disk} {old_disk}");
        let second_lost = match second {
            "the leader" => leader,
            _ => (leader + 2) % 3,
        };
        deployment.kill_replica(second_lost);
        fs::remove_dir_all(deployment.data_dir(second_lost)).unwrap();
        let after = add(&deployment, "after");
        deployment.wait_for_revision(after).unwrap();
        assert_eq!((during, after), (before + 1, before + 2));
        assert_eq!(
            add(&deployment, "before"),
            before,
            "a resend gets the stored answer"
        );
        log.push(format!(
            "a follower loses its disk: change accepted as revision {during}\n\
             it rejoins with a new disk id\n\
             {second} is lost with its disk: change accepted as revision {after}, in effect\n\
             the first change is resent: answered as revision {before} again"
        ));
    }
    insta::assert_snapshot!(log.join("\n\n"));
}

/// The amount of data that a restart reads is bounded by the live profiles and the snapshot
/// interval, not by the number of changes.
#[test]
fn many_changes() {
    let _lock = test_lock();
    let mut config = DeploymentConfig::new(&[]);
    config.replicas = 1;
    let mut deployment = Deployment::start(&config).unwrap();
    for operator in 0..OPERATORS {
        add(&deployment, &format!("own-{operator}"));
    }
    thread::scope(|scope| {
        for operator in 0..OPERATORS {
            let operators = deployment.operator_client();
            scope.spawn(move || {
                let mut own = profile(&format!("own-{operator}"));
                for round in 0..CHANGES / OPERATORS {
                    own.deadline_ms = 1_000 + round as u32;
                    let id = format!("change-{operator}-{round}");
                    let body = json!({ "change_id": id, "op": { "update": own } });
                    let (status, answer) =
                        operators.send("POST", "/v1/changes", Some(&body)).unwrap();
                    assert_eq!(status, 200, "{answer}");
                }
            });
        }
    });
    deployment.kill_replica(0);
    let directory = deployment.data_dir(0);
    let (store, recovered) = Store::open(&directory).unwrap();
    let limit = ReplicaConfig::new(1, 1..=1).snapshot_entries;
    let entries = recovered.entries.len() as u64;
    assert!(entries <= 2 * limit, "{entries} entries are read");
    drop(store);
    let started = Instant::now();
    deployment.start_replica(0).unwrap();
    let status = deployment.status().unwrap();
    println!(
        "serving {:?} after a restart that read {entries} entries",
        started.elapsed()
    );
    let number = (OPERATORS + CHANGES) as u64;
    assert_eq!(status["revision"]["number"], number);
}

/// A replica that was down during changes gets them when it returns, without a new election.
#[test]
fn returns_without_election() {
    let _lock = test_lock();
    let mut deployment = start_deployment(1);
    let leader = deployment.leader().unwrap();
    let stopped = (leader + 1) % 3;
    deployment.kill_replica(stopped);
    for number in 0..100 {
        add(&deployment, &format!("missed-{number}"));
    }
    let before = deployment.status().unwrap();
    deployment.start_replica(stopped).unwrap();
    wait_until_repaired(&deployment, stopped);
    add(&deployment, "after");
    let after = deployment.status().unwrap();
    assert_eq!(before["leader"], after["leader"]);
    assert_eq!(before["revision"]["term"], after["revision"]["term"]);
    assert_eq!(after["revision"]["number"], 103);
}
