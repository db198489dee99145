//! Guards against calls of an instance that outlive the call that they are made for, and against
//! other calls that inherit from it.

mod system;

use limits::AdmissionOrder;
use std::time::{Duration, Instant};
use system::{
    describe_result, request, send, send_in_background, start_deployment, start_upstream,
    test_lock, wait_until, wait_until_served,
};

/// Deadline of the call that runs at the instance.
const PARENT_MS: u64 = 1_500;
/// Deadline that the calls made meanwhile ask for.
const OTHER_MS: u64 = 6_000;

/// Time after which a call with this id, sent while the call `parent` runs, ends at its deadline.
fn time_of(id: &str) -> Duration {
    let mut deployment = start_deployment(1);
    deployment.kill_node(0);
    let settings = deployment.node_settings(0);
    settings.admission = AdmissionOrder::Cost;
    settings.headers.request_id = Some("x-request-id");
    deployment.start_node(0).unwrap();
    let mut write = system::profile("slow-write");
    write.deadline_ms = 60_000;
    let number = deployment.add_profile(&write).unwrap();
    deployment.wait_for_revision(number).unwrap();
    let upstream = start_upstream(&deployment, 0, |config| {
        config.default_profile = "slow-write".to_owned();
        config.rules = Vec::new();
    });
    deployment.wait_for_upstreams(1).unwrap();
    wait_until_served(&deployment, 0);
    upstream.update_switches(|switches| switches.silent = true);

    let call = |id: &str, deadline_ms: u64| {
        let deadline = deadline_ms.to_string();
        request(id, "POST", &[("x-gyard-deadline-ms", &deadline)], "")
    };
    let address = deployment.call_address(0);
    let parent = send_in_background(address, call("parent", PARENT_MS));
    wait_until("the parent runs", || upstream.running_and_waiting().0 == 1);
    let sent = Instant::now();
    let result = send(address, &call(id, OTHER_MS));
    let time = sent.elapsed();
    assert_eq!(describe_result(&result), "504 deadline-passed unknown");
    parent.join().unwrap().unwrap();
    time
}

#[test]
fn deadline_of_parent() {
    let _lock = test_lock();
    let nested = time_of("parent.1");
    assert!(nested < Duration::from_millis(OTHER_MS), "{nested:?}");
    let other = time_of("other.1");
    assert!(other >= Duration::from_millis(OTHER_MS), "{other:?}");
}
