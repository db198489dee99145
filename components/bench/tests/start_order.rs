//! Guards against a starting node that announces its instance while it still refuses calls, since it
//! doesn't know the crash suspects of its peers: entries send it calls that it refuses.

use http::Request;
use mesh::Channel;

mod system;
use system::{
    describe_result, execution_count, profile, request, send, start_deployment, start_upstream,
    test_lock, wait_until, wait_until_served,
};

/// Node 0 doesn't answer questions about crash suspects, so node 1 asks until the time limit.
#[test]
fn calls_during_start() {
    let _lock = test_lock();
    let mut deployment = start_deployment(2);
    let mut once = profile("once");
    once.attempts = 1;
    let number = deployment.add_profile(&once).unwrap();
    deployment.wait_for_revision(number).unwrap();
    let upstreams = [0, 1].map(|node| {
        start_upstream(&deployment, node, |config| {
            config.default_profile = "once".to_owned();
            config.rules = Vec::new();
            config.announce_every_ms = 20;
        })
    });
    deployment.wait_for_upstreams(2).unwrap();
    deployment.kill_node(1);
    deployment.wait_for_upstreams(1).unwrap();
    wait_until_served(&deployment, 0);
    let silent = &deployment.node(0).mesh;
    silent.set_handler(Channel::Suspects, |_| {});
    deployment.start_node(1).unwrap();

    let mut sent = 0;
    wait_until("the instance beside the started node is called", || {
        let id = format!("call-{sent}");
        sent += 1;
        let call = request(&id, "GET", &[], "");
        let answer = send(deployment.call_address(0), &call);
        assert_eq!(describe_result(&answer), "200 from the upstream", "{id}");
        execution_count(&upstreams[1..], &id) == 1
    });
}

/// The report of an instance is acknowledged before the node runs calls. Its service is known from
/// then on.
#[test]
fn reported_service() {
    let _lock = test_lock();
    let mut deployment = start_deployment(1);
    deployment.kill_node(0);
    deployment.start_node(0).unwrap();
    let _upstream = start_upstream(&deployment, 0, |_| {});
    let reported = Request {
        target: "/v1/instance".to_owned(),
        ..request("reported", "GET", &[], "")
    };
    let platform = deployment.platform_address(0);
    wait_until("the report is acknowledged", || {
        send(platform, &reported).is_ok_and(|answer| answer.status == 200)
    });
    wait_until("a call is served", || {
        let call = request("call", "GET", &[], "");
        let answer = describe_result(&send(deployment.call_address(0), &call));
        let is_served = answer == "200 from the upstream";
        assert!(is_served || answer == "503 no-upstream not-run", "{answer}");
        is_served
    });
}
