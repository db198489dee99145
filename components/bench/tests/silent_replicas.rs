//! Guards against a node that waits for silent control replicas one after the other, so that it
//! doesn't pull from the live ones for longer than a change may take to be in effect.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

mod system;
use bench::deployment::{Deployment, DeploymentConfig};
use system::{profile, test_lock};

/// Silent addresses in the list of control replicas.
const SILENT: usize = 3;
/// Time for which the node is observed, longer than the phase of frequent searches after its start.
const OBSERVED: Duration = Duration::from_secs(14);
/// Longest time between two confirmations of the node's profiles by a control replica.
const MAX_AGE_MS: u64 = 2_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Listeners that accept connections and never answer, like hosts that are frozen.
fn silent_listeners() -> Vec<TcpListener> {
    (0..SILENT)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap())
        .collect()
}

#[test]
fn pulls_despite_silent_replicas() {
    let _lock = test_lock();
    let mut config = DeploymentConfig::new(&["zone-1"]);
    config.decision_log_percent = 0;
    let mut deployment = Deployment::start(&config).unwrap();
    deployment.kill_node(0);
    let silent = silent_listeners();
    let addresses: Vec<SocketAddr> = silent.iter().map(|l| l.local_addr().unwrap()).collect();
    let settings = deployment.node_settings(0);
    let live = std::mem::take(&mut settings.control);
    settings.control = [&addresses[..], &live[..2]].concat();
    settings.peers = Vec::new();
    deployment.start_node(0).unwrap();
    let number = deployment.add_profile(&profile("first")).unwrap();
    deployment.wait_for_revision(number).unwrap();
    let until = Instant::now() + OBSERVED;
    let mut longest_ms = 0;
    while Instant::now() < until {
        let node = deployment.node(0);
        longest_ms = longest_ms.max(node.profiles.age_ms(node.clock.now_us()));
        thread::sleep(CHECK_INTERVAL);
    }
    assert!(
        longest_ms < MAX_AGE_MS,
        "no confirmation for {longest_ms} ms"
    );
}
