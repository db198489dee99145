//! Guards against replicas that start from a snapshot without later changes and then answer reads
//! and pulls as if there were no profiles.

use bench::deployment::Deployment;
use consensus::{Membership, Payload, Snapshot};
use registry::Registry;
use std::sync::Arc;
use store::Store;

mod system;
use system::{profile, start_deployment, test_lock};

/// Replaces the log of a stopped replica by a snapshot of the same state.
fn compact_log(deployment: &Deployment, replica: usize) {
    let (mut store, recovered) = Store::open(deployment.data_dir(replica)).unwrap();
    let formation = recovered.hard_state.formation.unwrap();
    let mut membership: Membership = formation.members;
    let mut registry = Registry::default();
    let last = recovered.entries.last().unwrap();
    let (index, term) = (last.index, last.term);
    for entry in recovered.entries {
        match &entry.payload {
            Payload::Empty => {}
            Payload::Membership(changed) => membership = changed.clone(),
            Payload::Change(change) => {
                registry.apply(entry.term, entry.index, change);
            }
        }
    }
    let snapshot = Snapshot {
        index,
        term,
        membership,
        registry,
    };
    store.save_snapshot(&Arc::new(snapshot), false).unwrap();
}

#[test]
fn restart_from_snapshot() {
    let _lock = test_lock();
    let mut deployment = start_deployment(1);
    let number = deployment.add_profile(&profile("before")).unwrap();
    deployment.kill_node(0);
    for replica in 0..3 {
        deployment.kill_replica(replica);
    }
    for replica in 0..3 {
        compact_log(&deployment, replica);
        deployment.start_replica(replica).unwrap();
    }
    let read = deployment
        .operator_request("GET", "/v1/profiles", None)
        .unwrap();
    assert_eq!(read["revision"]["number"], number, "{read}");
    deployment.start_node(0).unwrap();
    deployment.wait_for_revision(number).unwrap();
}
